//! A follower's disk is lost: it comes back empty, under a new identity, and an operator has it
//! take the place of the lost member.

use super::error::{FleetError, NotReadySnafu, UnknownNameSnafu, WriteFileSnafu};
use super::running::RunningSite;
use crate::events::Event;
use snafu::{OptionExt, ResultExt};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};
use wingshore_types::ReplicaId;

/// How long the process stays away.
const AWAY: Duration = Duration::from_millis(500);
/// How long a new member may take to print its identity.
const IDENTITY_LIMIT: Duration = Duration::from_secs(10);
/// How long the replacement may be tried.
const REPLACE_LIMIT: Duration = Duration::from_secs(40);
/// Between two polls.
const POLL: Duration = Duration::from_millis(200);

/// Loses the disk of a replica that does not lead, and repairs it.
///
/// # Errors
/// When the replica does not come back, or cannot be taken in.
pub fn lose_disk(site: &mut RunningSite, data: &Path) -> Result<(), FleetError> {
    let leader = site.leader()?;
    let name = site
        .replicas
        .iter()
        .map(|replica| replica.name().to_owned())
        .find(|name| *name != leader)
        .context(UnknownNameSnafu {
            kind: "follower",
            name: "of the control group",
        })?;
    let old = site.identity_of(&name)?;
    let replica = site.replica(&name)?;
    replica.kill()?;
    let path = data.join(&name);
    std::fs::remove_dir_all(&path).context(WriteFileSnafu { path })?;
    thread::sleep(AWAY);
    let replica = site.replica(&name)?;
    replica.start_again()?;
    site.log.write(Event::ProcessAction {
        process: name.clone(),
        action: "lose_disk".to_owned(),
    });
    let new = new_identity(site, &name, old)?;
    replace(site, &name, old, new)?;
    site.set_identity(&name, new);
    Ok(())
}

/// The identity that a new member prints at its start, after it lost that of `old`.
fn new_identity(
    site: &mut RunningSite,
    name: &str,
    old: ReplicaId,
) -> Result<ReplicaId, FleetError> {
    let end = Instant::now() + IDENTITY_LIMIT;
    loop {
        let output = site.replica(name)?.output_end();
        if let Some(identity) = identity_in(&output, old) {
            return Ok(identity);
        }
        if Instant::now() >= end {
            let seconds = IDENTITY_LIMIT.as_secs();
            return NotReadySnafu {
                name,
                seconds,
                output,
            }
            .fail();
        }
        thread::sleep(POLL);
    }
}

/// The last number of an output that can only be the identity of a member that joined later; none
/// while that is still the identity of `old`, which printed it at an earlier start.
pub fn identity_in(output: &str, old: ReplicaId) -> Option<ReplicaId> {
    output
        .split(|character: char| !character.is_ascii_digit())
        .filter_map(|digits| digits.parse::<u64>().ok())
        .rfind(|number| *number > u64::from(u32::MAX))
        .map(ReplicaId)
        .filter(|identity| *identity != old)
}

fn replace(
    site: &mut RunningSite,
    name: &str,
    old: ReplicaId,
    new: ReplicaId,
) -> Result<(), FleetError> {
    let address = site.replica(name)?.listen().context(UnknownNameSnafu {
        kind: "address of replica",
        name,
    })?;
    let (old, new, address) = (old.to_string(), new.to_string(), address.to_string());
    let end = Instant::now() + REPLACE_LIMIT;
    loop {
        let words = ["members", "replace", &old, &new, &address];
        match site.operator.control(&words) {
            Ok(_) => return Ok(()),
            Err(error) if Instant::now() >= end => return Err(error),
            Err(_) => thread::sleep(POLL),
        }
    }
}

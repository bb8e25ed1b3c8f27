//! Recovery time and bytes on disk against the size of the state.

use super::configuration::{accept, await_done, server, service};
use super::error::{IoSnafu, StateError};
use super::site::{PATIENCE, SiteShape, StateSite, unexpected, wait_until};
use serde::Serialize;
use snafu::ResultExt;
use std::fmt;
use std::path::Path;
use std::time::{Duration, Instant};
use wingshore_types::protocol::ledger::{LedgerReply, LedgerRequest};
use wingshore_types::protocol::membership::MembershipRequest;
use wingshore_types::protocol::wire::{GroupReply, GroupRequest};
use wingshore_types::sample::Prompt;
use wingshore_types::{GroupId, PoolId, Revision, SampleNumber, TrainerId};

/// Numbers of open samples.
const SAMPLES: [u64; 3] = [1_000, 10_000, 100_000];
/// Numbers of configured servers.
const SERVERS: [usize; 3] = [100, 1_000, 10_000];
/// The group that holds the samples.
const LEDGER: GroupId = GroupId::Ledger(1);
/// Tokens of a prompt.
const PROMPT_TOKENS: u32 = 256;
/// Prompts of one submission.
const PROMPTS_PER_REQUEST: usize = 500;
/// Number of the sample that tells whether a member is back.
const LAST_NUMBER: u64 = u64::MAX / 2;
/// The pool of the samples.
const POOL: &str = "pool";
/// Servers of one plan.
const SERVERS_PER_PLAN: usize = 1_000;
/// Most that a token is raised to, as in usual vocabularies.
const VOCABULARY: u32 = 128_000;

/// What was measured.
#[derive(Debug, Serialize)]
pub struct RecoveryReport {
    /// One size each.
    pub runs: Vec<RecoveryRun>,
}

/// Recovery of one state.
#[derive(Debug, Serialize)]
pub struct RecoveryRun {
    /// What the state holds.
    pub state: String,
    /// Bytes of the group's folder on a follower.
    pub folder_bytes: u64,
    /// Of them, the snapshot.
    pub snapshot_bytes: u64,
    /// From the start of a follower that was killed until it listens, in milliseconds.
    pub follower_listens_ms: f64,
    /// From its start until it has synced all entries again, in milliseconds.
    pub follower_caught_up_ms: f64,
    /// From the start of all replicas, all of them killed, until the group's leader answers, in
    /// milliseconds; an election is part of it.
    pub all_answer_ms: f64,
}

impl fmt::Display for RecoveryReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for run in &self.runs {
            writeln!(
                formatter,
                "recovery of {}: {} bytes on disk ({} in the snapshot); follower listens after \
                 {:.0} ms, has caught up after {:.0} ms; all killed: leader answers after {:.0} ms",
                run.state,
                run.folder_bytes,
                run.snapshot_bytes,
                run.follower_listens_ms,
                run.follower_caught_up_ms,
                run.all_answer_ms
            )?;
        }
        Ok(())
    }
}

/// Measures each size on a site of its own.
///
/// # Errors
/// When the site cannot be run or does not answer.
pub fn measure(root: &Path) -> Result<RecoveryReport, StateError> {
    let mut runs = Vec::new();
    for count in SAMPLES {
        let site = start(root)?;
        submit(&site, count)?;
        let state = format!("{count} samples");
        runs.push(recover(site, state, LEDGER)?);
    }
    for count in SERVERS {
        let site = start(root)?;
        configure(&site, count)?;
        let state = format!("{count} servers");
        runs.push(recover(site, state, GroupId::Control)?);
    }
    Ok(RecoveryReport { runs })
}

fn start(root: &Path) -> Result<StateSite, StateError> {
    let shape = SiteShape {
        replicas: 3,
        claims_groups: 1,
        nodes: 0,
    };
    StateSite::start(root, shape)
}

fn submit(site: &StateSite, count: u64) -> Result<(), StateError> {
    let configure = LedgerRequest::Configure {
        pool: PoolId::new(POOL),
        revision: Revision(1),
        staleness_bound: 4,
        max_open_samples: u32::MAX,
        sample_lease_ms: 10_000,
        idle_weight: wingshore_types::configuration::Permille::WHOLE,
        trainer: TrainerId::new("trainer"),
    };
    ask_ledger(site, configure)?;
    let numbers: Vec<u64> = (0..count).collect();
    numbers
        .chunks(PROMPTS_PER_REQUEST)
        .try_for_each(|chunk| submit_prompts(site, chunk))
}

fn submit_prompts(site: &StateSite, numbers: &[u64]) -> Result<(), StateError> {
    let submit = LedgerRequest::Submit {
        pool: PoolId::new(POOL),
        prompts: numbers.iter().map(|number| prompt(*number)).collect(),
    };
    ask_ledger(site, submit)
}

fn prompt(number: u64) -> Prompt {
    let mixed = |place: u32| {
        (number as u32)
            .wrapping_add(place)
            .wrapping_mul(0x9e37_79b1)
    };
    Prompt {
        number: SampleNumber(number),
        tokens: (0..PROMPT_TOKENS)
            .map(|place| mixed(place) % VOCABULARY)
            .collect(),
        max_tokens: 1_024,
        seed: number,
    }
}

fn ask_ledger(site: &StateSite, request: LedgerRequest) -> Result<(), StateError> {
    let request = GroupRequest::Ledger(request);
    match site.client.call(LEDGER, request, PATIENCE)? {
        GroupReply::Ledger(LedgerReply::Done | LedgerReply::Submitted { .. }) => Ok(()),
        reply => unexpected("a submission", reply),
    }
}

fn configure(site: &StateSite, count: usize) -> Result<(), StateError> {
    await_done(site, accept(site, vec![service()])?)?;
    let places: Vec<usize> = (0..count).collect();
    for chunk in places.chunks(SERVERS_PER_PLAN) {
        let servers = chunk.iter().map(|place| {
            // Nobody listens there, and a live server is not asked by the control group.
            let address = ([127, 1, (place / 256) as u8, (place % 256) as u8], 1).into();
            server(&format!("server-{place}"), address)
        });
        await_done(site, accept(site, servers.collect())?)?;
    }
    Ok(())
}

fn recover(mut site: StateSite, state: String, group: GroupId) -> Result<RecoveryRun, StateError> {
    site.await_synced(group)?;
    let follower = (site.leader(group)? + 1) % site.replicas.len();
    let folder = site.group_folder(follower, group);
    let (folder_bytes, snapshot_bytes) = bytes_in(&folder)?;
    site.replicas[follower].kill()?;
    let started = Instant::now();
    site.restart(follower)?;
    let listens = started.elapsed();
    await_rejoined(&site, group)?;
    let caught_up = started.elapsed();
    let all_answer = restart_all(&mut site, group)?;
    site.stop()?;
    Ok(RecoveryRun {
        state,
        folder_bytes,
        snapshot_bytes,
        follower_listens_ms: milliseconds(listens),
        follower_caught_up_ms: milliseconds(caught_up),
        all_answer_ms: milliseconds(all_answer),
    })
}

/// A leader remembers what a member had synced before it was killed: only a new entry tells
/// whether the member is back.
fn await_rejoined(site: &StateSite, group: GroupId) -> Result<(), StateError> {
    match group {
        GroupId::Ledger(_) => submit_prompts(site, &[LAST_NUMBER])?,
        _ => await_done(site, accept(site, vec![service()])?)?,
    }
    site.await_synced(group)
}

fn restart_all(site: &mut StateSite, group: GroupId) -> Result<Duration, StateError> {
    for replica in &mut site.replicas {
        replica.kill()?;
    }
    let started = Instant::now();
    for replica in &mut site.replicas {
        replica.start_again()?;
    }
    for place in 0..site.replicas.len() {
        site.await_listening(place)?;
    }
    let show = GroupRequest::Membership(MembershipRequest::Show);
    wait_until("the leader answers", || {
        let reply = site.client.call(group, show.clone(), PATIENCE)?;
        Ok(matches!(reply, GroupReply::Membership(_)))
    })?;
    Ok(started.elapsed())
}

/// Bytes of all files in a folder, and of the snapshot among them.
fn bytes_in(folder: &Path) -> Result<(u64, u64), StateError> {
    let (mut all, mut snapshot) = (0, 0);
    let entries = std::fs::read_dir(folder).context(IoSnafu { path: folder })?;
    for entry in entries {
        let entry = entry.context(IoSnafu { path: folder })?;
        // A file that was replaced meanwhile counts as nothing.
        let length = entry.metadata().map_or(0, |metadata| metadata.len());
        all += length;
        if entry.file_name() == "snapshot" {
            snapshot = length;
        }
    }
    Ok((all, snapshot))
}

fn milliseconds(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

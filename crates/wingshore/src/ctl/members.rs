//! Members of replicated groups.

use crate::ctl::arguments::{MembersArguments, MembersCommand, MembersReplaceArguments};
use crate::ctl::session::{Session, unexpected};
use crate::failure::{ArgumentSnafu, Failure};
use serde::Serialize;
use snafu::OptionExt;
use std::time::Duration;
use wingshore_types::protocol::membership::{
    Member, Membership, MembershipReply, MembershipRequest,
};
use wingshore_types::protocol::wire::{GroupReply, GroupRequest};
use wingshore_types::{GroupId, ReplicaId};

/// Between two looks at a member that catches up.
const CATCH_UP_INTERVAL: Duration = Duration::from_millis(100);

/// The members of one group.
#[derive(Serialize)]
struct GroupMembers {
    group: String,
    leader: ReplicaId,
    membership: Membership,
    synced: Vec<(ReplicaId, u64)>,
    last_index: u64,
}

/// What one replica wrote its log ring to.
#[derive(Serialize)]
struct DumpedLog {
    replica: String,
    written_to: String,
}

/// Runs a command about members.
///
/// # Errors
/// When a group does not answer or refuses.
pub fn run(session: &Session, flags: &MembersArguments) -> Result<(), Failure> {
    let groups = GroupId::all(flags.ledger_groups, flags.claims_groups);
    match &flags.command {
        MembersCommand::Show(_) => show_all(session, &groups),
        MembersCommand::Replace(replace) => {
            for group in &groups {
                replace_in(session, *group, replace)?;
            }
            show_all(session, &groups)
        }
        MembersCommand::Transfer(transfer) => {
            let request = MembershipRequest::TransferLeadership(ReplicaId(transfer.to));
            for group in &groups {
                session.membership(*group, request.clone())?;
            }
            show_all(session, &groups)
        }
    }
}

/// Makes every replica named on the command line write its log ring out.
///
/// # Errors
/// When one of them does not answer.
pub fn dump_logs(session: &Session) -> Result<(), Failure> {
    let mut dumped = Vec::new();
    for address in session.replicas() {
        match session.at(*address, GroupRequest::DumpLog)? {
            GroupReply::LogDumped(path) => dumped.push(DumpedLog {
                replica: address.to_string(),
                written_to: path,
            }),
            other => return Err(unexpected(&other)),
        }
    }
    session.print(&dumped, |dumped| {
        let lines: Vec<String> = dumped
            .iter()
            .map(|dump| format!("{} wrote {}", dump.replica, dump.written_to))
            .collect();
        lines.join("\n")
    });
    Ok(())
}

fn show_all(session: &Session, groups: &[GroupId]) -> Result<(), Failure> {
    let mut all = Vec::new();
    for group in groups {
        all.push(read_members(session, *group)?);
    }
    session.print(&all, |all| {
        let lines: Vec<String> = all.iter().map(members_text).collect();
        lines.join("\n")
    });
    Ok(())
}

fn read_members(session: &Session, group: GroupId) -> Result<GroupMembers, Failure> {
    match session.membership(group, MembershipRequest::Show)? {
        MembershipReply::Members {
            membership,
            leader,
            synced,
            last_index,
        } => Ok(GroupMembers {
            group: group.to_string(),
            leader,
            membership,
            synced,
            last_index,
        }),
        other => Err(unexpected(&other)),
    }
}

/// Each step is left out where it was done before, so the command may be run again.
fn replace_in(
    session: &Session,
    group: GroupId,
    flags: &MembersReplaceArguments,
) -> Result<(), Failure> {
    let new = Member {
        id: ReplicaId(flags.new),
        address: flags.address.parse().ok().context(ArgumentSnafu {
            argument: "address",
            found: format!("\"{}\"", flags.address),
            allowed: "an IP address and port",
        })?,
    };
    let old = ReplicaId(flags.old);
    let before = read_members(session, group)?.membership;
    let is_voter = before.voters.iter().any(|member| member.id == new.id);
    let is_learner = before.learners.iter().any(|member| member.id == new.id);
    if !is_voter && !is_learner {
        session.membership(group, MembershipRequest::AddLearner(new.clone()))?;
    }
    if !is_voter {
        await_caught_up(session, group, new.id)?;
        session.membership(group, MembershipRequest::Promote(new.id))?;
    }
    if before.voters.iter().any(|member| member.id == old) {
        session.membership(group, MembershipRequest::Remove(old))?;
    }
    await_all_synced(session, group)
}

fn await_caught_up(session: &Session, group: GroupId, id: ReplicaId) -> Result<(), Failure> {
    loop {
        let members = read_members(session, group)?;
        if synced_index(&members, id) >= Some(members.last_index) {
            return Ok(());
        }
        std::thread::sleep(CATCH_UP_INTERVAL);
    }
}

/// Waits until every voter has all entries on its disk: then any one may be lost.
fn await_all_synced(session: &Session, group: GroupId) -> Result<(), Failure> {
    let goal = read_members(session, group)?.last_index;
    loop {
        let members = read_members(session, group)?;
        let mut voters = members.membership.voters.iter();
        if voters.all(|voter| synced_index(&members, voter.id) >= Some(goal)) {
            return Ok(());
        }
        std::thread::sleep(CATCH_UP_INTERVAL);
    }
}

fn synced_index(members: &GroupMembers, id: ReplicaId) -> Option<u64> {
    let mut synced = members.synced.iter();
    synced
        .find(|(member, _)| *member == id)
        .map(|(_, index)| *index)
}

fn members_text(members: &GroupMembers) -> String {
    let mut text = format!(
        "{}: leader {}, last index {}",
        members.group, members.leader, members.last_index
    );
    let voters = members.membership.voters.iter().map(|m| (m, "voter"));
    let learners = members.membership.learners.iter().map(|m| (m, "learner"));
    for (member, kind) in voters.chain(learners) {
        let synced = synced_index(members, member.id).unwrap_or(0);
        text.push_str(&format!(
            "\n  {kind} {} at {}, synced up to {synced}",
            member.id, member.address
        ));
    }
    text
}

//! The `members` and `dump-log` commands: members of replicated groups, and their logs.

use crate::ctl::arguments::{MembersArguments, MembersCommand, MembersReplaceArguments};
use crate::ctl::session::{Session, unexpected_answer};
use crate::failure::{ArgumentSnafu, Failure};
use serde::Serialize;
use snafu::OptionExt;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use wingshore_types::protocol::membership::{
    Member, Membership, MembershipReply, MembershipRequest,
};
use wingshore_types::protocol::wire::{GroupReply, GroupRequest};
use wingshore_types::{GroupId, ReplicaId};

/// Interval between polls of a member that catches up, and between retries of a refused change.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between progress messages during a wait.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(5);

/// The members of one group.
#[derive(Serialize)]
pub struct GroupMembers {
    group: String,
    leader: ReplicaId,
    /// Voters and learners.
    pub membership: Membership,
    synced: Vec<(ReplicaId, u64)>,
    last_index: u64,
}

impl GroupMembers {
    /// Returns every member with its kind, `voter` or `learner`.
    pub fn members_with_kinds(&self) -> impl Iterator<Item = (&Member, &'static str)> {
        let voters = self
            .membership
            .voters
            .iter()
            .map(|member| (member, "voter"));
        let learners = self.membership.learners.iter();
        voters.chain(learners.map(|member| (member, "learner")))
    }

    /// Returns the number of log entries that the member has not synced to disk yet, or nothing
    /// when the member's synced index is unknown.
    pub fn entries_behind(&self, id: ReplicaId) -> Option<u64> {
        let synced = self.synced_index(id)?;
        Some(self.last_index.saturating_sub(synced))
    }

    fn contains(&self, id: ReplicaId) -> bool {
        self.members_with_kinds().any(|(member, _)| member.id == id)
    }

    fn is_voter(&self, id: ReplicaId) -> bool {
        self.membership.voters.iter().any(|member| member.id == id)
    }

    fn address_of(&self, id: ReplicaId) -> Option<SocketAddr> {
        let mut members = self.members_with_kinds();
        members
            .find(|(member, _)| member.id == id)
            .map(|(member, _)| member.address)
    }

    fn synced_index(&self, id: ReplicaId) -> Option<u64> {
        let mut synced = self.synced.iter();
        synced
            .find(|(member, _)| *member == id)
            .map(|(_, index)| *index)
    }
}

/// Path of the file to which one replica wrote its log ring.
#[derive(Serialize)]
struct DumpedLog {
    replica: String,
    written_to: String,
}

/// Runs a subcommand of `members`.
///
/// # Errors
/// When an argument is invalid, or a group does not answer or refuses.
pub fn run(session: &Session, flags: &MembersArguments) -> Result<(), Failure> {
    let groups = GroupId::all(flags.ledger_groups, flags.claims_groups);
    match &flags.command {
        MembersCommand::Show(_) => show_all(session, &groups),
        MembersCommand::Replace(replace) => {
            self::replace(session, &groups, replace)?;
            show_all(session, &groups)
        }
        MembersCommand::Wait(_) => {
            for group in &groups {
                await_all_synced(session, *group)?;
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

fn replace(
    session: &Session,
    groups: &[GroupId],
    flags: &MembersReplaceArguments,
) -> Result<(), Failure> {
    let address = flags.address.parse().ok().context(ArgumentSnafu {
        argument: "address",
        found: format!("\"{}\"", flags.address),
        allowed: "an IP address and port",
    })?;
    let new = Member {
        id: ReplicaId(flags.new),
        address,
    };
    let old = ReplicaId(flags.old);
    if old == new.id {
        let message = format!("{old} is named as the member to remove and as the new one");
        return Err(Failure::Refused { message });
    }
    check_known(&read_all(session, groups)?, old, new.id)?;
    for group in groups {
        replace_in_group(session, *group, old, &new)?;
    }
    Ok(())
}

/// Makes every replica named on the command line write its log ring out.
///
/// # Errors
/// When a replica does not answer.
pub fn dump_logs(session: &Session) -> Result<(), Failure> {
    let mut dumped = Vec::new();
    for address in session.replicas() {
        match session.call_replica(*address, GroupRequest::DumpLog)? {
            GroupReply::LogDumped(path) => dumped.push(DumpedLog {
                replica: address.to_string(),
                written_to: path,
            }),
            other => return Err(unexpected_answer(&other)),
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
    let all = read_all(session, groups)?;
    session.print(&all, |all| {
        let lines: Vec<String> = all.iter().map(members_text).collect();
        lines.join("\n")
    });
    Ok(())
}

fn read_all(session: &Session, groups: &[GroupId]) -> Result<Vec<GroupMembers>, Failure> {
    let groups = groups.iter();
    groups.map(|group| read_members(session, *group)).collect()
}

/// Reads the members of one group.
///
/// # Errors
/// When the group does not answer or refuses.
pub fn read_members(session: &Session, group: GroupId) -> Result<GroupMembers, Failure> {
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
        other => Err(unexpected_answer(&other)),
    }
}

/// Checks, before anything is changed, that a group knows the old or the new member.
fn check_known(all: &[GroupMembers], old: ReplicaId, new: ReplicaId) -> Result<(), Failure> {
    let is_known = |id| all.iter().any(|members| members.contains(id));
    if is_known(old) || is_known(new) {
        return Ok(());
    }
    let voters = all.iter().flat_map(|members| &members.membership.voters);
    let ids: BTreeSet<String> = voters.map(|member| member.id.to_string()).collect();
    let ids: Vec<String> = ids.into_iter().collect();
    let message = format!("there is no member {old}; there are: {}", ids.join(", "));
    Err(Failure::Refused { message })
}

/// Replaces a member in one group. Skips each step that was done before, so that the command can be
/// run again.
fn replace_in_group(
    session: &Session,
    group: GroupId,
    old: ReplicaId,
    new: &Member,
) -> Result<(), Failure> {
    let before = read_members(session, group)?;
    if !before.contains(new.id) {
        // An address belongs to one member only. When the new member listens at the address of the
        // lost one, the lost one is removed first: it no longer votes, so the group does not
        // tolerate fewer failures without it.
        if before.address_of(old) == Some(new.address) {
            change_members(session, group, &MembershipRequest::Remove(old))?;
        }
        change_members(session, group, &MembershipRequest::AddLearner(new.clone()))?;
    }
    if !before.is_voter(new.id) {
        await_synced(session, group, &[new.id])?;
        change_members(session, group, &MembershipRequest::Promote(new.id))?;
    }
    let promoted = read_members(session, group)?;
    if promoted.contains(old) {
        if promoted.leader == old {
            change_members(
                session,
                group,
                &MembershipRequest::TransferLeadership(new.id),
            )?;
        }
        change_members(session, group, &MembershipRequest::Remove(old))?;
    }
    await_all_synced(session, group)
}

/// Waits until every voter has synced all entries to disk, so that the loss of any one voter is
/// harmless.
fn await_all_synced(session: &Session, group: GroupId) -> Result<(), Failure> {
    let voters = read_members(session, group)?.membership.voters;
    let voters: Vec<ReplicaId> = voters.iter().map(|member| member.id).collect();
    await_synced(session, group, &voters)
}

/// Changes the members of a group. A refusal may be transient (a new leader, an earlier change in
/// progress, a learner slightly behind), so the request is retried until the session's timeout.
fn change_members(
    session: &Session,
    group: GroupId,
    request: &MembershipRequest,
) -> Result<(), Failure> {
    let deadline = Instant::now() + session.timeout();
    loop {
        match session.membership(group, request.clone()) {
            Ok(_) => return Ok(()),
            Err(Failure::MembersRefused { .. }) if Instant::now() < deadline => {
                std::thread::sleep(POLL_INTERVAL);
            }
            Err(failure) => return Err(failure),
        }
    }
}

/// Waits until the members have synced to disk every entry that the leader's log held when the wait
/// began.
fn await_synced(session: &Session, group: GroupId, ids: &[ReplicaId]) -> Result<(), Failure> {
    let goal = read_members(session, group)?.last_index;
    let mut last_message = Instant::now();
    loop {
        let members = read_members(session, group)?;
        let behind = ids
            .iter()
            .find(|id| members.synced_index(**id) < Some(goal));
        let Some(behind) = behind else {
            return Ok(());
        };
        if last_message.elapsed() >= PROGRESS_INTERVAL {
            last_message = Instant::now();
            let synced = members.synced_index(*behind).unwrap_or(0);
            eprintln!("{group}: waiting for member {behind}, which has {synced} of {goal} entries");
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

fn members_text(members: &GroupMembers) -> String {
    let mut text = format!(
        "{}: leader {}, last index {}",
        members.group, members.leader, members.last_index
    );
    for (member, kind) in members.members_with_kinds() {
        let synced = members.synced_index(member.id).unwrap_or(0);
        text.push_str(&format!(
            "\n  {kind} {} at {}, synced up to {synced}",
            member.id, member.address
        ));
    }
    text
}

//! Three replicas of one site in one process: group formation, crashes, new members and faults.

mod support;

use googletest::prelude::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;
use support::disk::FailingDisk;
use support::{CLAIMS, SITE, TIMEOUT, TestSite, claim_request, wait_for, wait_until};
use wingshore_replica::ReplicaError;
use wingshore_storage::{RealFileSystem, StorageError};
use wingshore_transport::{ConnectOptions, Connection, FrameHandler, encode};
use wingshore_types::protocol::claims::ClaimsReply;
use wingshore_types::protocol::control::{ControlReply, ControlRequest};
use wingshore_types::protocol::membership::{Member, MembershipReply, MembershipRequest};
use wingshore_types::protocol::wire::{Frame, GroupReply, GroupRequest, Hello, WIRE_VERSION};
use wingshore_types::{GroupId, ReplicaId};

#[gtest]
fn three_replicas_form_their_groups_and_commit() -> Result<()> {
    let site = TestSite::start(3);
    verify_that!(site.claim("key", "one"), eq(&ClaimsReply::Granted))?;
    verify_that!(
        site.claim("key", "two"),
        matches_pattern!(ClaimsReply::Taken { .. })
    )?;
    let status = GroupRequest::Control(ControlRequest::Status);
    let GroupReply::Control(ControlReply::Status(status)) = site.call(GroupId::Control, status)
    else {
        return fail!("no status");
    };
    verify_that!(status.leader.0, all![ge(1), le(3)])?;
    let wrong_kind = GroupRequest::Control(ControlRequest::Status);
    verify_that!(
        site.call(CLAIMS, wrong_kind.clone()),
        matches_pattern!(GroupReply::Rejected(_))
    )?;
    verify_that!(
        site.call(GroupId::Claims(60), wrong_kind),
        matches_pattern!(GroupReply::Rejected(_))
    )
}

/// Crashes the replicas one by one, then all together: granted claims must remain granted.
#[gtest]
fn restarted_replicas_retain_all_granted_claims() -> Result<()> {
    let mut site = TestSite::start(3);
    let mut keys = Vec::new();
    for index in 0..3 {
        for phase in ["before", "away"] {
            if phase == "away" {
                site.crash(index);
            }
            let key = format!("{phase} {index}");
            verify_that!(site.claim(&key, "one"), eq(&ClaimsReply::Granted))?;
            keys.push(key);
        }
        site.start_replica(index);
    }
    (0..3).for_each(|index| site.crash(index));
    (0..3).for_each(|index| site.start_replica(index));
    for key in &keys {
        verify_that!(
            site.claim(key, "two"),
            matches_pattern!(ClaimsReply::Taken { .. })
        )?;
    }
    let ids: Vec<_> = (0..3).map(|index| site.replica(index).id().0).collect();
    verify_that!(ids, elements_are![eq(&1), eq(&2), eq(&3)])
}

#[gtest]
fn replica_with_empty_folder_joins_only_by_replacement() -> Result<()> {
    let mut site = TestSite::start(3);
    verify_that!(site.claim("early", "one"), eq(&ClaimsReply::Granted))?;
    let lost = (site.leader() + 1) % 3;
    let old = TestSite::id(lost);
    site.crash(lost);
    std::fs::remove_dir_all(site.data(lost)).expect("the disk is lost");
    site.start_replica(lost);
    let new = site.replica(lost).id();
    verify_that!(new.0, gt(u64::from(u32::MAX)))?;

    // The new replica does not become a member by itself and does not count for the quorum.
    verify_that!(site.claim("meanwhile", "one"), eq(&ClaimsReply::Granted))?;
    let (membership, ..) = site.members();
    let voters: Vec<ReplicaId> = membership.voters.iter().map(|voter| voter.id).collect();
    verify_that!(
        voters,
        unordered_elements_are![eq(&ReplicaId(1)), eq(&ReplicaId(2)), eq(&ReplicaId(3))]
    )?;
    let survivor = (lost + 1) % 3;
    site.crash(survivor);
    let refused = site.client.call(
        CLAIMS,
        GroupRequest::Claims(claim_request("without quorum", "one")),
        Duration::from_secs(3),
    );
    verify_that!(refused, err(anything()))?;
    site.start_replica(survivor);

    replace(&site, old, new, lost);
    // The new member counts for the quorum: the other follower may crash.
    let other = (0..3)
        .find(|index| *index != lost && *index != claims_leader_index(&site))
        .expect("one of three");
    site.crash(other);
    for key in ["early", "meanwhile"] {
        verify_that!(
            site.claim(key, "two"),
            matches_pattern!(ClaimsReply::Taken { .. })
        )?;
    }
    // The data folder keeps the new identity.
    site.crash(lost);
    site.start_replica(lost);
    verify_that!(site.replica(lost).id(), eq(new))
}

/// Replaces a member as `ctl members replace` does if the address stays the same.
fn replace(site: &TestSite, old: ReplicaId, new: ReplicaId, index: usize) {
    let member = Member {
        id: new,
        address: site.addresses[index],
    };
    let steps = [
        MembershipRequest::Remove(old),
        MembershipRequest::AddLearner(member),
        MembershipRequest::Promote(new),
    ];
    for step in steps {
        wait_until("a step of the replacement", || {
            site.change_members(step.clone()) == MembershipReply::Done
        });
    }
}

/// Returns the index of the leader of the claims group, which may be a new member.
fn claims_leader_index(site: &TestSite) -> usize {
    let (_, leader, ..) = site.members();
    (0..3)
        .find(|index| site.replica(*index).id() == leader)
        .expect("one of the replicas")
}

#[gtest]
fn foreign_data_folders_are_rejected() -> Result<()> {
    let mut site = TestSite::formatted(3);
    site.start_replica(0);
    let start = |index: usize, change: &dyn Fn(&TestSite)| {
        change(&site);
        site.try_start(index, Arc::new(RealFileSystem)).err()
    };
    // A folder in use by a running replica.
    verify_that!(
        start(0, &|_| ()),
        some(matches_pattern!(ReplicaError::Folder {
            source: matches_pattern!(StorageError::Locked { .. })
        }))
    )?;
    // A folder with data but without an identity.
    let lose_identity = |site: &TestSite| {
        std::fs::remove_file(site.data(1).join("identity")).expect("removed");
        std::fs::create_dir_all(site.data(1).join("control")).expect("created");
    };
    verify_that!(
        start(1, &lose_identity),
        some(matches_pattern!(ReplicaError::Folder {
            source: matches_pattern!(StorageError::NoIdentity { .. })
        }))
    )?;
    // A folder of another site.
    let mut settings = site.settings(2);
    settings.site = "elsewhere".to_owned();
    let diagnostics = wingshore_diagnostics::Diagnostics::new("replica", 64, None);
    let refused = wingshore_replica::Replica::start(settings, diagnostics).err();
    verify_that!(
        refused,
        some(matches_pattern!(ReplicaError::Folder {
            source: matches_pattern!(StorageError::WrongSite { .. })
        }))
    )
}

#[gtest]
fn failed_sync_ends_the_replica_without_data_loss() -> Result<()> {
    let mut site = TestSite::formatted(3);
    let disk = FailingDisk::default();
    site.start_replica_on(0, &(Arc::new(disk.clone()) as _));
    site.start_replica(1);
    site.start_replica(2);
    verify_that!(site.claim("early", "one"), eq(&ClaimsReply::Granted))?;
    disk.fail_syncs();
    // Followers write every commit too, so the next commit reaches the failing disk.
    verify_that!(site.claim("late", "one"), eq(&ClaimsReply::Granted))?;
    wait_until("the replica detects the failure", || {
        site.replica(0).has_ended()
    });
    let ended = site.replicas[0].take().expect("running replica").abort();
    verify_that!(
        ended,
        err(matches_pattern!(ReplicaError::Storage {
            source: matches_pattern!(StorageError::Io {
                operation: eq(&"sync"),
                ..
            }),
            ..
        }))
    )?;
    for key in ["early", "late"] {
        verify_that!(
            site.claim(key, "two"),
            matches_pattern!(ClaimsReply::Taken { .. })
        )?;
    }
    site.start_replica(0);
    wait_until("it has caught up", || {
        let (_, _, synced, last) = site.members();
        synced.iter().all(|(_, index)| *index == last)
    });
    Ok(())
}

#[gtest]
fn admin_listener_reports_health_readiness_and_metrics() -> Result<()> {
    let mut site = TestSite::formatted(3);
    site.start_replica(0);
    // A single replica of three is healthy but not ready.
    verify_that!(site.admin(0, "/healthz").0, eq(200))?;
    let (status, body) = site.admin(0, "/readyz");
    verify_that!(status, eq(503))?;
    verify_that!(body, contains_substring("control"))?;
    verify_that!(site.admin(0, "/elsewhere").0, eq(404))?;
    site.start_replica(1);
    wait_until("two of three are ready", || {
        [0, 1]
            .iter()
            .all(|&index| site.admin(index, "/readyz").0 == 200)
    });
    verify_that!(site.claim("key", "one"), eq(&ClaimsReply::Granted))?;
    let leader = site.leader();
    wait_until("the metrics show the commit", || {
        let (status, text) = site.admin(leader, "/metrics");
        status == 200
            && text.contains("wingshore_replica_leading{group=\"claims-1\"} 1")
            && text.contains("wingshore_replica_write_seconds_count{group=\"claims-1\"}")
            && text.ends_with("# EOF\n")
    });
    Ok(())
}

struct NoFrames;

impl FrameHandler for NoFrames {
    fn on_frame(&self, _: &wingshore_transport::ConnectionHandle, _: Frame) {}
}

/// Invalid data sent by an unknown client after connecting: each connection must be closed.
#[gtest]
fn malformed_input_is_rejected_and_groups_continue() -> Result<()> {
    let site = TestSite::start(3);
    verify_that!(site.claim("early", "one"), eq(&ClaimsReply::Granted))?;
    let hello = |site: &str, replica| {
        let hello = Hello {
            version: WIRE_VERSION,
            site: site.to_owned(),
            replica,
        };
        encode(&Frame::Hello(hello)).expect("encoded")
    };
    let mut oversized = hello(SITE, None);
    let mut header = encode(&Frame::KeepAlive).expect("encoded");
    header[6..10].copy_from_slice(&u32::MAX.to_le_bytes());
    oversized.extend(&header);
    let mut damaged = hello(SITE, None);
    let mut frame = encode(&Frame::KeepAlive).expect("encoded");
    *frame.last_mut().expect("a body") ^= 0xff;
    damaged.extend(frame);
    let cases = [
        vec![0xa5; 4096],
        header,
        hello("elsewhere", None),
        oversized,
        damaged,
        [hello(SITE, None), vec![0; 100_000]].concat(),
    ];
    for (case, bytes) in cases.iter().enumerate() {
        for address in &site.addresses {
            let mut stream = TcpStream::connect(address).expect("connected");
            stream.set_read_timeout(Some(TIMEOUT)).expect("set");
            // The replica may close the connection before everything is written.
            let _ = stream.write_all(bytes);
            let mut answer = Vec::new();
            let ended = stream.read_to_end(&mut answer);
            let timed_out =
                ended.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock);
            verify_that!((case, timed_out), eq((case, false)))?;
        }
    }
    // Malformed consensus messages from a client that claims to be a member.
    let options = ConnectOptions {
        replica: Some(ReplicaId(2)),
        ..ConnectOptions::new(SITE, TIMEOUT)
    };
    let connection = wait_for("a connection", || {
        Connection::open(site.addresses[0], &options, Arc::new(NoFrames)).ok()
    });
    for (group, length) in [(CLAIMS, 0), (CLAIMS, 1000), (GroupId::Claims(60), 9)] {
        let message = vec![0xff; length];
        verify_that!(
            connection.send(&Frame::Consensus { group, message }),
            ok(anything())
        )?;
    }
    verify_that!(site.claim("late", "one"), eq(&ClaimsReply::Granted))?;
    let ended: Vec<bool> = (0..3)
        .map(|index| site.replica(index).has_ended())
        .collect();
    verify_that!(ended, each(eq(&false)))
}

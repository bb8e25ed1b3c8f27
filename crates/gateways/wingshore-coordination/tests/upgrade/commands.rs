//! Log entries of the previous release, as in `fixtures/`.

use super::support;
use std::sync::Arc;
use wingshore_coordination::{
    AssignmentId, Command, CrashEvidence, FingerprintKey, FinishedText, InstanceId, ItemKey,
    ItemState, ItemText, JobId, ListedResult, ModelName, OrderHolder, RequestContent, ResultText,
};
use wingshore_types::{Epoch, ReplicaId};

/// Log of a small site, with each kind of entry that the previous release knew.
pub fn commands_of_fixture() -> Vec<Command> {
    let item = |index| ItemKey {
        job: JobId::from("job-0"),
        index,
    };
    let attempt = |number| AssignmentId {
        epoch: Epoch(3),
        number,
    };
    let listed = |index: u32, text: &str| ListedResult {
        index,
        state: ItemState::Succeeded,
        text: ResultText::pack(text),
        versions: vec![3, 4],
        score: None,
    };
    let text = |events, text: &str| ItemText {
        text: text.to_owned(),
        events,
        last_event: Some(events - 1),
        versions: vec![4],
    };
    let content = RequestContent {
        method: "POST",
        host: "site.example",
        target: "/rollouts/x",
        caller: &[],
        body: &[1],
    };
    let fingerprint = content.fingerprint(FingerprintKey::new([5; 16]));
    let finished = FinishedText {
        text: ResultText::pack("whole"),
        versions: vec![4],
    };
    let mut draining = support::engine("e2", 4);
    draining.draining = true;
    vec![
        Command::Configure(Arc::new(support::configuration(7))),
        Command::Register(support::engine("e1", 3)),
        Command::Register(draining),
        Command::Register(support::engine("e3", 3)),
        Command::Register(support::engine("e4", 3)),
        Command::Depart(InstanceId::from("e3")),
        Command::Expire(InstanceId::from("e4")),
        Command::NameVersion {
            model: ModelName::from("m"),
            version: 4,
        },
        Command::AcceptJob(support::job("job-0", 8)),
        Command::AcceptJob(support::scored_job("job-1", 3)),
        Command::AcceptJob(support::job("job-2", 2)),
        Command::AcceptJob(support::job("job-3", 2)),
        Command::ListResult {
            job: JobId::from("job-0"),
            result: listed(2, "a\nb\nc"),
        },
        Command::ListResult {
            job: JobId::from("job-0"),
            result: listed(0, ""),
        },
        Command::EndJob(JobId::from("job-2")),
        Command::ForgetJob(JobId::from("job-3")),
        Command::HoldOrders(OrderHolder {
            node: "storage-1".to_owned(),
            epoch: Epoch(3),
        }),
        Command::DescribeMember {
            member: ReplicaId(1),
            node: "storage-1".to_owned(),
        },
        Command::RetireMember {
            member: ReplicaId(2),
            node: "storage-2".to_owned(),
        },
        Command::KeepText {
            item: item(4),
            after_events: 0,
            text: text(2, "x\ny"),
        },
        Command::KeepUnscored {
            item: ItemKey {
                job: JobId::from("job-1"),
                index: 0,
            },
            made_by: attempt(9),
            text: finished.clone(),
        },
        Command::CountScoringFailures {
            item: ItemKey {
                job: JobId::from("job-1"),
                index: 0,
            },
            made_by: attempt(9),
            failures: 2,
        },
        Command::KeepUnscored {
            item: ItemKey {
                job: JobId::from("job-1"),
                index: 1,
            },
            made_by: attempt(10),
            text: finished,
        },
        Command::ListScored {
            item: ItemKey {
                job: JobId::from("job-1"),
                index: 1,
            },
            made_by: attempt(10),
            score: "0.5".to_owned(),
        },
        Command::SettleOrders(Epoch(3)),
        Command::SetFingerprintKey(FingerprintKey::new([5; 16])),
        Command::NoteCrashes(vec![CrashEvidence {
            fingerprint,
            instance: InstanceId::from("e4"),
        }]),
        Command::RejectRequests(vec![fingerprint]),
        Command::RelieveRequests(vec![]),
        Command::ClearRequests(vec![]),
    ]
}

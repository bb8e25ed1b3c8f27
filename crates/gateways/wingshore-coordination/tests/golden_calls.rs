//! Golden bytes of requests to the group and their replies.

mod golden;

use golden::check;
use golden::examples::{configuration, heartbeat, job_id, submission};
use googletest::prelude::*;
use std::sync::Arc;
use std::time::Duration;
use wingshore_coordination::{
    CallReply, ItemId, ItemState, JobPage, ModelName, Reply, Request, ResultRecord, ResultText,
    ServerName,
};
use wingshore_types::ReplicaId;

const WAIT: Duration = Duration::from_millis(2500);

fn requests() -> Vec<Request> {
    vec![
        Request::PutConfiguration(Arc::new(configuration())),
        Request::ReadConfiguration,
        Request::Heartbeat(heartbeat()),
        Request::Deregister(ServerName::from("engine-1")),
        Request::NameVersion {
            model: ModelName::from("model-1"),
            version: 131,
        },
        Request::SubmitJob(submission(job_id())),
        Request::ReadJob {
            job: job_id(),
            from: 200,
            wait: WAIT,
        },
        Request::ReadItem {
            job: job_id(),
            item: ItemId::from("item-1"),
        },
        Request::EndJob(job_id()),
        Request::DescribeMember {
            member: ReplicaId(2),
            node: "storage-2".to_owned(),
        },
        Request::RetireMember {
            member: ReplicaId(5_000_000_000),
            node: "storage-3".to_owned(),
        },
    ]
}

fn name_of_request(request: &Request) -> &'static str {
    match request {
        Request::PutConfiguration(_) => "put_configuration",
        Request::ReadConfiguration => "read_configuration",
        Request::Heartbeat(_) => "heartbeat",
        Request::Deregister(_) => "deregister",
        Request::NameVersion { .. } => "name_version",
        Request::SubmitJob(_) => "submit_job",
        Request::ReadJob { .. } => "read_job",
        Request::ReadItem { .. } => "read_item",
        Request::EndJob(_) => "end_job",
        Request::DescribeMember { .. } => "describe_member",
        Request::RetireMember { .. } => "retire_member",
    }
}

#[gtest]
fn requests_to_the_group_keep_their_bytes() {
    let golden = include_str!("golden/requests.txt");
    check(golden, &requests(), name_of_request);
}

fn page() -> JobPage {
    let result = |state, score: Option<&str>| ResultRecord {
        id: ItemId::from("item-1"),
        state,
        text: ResultText::pack("whole text"),
        versions: vec![4, 5],
        score: score.map(str::to_owned),
    };
    let results = [
        result(ItemState::Succeeded, Some("0.5")),
        result(ItemState::Abandoned, None),
    ];
    JobPage {
        total: 300,
        from: 7,
        results: results.map(Arc::new).into(),
    }
}

fn replies() -> Vec<Reply> {
    vec![
        Reply::Done,
        Reply::Configuration(Some(Arc::new(configuration()))),
        Reply::Configuration(None),
        Reply::Page(page()),
        Reply::Item(vec![1, 2, 200]),
        Reply::Unknown,
        Reply::Refused("the reason".to_owned()),
        Reply::ComeBack(WAIT),
    ]
}

fn name_of_reply(reply: &Reply) -> &'static str {
    match reply {
        Reply::Done => "done",
        Reply::Configuration(_) => "configuration",
        Reply::Page(_) => "page",
        Reply::Item(_) => "item",
        Reply::Unknown => "unknown",
        Reply::Refused(_) => "refused",
        Reply::ComeBack(_) => "come_back",
    }
}

#[gtest]
fn replies_of_the_group_keep_their_bytes() {
    check(
        include_str!("golden/replies.txt"),
        &replies(),
        name_of_reply,
    );
}

fn call_replies() -> Vec<CallReply> {
    vec![
        CallReply::Reply(Reply::Done),
        CallReply::NotLeader,
        CallReply::Unknown,
        CallReply::Nothing,
    ]
}

fn name_of_call_reply(reply: &CallReply) -> &'static str {
    match reply {
        CallReply::Reply(_) => "reply",
        CallReply::NotLeader => "not_leader",
        CallReply::Unknown => "unknown",
        CallReply::Nothing => "nothing",
    }
}

#[gtest]
fn answers_to_calls_keep_their_bytes() {
    let golden = include_str!("golden/call_replies.txt");
    check(golden, &call_replies(), name_of_call_reply);
}

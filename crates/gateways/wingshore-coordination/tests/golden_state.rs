//! Golden bytes of the replicated log's commands, and of snapshots.

mod golden;

use golden::examples::{
    assignment, configuration, crash, fingerprint, fingerprint_key, finished_text, gateway_id,
    instance, instance_without_start_time, item_key, item_text, job_id, server, submission,
    usage_counts, window_usage,
};
use golden::{check, check_bytes};
use googletest::prelude::*;
use std::io;
use std::sync::Arc;
use wingshore_coordination::{
    CapacityPool, Command, CoordinationState, ItemState, JobId, ListedResult, ModelName,
    OrderHolder, PackedText, ResultText, ServiceName, TextStore, UsageWindow,
};
use wingshore_types::blob::{Blob, BlobPlace};
use wingshore_types::machine::ReplicatedState;
use wingshore_types::snapshot_data::SnapshotData;
use wingshore_types::{Epoch, LogIndex, ReplicaId};

/// Commands that only earlier releases write, taken from a log written by one of them.
fn commands_of_earlier_releases() -> Vec<Command> {
    let log = include_bytes!("fixtures/commands.bin");
    let commands: Vec<Command> = postcard::from_bytes(log).unwrap();
    let is_earlier = |command: &Command| {
        matches!(
            command,
            Command::ConfigureEarlier(_) | Command::RegisterEarlier(_)
        )
    };
    commands.into_iter().filter(is_earlier).take(2).collect()
}

fn capacity_pool(reclaimable: bool) -> CapacityPool {
    CapacityPool {
        service: ServiceName::from("llm"),
        zone: "zone-a".to_owned(),
        reclaimable,
    }
}

fn result(index: u32, state: ItemState, text: &str) -> ListedResult {
    ListedResult {
        index,
        state,
        text: ResultText::pack(text),
        versions: vec![4, 5],
        score: (index == 0).then(|| "0.5".to_owned()),
    }
}

fn commands() -> Vec<Command> {
    let mut commands = commands_of_earlier_releases();
    commands.extend(commands_of_this_release());
    commands
}

fn commands_of_this_release() -> Vec<Command> {
    vec![
        Command::Configure(Arc::new(configuration())),
        Command::Register(server(instance())),
        Command::Register(server(instance_without_start_time())),
        Command::Depart(instance_without_start_time()),
        Command::Expire(instance_without_start_time()),
        Command::NameVersion {
            model: ModelName::from("model-1"),
            version: 131,
        },
        Command::AcceptJob(submission(job_id())),
        Command::AcceptJob(submission(JobId::from("job-0"))),
        Command::ListResult {
            job: job_id(),
            result: result(0, ItemState::Succeeded, "whole text"),
        },
        Command::ListResult {
            job: JobId::from("job-0"),
            result: result(1, ItemState::Abandoned, ""),
        },
        Command::EndJob(JobId::from("job-9")),
        Command::ForgetJob(JobId::from("job-9")),
        Command::HoldOrders(OrderHolder {
            node: "storage-1".to_owned(),
            epoch: Epoch(3),
        }),
        Command::DescribeMember {
            member: ReplicaId(2),
            node: "storage-2".to_owned(),
        },
        Command::RetireMember {
            member: ReplicaId(5_000_000_000),
            node: "storage-3".to_owned(),
        },
        Command::KeepText {
            item: item_key(),
            after_events: 0,
            text: item_text(),
        },
        Command::KeepUnscored {
            item: item_of(1),
            made_by: assignment(7),
            text: finished_text(),
        },
        Command::ListScored {
            item: item_key(),
            made_by: assignment(7),
            score: "0.5".to_owned(),
        },
        Command::CountScoringFailures {
            item: item_of(1),
            made_by: assignment(7),
            failures: 2,
        },
        Command::SettleOrders(Epoch(3)),
        Command::SetFingerprintKey(fingerprint_key()),
        Command::NoteCrashes(vec![crash()]),
        Command::RejectRequests(vec![fingerprint(1)]),
        Command::RelieveRequests(vec![fingerprint(2)]),
        Command::ClearRequests(vec![fingerprint(3)]),
        Command::CloseUsageWindow {
            window: UsageWindow(339_999_999),
            counts: usage_counts(),
        },
        Command::KeepUsage {
            gateway: gateway_id(),
            usage: vec![window_usage()],
        },
        Command::UsageReported(UsageWindow(339_999_998)),
        Command::WantCapacity {
            pool: capacity_pool(false),
            count: 3,
        },
        Command::WantCapacity {
            pool: capacity_pool(true),
            count: 200,
        },
    ]
}

fn item_of(index: u32) -> wingshore_coordination::ItemKey {
    wingshore_coordination::ItemKey {
        index,
        ..item_key()
    }
}

fn name_of_command(command: &Command) -> &'static str {
    match command {
        Command::ConfigureEarlier(_) => "configure_earlier",
        Command::RegisterEarlier(_) => "register_earlier",
        Command::Depart(_) => "depart",
        Command::Expire(_) => "expire",
        Command::NameVersion { .. } => "name_version",
        Command::AcceptJob(_) => "accept_job",
        Command::ListResult { .. } => "list_result",
        Command::EndJob(_) => "end_job",
        Command::ForgetJob(_) => "forget_job",
        Command::HoldOrders(_) => "hold_orders",
        Command::DescribeMember { .. } => "describe_member",
        Command::RetireMember { .. } => "retire_member",
        Command::KeepText { .. } => "keep_text",
        Command::KeepUnscored { .. } => "keep_unscored",
        Command::ListScored { .. } => "list_scored",
        Command::CountScoringFailures { .. } => "count_scoring_failures",
        Command::SettleOrders(_) => "settle_orders",
        Command::SetFingerprintKey(_) => "set_fingerprint_key",
        Command::NoteCrashes(_) => "note_crashes",
        Command::RejectRequests(_) => "reject_requests",
        Command::RelieveRequests(_) => "relieve_requests",
        Command::ClearRequests(_) => "clear_requests",
        Command::KeepUsage { .. } => "keep_usage",
        Command::CloseUsageWindow { .. } => "close_usage_window",
        Command::UsageReported(_) => "usage_reported",
        Command::WantCapacity { .. } => "want_capacity",
        Command::Configure(_) => "configure",
        Command::Register(_) => "register",
    }
}

#[gtest]
fn commands_of_the_log_keep_their_bytes() {
    let golden = include_str!("golden/commands.txt");
    check(golden, &commands(), name_of_command);
}

/// A text store that contains a single text and returns it for every location.
#[derive(Debug)]
struct SingleTextStore;

const PLACE: BlobPlace = BlobPlace {
    file: 4,
    offset: 300,
    length: 12,
    checksum: 0x1234_5678,
};

impl Blob for SingleTextStore {
    fn place(&self) -> BlobPlace {
        PLACE
    }

    fn read(&self) -> io::Result<Vec<u8>> {
        let text = ResultText::pack("whole text");
        text.packed().place().read().map(|bytes| bytes.to_vec())
    }
}

impl TextStore for SingleTextStore {
    fn track(&self, text: &Arc<PackedText>) {
        if text.place().length() > 0 {
            text.move_to(Arc::new(Self));
        }
    }

    fn wait_for_memory(&self) {}

    fn find(&self, place: BlobPlace) -> io::Result<Arc<dyn Blob>> {
        assert_eq!(place, PLACE);
        Ok(Arc::new(Self))
    }

    fn begin_snapshot(&self) -> u64 {
        1
    }

    fn snapshot_durable(&self, _number: u64) {}
}

fn state_with(texts: Option<Arc<dyn TextStore>>) -> CoordinationState {
    let mut state = CoordinationState::default();
    if let Some(texts) = texts {
        state.set_text_store(texts);
    }
    for (index, command) in (1..).zip(commands_of_this_release()) {
        state.apply(LogIndex(index), command);
    }
    state
}

#[gtest]
fn snapshots_keep_their_bytes() {
    let state = state_with(None);
    let on_disk =
        SnapshotData::from(state_with(Some(Arc::new(SingleTextStore))).freeze()).for_local_disk();
    let own = on_disk.to_bytes().unwrap().to_vec();
    let empty = CoordinationState::default().snapshot();
    let examples = [
        ("empty", empty),
        ("with_texts", state.snapshot()),
        ("texts_on_disk", own.clone()),
    ];
    check_bytes(include_str!("golden/snapshots.txt"), &examples);

    let restored = CoordinationState::restore(&state.snapshot()).unwrap();
    expect_that!(restored == state, eq(true));
    let mut restarted = CoordinationState::default();
    restarted.set_text_store(Arc::new(SingleTextStore));
    restarted.restore_from(&mut &own[..]).unwrap();
    expect_that!(restarted == state, eq(true));
}

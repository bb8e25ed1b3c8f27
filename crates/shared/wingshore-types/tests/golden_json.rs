//! JSON of the HTTP interfaces of nodes and of the platform's servers, and encodings of stored
//! values.

mod golden;

use golden::{check, check_json};
use googletest::prelude::*;
use wingshore_types::api::{
    AcknowledgeBody, BatchBody, PublishBody, PullBody, SampleBody, SubmitReply, SubmitRequest,
};
use wingshore_types::blob::BlobPlace;
use wingshore_types::log::{LogRecord, StoredSnapshot};
use wingshore_types::platform::{
    CacheEvent, CacheEventKind, CacheEvents, CancelRequest, EngineCompletionRequest, EngineOrder,
    EngineState, EngineStreamEvent, FencedReply, FinishReason, KvExportRequest, KvHandle,
    KvImportRequest, LoadReport, Machine, MachineList, MachineState, OrderBody, OrderFence,
    ScoreReply, ScoreRequest, Usage,
};
use wingshore_types::{
    Epoch, ErrorBody, ErrorDetail, Instant, LogIndex, OrderSequence, Prompt, SampleNumber, Segment,
    ServerId, ServiceId, StepId, TrainerId, Verdict, WeightVersion, ZoneId,
};

/// Compares one value with a golden file of one line.
macro_rules! check_one {
    ($golden:literal, $value:expr) => {
        check_json(include_str!($golden), &[$value], |_| "value")
    };
}

#[gtest]
fn caller_json_is_stable() {
    let prompt = Prompt {
        number: SampleNumber(1000),
        tokens: vec![1, 2],
        max_tokens: 512,
        seed: 42,
    };
    check_one!(
        "golden/submit_request.json.txt",
        SubmitRequest {
            prompts: vec![prompt]
        }
    );
    check_one!(
        "golden/submit_reply.json.txt",
        SubmitReply { added: 3, known: 4 }
    );
    check_one!(
        "golden/pull_body.json.txt",
        PullBody {
            trainer: TrainerId::new("trainer-1"),
            weight_version: WeightVersion(131),
            count: 32,
            wait_ms: 5000,
        }
    );
    check_one!(
        "golden/batch_body.json.txt",
        BatchBody {
            step: StepId(5),
            weight_version: WeightVersion(131),
            samples: vec![SampleBody {
                number: SampleNumber(1000),
                prompt: vec![1, 2],
                tokens: vec![5, 6],
                segments: vec![Segment {
                    version: WeightVersion(130),
                    tokens: 0..2,
                }],
                score: 0.5,
            }],
        }
    );
    check_one!(
        "golden/acknowledge_body.json.txt",
        AcknowledgeBody {
            trainer: TrainerId::new("trainer-1")
        }
    );
    check_one!(
        "golden/publish_body.json.txt",
        PublishBody {
            version: WeightVersion(131)
        }
    );
}

fn errors() -> Vec<ErrorBody> {
    let error = |verdict, retry_after_ms| ErrorBody {
        error: ErrorDetail {
            code: "no_capacity".to_owned(),
            verdict,
            message: "the reason".to_owned(),
            retry_after_ms,
        },
    };
    vec![
        error(Verdict::NotRun, Some(1000)),
        error(Verdict::MayHaveRun, None),
        error(Verdict::Ran, None),
    ]
}

fn name_of_error(error: &ErrorBody) -> &'static str {
    match error.error.verdict {
        Verdict::NotRun => "not_run",
        Verdict::MayHaveRun => "may_have_run",
        Verdict::Ran => "ran",
    }
}

#[gtest]
fn error_json_is_stable() {
    let golden = include_str!("golden/errors.json.txt");
    check_json(golden, &errors(), name_of_error);
}

fn stream_events() -> Vec<EngineStreamEvent> {
    let finished = |finish_reason| EngineStreamEvent::Finished {
        finish_reason,
        usage: Usage {
            prompt_tokens: 10,
            completion_tokens: 20,
            cached_tokens: 5,
        },
    };
    vec![
        EngineStreamEvent::Chunk {
            tokens: vec![5, 6],
            weight_version: WeightVersion(130),
        },
        finished(FinishReason::Stop),
        finished(FinishReason::Length),
    ]
}

fn name_of_stream_event(event: &EngineStreamEvent) -> &'static str {
    match event {
        EngineStreamEvent::Chunk { .. } => "chunk",
        EngineStreamEvent::Finished { finish_reason, .. } => match finish_reason {
            FinishReason::Stop => "finished_stop",
            FinishReason::Length => "finished_length",
        },
    }
}

fn fence() -> OrderFence {
    OrderFence {
        epoch: Epoch(30),
        sequence: OrderSequence(7),
    }
}

fn orders() -> Vec<EngineOrder> {
    let order = |order| EngineOrder {
        fence: fence(),
        order,
    };
    vec![
        order(OrderBody::LoadWeights {
            version: WeightVersion(131),
            source: "http://10.2.3.6:7000/weights/131".to_owned(),
        }),
        order(OrderBody::LoadModel {
            model: "model-1".to_owned(),
        }),
        order(OrderBody::LoadAdapter {
            adapter: "adapter-1".to_owned(),
        }),
        order(OrderBody::SetRole {
            role: "rollout".to_owned(),
        }),
        order(OrderBody::Drain),
    ]
}

fn name_of_order(order: &EngineOrder) -> &'static str {
    match order.order {
        OrderBody::LoadWeights { .. } => "load_weights",
        OrderBody::LoadModel { .. } => "load_model",
        OrderBody::LoadAdapter { .. } => "load_adapter",
        OrderBody::SetRole { .. } => "set_role",
        OrderBody::Drain => "drain",
    }
}

#[gtest]
fn engine_json_is_stable() {
    check_one!(
        "golden/completion_request.json.txt",
        EngineCompletionRequest {
            request_id: "request-1".to_owned(),
            model: "model-1".to_owned(),
            adapter: Some("adapter-1".to_owned()),
            prompt: vec![1, 2],
            resume: vec![5],
            max_tokens: 512,
            priority: -1,
            stream: true,
            deadline_ms: 30_000,
            seed: 42,
        }
    );
    let golden = include_str!("golden/stream_events.json.txt");
    check_json(golden, &stream_events(), name_of_stream_event);
    let golden = include_str!("golden/orders.json.txt");
    check_json(golden, &orders(), name_of_order);
    check_one!(
        "golden/fenced_reply.json.txt",
        FencedReply {
            highest_epoch: Epoch(30),
            highest_sequence: OrderSequence(7),
        }
    );
    check_one!(
        "golden/engine_state.json.txt",
        EngineState {
            boot_id: 12345,
            role: "rollout".to_owned(),
            models: vec!["model-1".to_owned()],
            weight_version: Some(WeightVersion(130)),
            loading: Some(WeightVersion(131)),
            last_order: Some(fence()),
            draining: true,
            in_flight: 3,
            queue: 4,
            kv_free: 50_000,
        }
    );
    check_one!(
        "golden/load_report.json.txt",
        LoadReport {
            in_flight: 3,
            queue: 4,
            age_ms: 250,
        }
    );
}

#[gtest]
fn cache_json_is_stable() {
    let request_id = "request-1".to_owned();
    let handle = "handle-1".to_owned();
    check_one!(
        "golden/cancel_request.json.txt",
        CancelRequest {
            request_id: request_id.clone()
        }
    );
    check_one!(
        "golden/kv_export_request.json.txt",
        KvExportRequest { request_id }
    );
    check_one!(
        "golden/kv_handle.json.txt",
        KvHandle {
            handle: handle.clone()
        }
    );
    check_one!(
        "golden/kv_import_request.json.txt",
        KvImportRequest {
            handle,
            from: ([10, 2, 3, 1], 7000).into(),
        }
    );
    let event = |sequence, kind| CacheEvent {
        sequence,
        prefix_hash: 0xfedc_ba98_7654_3210,
        tokens: 128,
        kind,
    };
    check_one!(
        "golden/cache_events.json.txt",
        CacheEvents {
            boot_id: 12345,
            events: vec![
                event(1, CacheEventKind::Stored),
                event(2, CacheEventKind::Evicted),
            ],
        }
    );
}

#[gtest]
fn platform_server_json_is_stable() {
    let machine = |state| Machine {
        id: ServerId::new("server-1"),
        address: ([10, 2, 3, 1], 7000).into(),
        zone: ZoneId::new("zone-a"),
        services: vec![ServiceId::new("service-1")],
        state,
    };
    check_one!(
        "golden/machine_list.json.txt",
        MachineList {
            as_of: 1_700_000_000_000,
            machines: vec![machine(MachineState::Live), machine(MachineState::Leaving)],
        }
    );
    check_one!(
        "golden/score_request.json.txt",
        ScoreRequest {
            sample_id: SampleNumber(1000),
            prompt: vec![1, 2],
            tokens: vec![5, 6],
        }
    );
    check_one!("golden/score_reply.json.txt", ScoreReply { score: 0.5 });
}

#[gtest]
fn stored_value_encodings_are_stable() {
    let record = LogRecord {
        index: LogIndex(300),
        term: 7,
        data: vec![1, 2, 200],
    };
    check(
        include_str!("golden/log_record.txt"),
        &[record],
        |_| "record",
    );
    let snapshot = StoredSnapshot {
        index: LogIndex(300),
        term: 7,
        data: vec![1, 2, 200].into(),
    };
    check(
        include_str!("golden/snapshot.txt"),
        &[snapshot],
        |_| "snapshot",
    );
    let place = BlobPlace {
        file: 4,
        offset: 300,
        length: 12,
        checksum: 0x1234_5678,
    };
    check(include_str!("golden/blob_place.txt"), &[place], |_| "place");
    let instant = Instant::from_millis(1500);
    check(
        include_str!("golden/instant.txt"),
        &[instant],
        |_| "instant",
    );
}

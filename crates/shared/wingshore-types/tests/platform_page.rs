//! Every JSON block of `docs/PLATFORM.md` is a valid value of the type that it names.

use googletest::prelude::*;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use wingshore_types::platform::{
    CacheEvents, CancelRequest, EngineCompletionRequest, EngineOrder, EngineState,
    EngineStreamEvent, FencedReply, KvExportRequest, KvHandle, KvImportRequest, LoadReport,
    MachineList, ScoreReply, ScoreRequest,
};

const PAGE: &str = include_str!("../../../../docs/PLATFORM.md");
const OPENING: &str = "```json ";
const CLOSING: &str = "```";

/// Returns the type name and the JSON of each block.
fn blocks() -> Vec<(&'static str, &'static str)> {
    let parts = PAGE.split(OPENING).skip(1);
    parts
        .filter_map(|part| {
            let (block, _) = part.split_once(CLOSING)?;
            block.split_once('\n')
        })
        .collect()
}

/// Returns whether the JSON is unchanged after it is decoded as `T` and encoded again.
fn round_trips<T: DeserializeOwned + Serialize>(json: &str) -> bool {
    let Ok(value) = serde_json::from_str::<T>(json) else {
        return false;
    };
    let written = serde_json::to_value(&value).ok();
    written == serde_json::from_str::<Value>(json).ok()
}

fn block_round_trips(name: &str, json: &str) -> bool {
    match name {
        "EngineCompletionRequest" => round_trips::<EngineCompletionRequest>(json),
        "EngineStreamEvent" => round_trips::<EngineStreamEvent>(json),
        "CancelRequest" => round_trips::<CancelRequest>(json),
        "EngineOrder" => round_trips::<EngineOrder>(json),
        "FencedReply" => round_trips::<FencedReply>(json),
        "EngineState" => round_trips::<EngineState>(json),
        "LoadReport" => round_trips::<LoadReport>(json),
        "CacheEvents" => round_trips::<CacheEvents>(json),
        "KvExportRequest" => round_trips::<KvExportRequest>(json),
        "KvHandle" => round_trips::<KvHandle>(json),
        "KvImportRequest" => round_trips::<KvImportRequest>(json),
        "MachineList" => round_trips::<MachineList>(json),
        "ScoreRequest" => round_trips::<ScoreRequest>(json),
        "ScoreReply" => round_trips::<ScoreReply>(json),
        _ => false,
    }
}

#[googletest::test]
fn json_blocks_of_the_page_match_their_types() {
    let blocks = blocks();
    expect_that!(blocks.len(), ge(14));
    for (name, json) in blocks {
        expect_that!(block_round_trips(name, json), eq(true), "{name}: {json}");
    }
}

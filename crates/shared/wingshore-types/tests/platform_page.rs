//! Every JSON block of `docs/PLATFORM.md` is a value of the type named beside it.

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

/// A block's type and its JSON.
fn blocks() -> Vec<(&'static str, &'static str)> {
    let parts = PAGE.split(OPENING).skip(1);
    parts
        .filter_map(|part| {
            let (block, _) = part.split_once(CLOSING)?;
            block.split_once('\n')
        })
        .collect()
}

/// Whether the JSON, read as `T` and written again, says the same.
fn agrees<T: DeserializeOwned + Serialize>(json: &str) -> bool {
    let Ok(value) = serde_json::from_str::<T>(json) else {
        return false;
    };
    let written = serde_json::to_value(&value).ok();
    written == serde_json::from_str::<Value>(json).ok()
}

fn block_agrees(name: &str, json: &str) -> bool {
    match name {
        "EngineCompletionRequest" => agrees::<EngineCompletionRequest>(json),
        "EngineStreamEvent" => agrees::<EngineStreamEvent>(json),
        "CancelRequest" => agrees::<CancelRequest>(json),
        "EngineOrder" => agrees::<EngineOrder>(json),
        "FencedReply" => agrees::<FencedReply>(json),
        "EngineState" => agrees::<EngineState>(json),
        "LoadReport" => agrees::<LoadReport>(json),
        "CacheEvents" => agrees::<CacheEvents>(json),
        "KvExportRequest" => agrees::<KvExportRequest>(json),
        "KvHandle" => agrees::<KvHandle>(json),
        "KvImportRequest" => agrees::<KvImportRequest>(json),
        "MachineList" => agrees::<MachineList>(json),
        "ScoreRequest" => agrees::<ScoreRequest>(json),
        "ScoreReply" => agrees::<ScoreReply>(json),
        _ => false,
    }
}

#[googletest::test]
fn every_block_of_the_page_is_a_value_of_its_type() {
    let blocks = blocks();
    expect_that!(blocks.len(), ge(14));
    for (name, json) in blocks {
        expect_that!(block_agrees(name, json), eq(true), "{name}: {json}");
    }
}

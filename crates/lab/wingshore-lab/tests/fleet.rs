//! A short run of a whole site as real processes: the README's main job.

use googletest::prelude::*;
use serde_json::Value;
use std::process::Command;
use wingshore_lab::fleet::lost_disk::identity_in;
use wingshore_types::ReplicaId;

/// A run counts with more steps than this.
const FEWEST_STEPS: u64 = 3;

#[gtest]
fn a_replica_that_lost_its_disk_again_is_known_by_its_newest_identity() {
    let line = |identity: u64| format!("replica {identity} of site `a` at 127.0.0.1:7101\n");
    let (founder, first, second) = (2, 15_674_121_014_079_552_868, 729_041_627_149_765_990);
    let cases = [
        (String::new(), founder, None),
        (line(first), founder, Some(first)),
        (line(first), first, None),
        (line(first) + &line(second), first, Some(second)),
    ];
    for (output, old, expected) in cases {
        let found = identity_in(&output, ReplicaId(old));
        expect_that!(found, eq(expected.map(ReplicaId)), "{output}");
    }
}

#[gtest]
fn a_short_run_of_farewind_breaks_no_promise() {
    // The program builds `wingshore` first where it is missing or old.
    let output = Command::new(env!("CARGO_BIN_EXE_wingshore-lab"))
        .args(["fleet", "--site", "farewind", "--seconds", "5", "--json"])
        .args(["--steps", &(FEWEST_STEPS + 1).to_string()])
        .output()
        .expect("the program starts");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    expect_true!(output.status.success(), "{text}\n{errors}");
    let last = text.lines().last().unwrap_or_default();
    let result: Value = serde_json::from_str(last).expect("the last line is one JSON object");
    expect_that!(result["violations"], eq(&serde_json::json!({})));
    expect_that!(result["steps"].as_u64(), some(gt(FEWEST_STEPS)));
    for figure in ["samples_delivered", "live_requests"] {
        expect_that!(result[figure].as_u64(), some(gt(0)), "{figure}");
    }
    for figure in ["trainer_idle", "staleness_mean", "staleness_max"] {
        expect_true!(result[figure].is_number(), "{figure}");
    }
}

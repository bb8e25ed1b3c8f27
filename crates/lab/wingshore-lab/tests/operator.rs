//! The operator of a fleet asks again without asking twice.

use googletest::prelude::*;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tempfile::tempdir;
use wingshore_lab::fleet::operator::Operator;

/// A `wingshore` that notes its arguments and takes exit statuses from a list, a line each.
const SCRIPT: &str = r#"#!/bin/sh
folder=$(dirname "$0")
echo "$@" >> "$folder/asked"
status=$(head -n 1 "$folder/statuses")
sed -i 1d "$folder/statuses"
cat "$folder/plan"
exit "$status"
"#;

const PLAN: &str = r#"{"id":1,"intent_id":"1","intent":{"drain":"a"},"base_revision":0,"steps":[],
  "cost":COST,"state":"done"}"#;

const ANSWERED: u8 = 0;
const NO_ANSWER: u8 = 1;
const REFUSED: u8 = 3;

fn scripted(folder: &Path, statuses: &[u8]) -> PathBuf {
    let write = |name: &str, text: &str| std::fs::write(folder.join(name), text).unwrap();
    let lines: Vec<String> = statuses
        .iter()
        .map(|status| format!("{status}\n"))
        .collect();
    write("statuses", &lines.concat());
    let cost = serde_json::to_string(&wingshore_types::protocol::control::PlanCost::default());
    write("plan", &PLAN.replace("COST", &cost.unwrap()));
    write("wingshore", SCRIPT);
    let program = folder.join("wingshore");
    std::fs::set_permissions(&program, PermissionsExt::from_mode(0o755)).unwrap();
    program
}

/// A command and the number of its identity, in the order in which identities were first used.
type Asked = (&'static str, usize);

fn asked(folder: &Path) -> Vec<Asked> {
    let text = std::fs::read_to_string(folder.join("asked")).unwrap();
    let mut identities: Vec<&str> = Vec::new();
    let lines = text.lines().map(|line| {
        let words: Vec<&str> = line.split(' ').collect();
        let flag = words.iter().position(|word| *word == "--intent").unwrap();
        let identity = words[flag + 1];
        if !identities.contains(&identity) {
            identities.push(identity);
        }
        let number = identities.iter().position(|known| *known == identity);
        let confirms = words.contains(&"confirm");
        (if confirms { "confirm" } else { "plan" }, number.unwrap())
    });
    lines.collect()
}

#[gtest]
fn a_command_without_an_answer_is_asked_again_under_its_identity_and_a_refused_one_anew() {
    let cases: [(&[u8], &[Asked]); 4] = [
        (&[ANSWERED, ANSWERED], &[("plan", 0), ("confirm", 1)]),
        (
            &[ANSWERED, NO_ANSWER, ANSWERED],
            &[("plan", 0), ("confirm", 1), ("confirm", 1)],
        ),
        (
            &[NO_ANSWER, ANSWERED, ANSWERED],
            &[("plan", 0), ("plan", 0), ("confirm", 1)],
        ),
        (
            &[ANSWERED, REFUSED, ANSWERED, ANSWERED],
            &[("plan", 0), ("confirm", 1), ("plan", 2), ("confirm", 3)],
        ),
    ];
    for (statuses, expected) in cases {
        let folder = tempdir().unwrap();
        let program = scripted(folder.path(), statuses);
        let operator = Operator::new(&program, &[]);
        let done = operator.carry_out_whole(&["drain", "a"], Duration::from_secs(60));
        expect_true!(done.is_ok(), "{statuses:?}: {done:?}");
        expect_that!(asked(folder.path()), eq(expected), "{statuses:?}");
    }
}

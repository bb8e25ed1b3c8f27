//! Tests that `docs/operations/settings.md` lists exactly the keys that exist, with their defaults
//! and allowed values.

use googletest::prelude::*;
use std::path::Path;
use wingshore_settings::{KeyDescription, catalogue};

/// Returns the expected cells of a key's row: name, default and allowed values. The last cell, the
/// purpose of the key, is free text.
fn cells(key: &KeyDescription) -> [String; 3] {
    let default = match &key.default {
        Some(default) => format!("`{default}`"),
        None => "must be there".to_owned(),
    };
    let name = key.key.replace("[1]", "[]");
    [format!("`{name}`"), default, key.allowed.clone()]
}

/// Returns the rows of the table under the heading of `role`.
fn rows(page: &str, role: &str) -> Vec<Vec<String>> {
    let heading = format!("\n## `role = \"{role}\"`\n");
    let section = page.split(&heading).nth(1).unwrap_or_default();
    let section = section.split("\n## ").next().unwrap_or_default();
    let lines = section.lines().filter(|line| line.starts_with("| `"));
    lines
        .map(|line| {
            let line = line.trim_start_matches('|').trim_end_matches('|');
            line.split(" | ")
                .map(|cell| cell.trim().to_owned())
                .collect()
        })
        .collect()
}

#[gtest]
fn page_lists_every_setting_with_default_and_allowed_values() -> Result<()> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../../docs/operations/settings.md");
    let page = std::fs::read_to_string(path)?;
    for role in catalogue() {
        let rows = rows(&page, role.role);
        let listed: Vec<[String; 3]> = role.keys.iter().map(cells).collect();
        let found: Vec<Vec<String>> = rows
            .iter()
            .map(|row| row[..3.min(row.len())].to_vec())
            .collect();
        let expected: Vec<Vec<String>> = listed.iter().map(|row| row.to_vec()).collect();
        expect_that!(found, eq(&expected), "{}", role.role);
        for row in &rows {
            expect_that!(
                row.get(3).map(String::len),
                some(gt(10)),
                "what it is for: {row:?}"
            );
        }
    }
    Ok(())
}

#[gtest]
fn every_role_has_settings() {
    for role in catalogue() {
        expect_that!(role.keys.len(), gt(5), "{}", role.role);
    }
}

//! The page of decisions names modules that exist and constants that stand in them.

use googletest::prelude::*;
use std::path::{Path, PathBuf};

const PAGE: &str = include_str!("../../../../docs/DECISIONS.md");

/// Columns of a row: the question, the modules, the constants, the rule.
const COLUMNS: usize = 4;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .ancestors()
        .find(|folder| folder.join("Cargo.lock").is_file())
        .map(Path::to_owned)
        .unwrap_or_default()
}

/// Rows of the page's tables, without heads and rulers.
fn rows() -> Vec<Vec<&'static str>> {
    PAGE.lines()
        .filter_map(|line| line.strip_prefix("| "))
        .map(|line| line.trim_end_matches(" |").split(" | ").collect())
        .filter(|columns: &Vec<&str>| columns.first() != Some(&"Question"))
        .collect()
}

/// What stands between backticks.
fn quoted(cell: &str) -> impl Iterator<Item = &str> {
    cell.split('`').skip(1).step_by(2)
}

fn sources(cell: &str) -> Result<String> {
    let mut text = String::new();
    for target in cell.split("](").skip(1) {
        let link = target.split(')').next().unwrap_or(target);
        let path = root().join("docs").join(link);
        assert_that!(path.is_file(), is_true(), "no module {}", path.display());
        text += &std::fs::read_to_string(path)?;
    }
    Ok(text)
}

#[gtest]
fn every_rule_names_its_module_and_its_constants() -> Result<()> {
    let rows = rows();
    for columns in &rows {
        assert_that!(columns.len(), eq(COLUMNS), "{columns:?}");
        let modules = columns[1];
        expect_true!(modules.contains("]("), "no link in {modules}");
        let source = sources(modules)?;
        for constant in quoted(columns[2]) {
            let is_declared = source.contains(&format!("const {constant}:"));
            expect_true!(is_declared, "{constant} does not stand in {modules}");
        }
    }
    expect_that!(rows.len(), gt(20));
    Ok(())
}

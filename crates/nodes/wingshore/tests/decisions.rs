//! Checks that the modules named by the page of decisions exist and declare the constants that the
//! page lists for them.

use googletest::prelude::*;
use std::path::{Path, PathBuf};

const PAGE: &str = include_str!("../../../../docs/DECISIONS.md");

/// Number of columns of a row: the question, the modules, the constants, the rule.
const COLUMNS: usize = 4;

fn repository_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .ancestors()
        .find(|folder| folder.join("Cargo.lock").is_file())
        .map(Path::to_owned)
        .unwrap_or_default()
}

/// Returns the rows of the page's tables, without header and separator rows.
fn rows() -> Vec<Vec<&'static str>> {
    PAGE.lines()
        .filter_map(|line| line.strip_prefix("| "))
        .map(|line| line.trim_end_matches(" |").split(" | ").collect())
        .filter(|columns: &Vec<&str>| columns.first() != Some(&"Question"))
        .collect()
}

/// Returns the texts between backticks.
fn code_spans(cell: &str) -> impl Iterator<Item = &str> {
    cell.split('`').skip(1).step_by(2)
}

/// Returns the concatenated sources of the modules that the cell links to.
fn linked_sources(cell: &str) -> Result<String> {
    let mut text = String::new();
    for target in cell.split("](").skip(1) {
        let link = target.split(')').next().unwrap_or(target);
        let path = repository_root().join("docs").join(link);
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
        let source = linked_sources(modules)?;
        for constant in code_spans(columns[2]) {
            let is_declared = source.contains(&format!("const {constant}:"));
            expect_true!(is_declared, "{constant} is not declared in {modules}");
        }
    }
    expect_that!(rows.len(), gt(20));
    Ok(())
}

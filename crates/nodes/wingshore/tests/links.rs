//! Every page, folder and file of the repository that a page names exists.

use googletest::prelude::*;
use std::path::{Path, PathBuf};

/// Beginnings of paths that pages name from the top of the repository.
const ROOTS: [&str; 5] = ["docs/", "crates/", "examples/", "sites/", ".ci/"];

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../..")
}

fn pages(folder: &Path, found: &mut Vec<PathBuf>) -> std::io::Result<()> {
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        if path.is_dir() {
            pages(&path, found)?;
        } else if path.extension().is_some_and(|extension| extension == "md") {
            found.push(path);
        }
    }
    Ok(())
}

/// Targets of links, from the page's folder.
fn links(text: &str) -> impl Iterator<Item = &str> {
    let targets = text
        .split("](")
        .skip(1)
        .filter_map(|rest| rest.split(')').next());
    targets.filter(|target| !target.contains("://") && !target.starts_with('#'))
}

/// Paths between backticks, from the top of the repository; patterns are left out.
fn paths(text: &str) -> impl Iterator<Item = &str> {
    let between = text.split('`').skip(1).step_by(2);
    between.filter(|path| {
        let is_path = ROOTS.iter().any(|root| path.starts_with(root));
        is_path && !path.contains(['*', '{', ' ', 'N', '…', '\n'])
    })
}

#[gtest]
fn what_pages_name_exists() -> Result<()> {
    let mut found = vec![root().join("README.md")];
    pages(&root().join("docs"), &mut found)?;
    let mut checked = 0;
    for page in found {
        // Blocks of code hold commands and output, not links.
        let text = std::fs::read_to_string(&page)?;
        let prose: String = text.split("```").step_by(2).collect();
        let folder = page.parent().unwrap_or(&page);
        let linked = links(&prose).map(|link| folder.join(link.split('#').next().unwrap_or(link)));
        let named = paths(&prose).map(|path| root().join(path));
        for target in linked.chain(named) {
            expect_true!(
                target.exists(),
                "{} names {}",
                page.display(),
                target.display()
            );
            checked += 1;
        }
    }
    expect_that!(checked, gt(40));
    Ok(())
}

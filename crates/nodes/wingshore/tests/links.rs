//! Checks that every page, folder and file of the repository that a page names exists.

use googletest::prelude::*;
use std::path::{Path, PathBuf};

/// Prefixes of paths that pages give relative to the repository root.
const PATH_PREFIXES: [&str; 5] = ["docs/", "crates/", "examples/", "sites/", ".ci/"];

fn repository_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../..")
}

/// Collects the Markdown files below `folder`.
fn collect_pages(folder: &Path, found: &mut Vec<PathBuf>) -> std::io::Result<()> {
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        if path.is_dir() {
            collect_pages(&path, found)?;
        } else if path.extension().is_some_and(|extension| extension == "md") {
            found.push(path);
        }
    }
    Ok(())
}

/// Returns the targets of local links, relative to the page's folder.
fn link_targets(text: &str) -> impl Iterator<Item = &str> {
    let targets = text
        .split("](")
        .skip(1)
        .filter_map(|rest| rest.split(')').next());
    targets.filter(|target| !target.contains("://") && !target.starts_with('#'))
}

/// Returns the paths between backticks, relative to the repository root, without patterns.
fn quoted_paths(text: &str) -> impl Iterator<Item = &str> {
    let between = text.split('`').skip(1).step_by(2);
    between.filter(|path| {
        let is_path = PATH_PREFIXES.iter().any(|prefix| path.starts_with(prefix));
        is_path && !path.contains(['*', '{', ' ', 'N', '…', '\n'])
    })
}

#[gtest]
fn links_and_paths_in_pages_exist() -> Result<()> {
    let mut found = vec![repository_root().join("README.md")];
    collect_pages(&repository_root().join("docs"), &mut found)?;
    let mut checked = 0;
    for page in found {
        // Code blocks contain commands and output, not links.
        let text = std::fs::read_to_string(&page)?;
        let prose: String = text.split("```").step_by(2).collect();
        let folder = page.parent().unwrap_or(&page);
        let linked =
            link_targets(&prose).map(|link| folder.join(link.split('#').next().unwrap_or(link)));
        let named = quoted_paths(&prose).map(|path| repository_root().join(path));
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

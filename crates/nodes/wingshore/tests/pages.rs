//! Runs every `sh` block of the operator pages unchanged except for the ports, and compares the
//! output with the page; numbers and identities may differ.

mod support;

use googletest::prelude::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use support::back_end::BackEnd;
use support::free_address;

/// Page whose commands set up the site for the other pages.
const FIRST_SITE: &str = "first-site";
/// Heading of the first page at which the setup for the other pages ends.
const STOP_HEADING: &str = "\n## Stop the site";
/// Line printed before the output of each block.
const BLOCK_SEPARATOR: &str = "@@@ block";
/// Ports of the example on which back ends listen.
const BACK_END_PORTS: [u16; 6] = [6301, 6302, 6401, 6402, 6501, 6502];
/// Transient states of members and nodes that lag briefly, and the text of the final state.
const TRANSIENT_STATES: [(&str, &str); 4] = [
    (", # entries behind", ", in step"),
    (", not heard of", ", in step"),
    (", waiting for node-#", ""),
    (" in force, # behind", " in force"),
];

/// A fenced block of a page.
#[derive(Debug, PartialEq)]
struct Block {
    language: String,
    text: String,
}

fn blocks(page: &str) -> Vec<Block> {
    let mut blocks = Vec::new();
    let mut open: Option<Block> = None;
    for line in page.lines() {
        match (line.strip_prefix("```"), open.take()) {
            (Some(_), Some(block)) => blocks.push(block),
            (Some(language), None) => {
                let (language, text) = (language.to_owned(), String::new());
                open = Some(Block { language, text });
            }
            (None, Some(mut block)) => {
                block.text.push_str(line);
                block.text.push('\n');
                open = Some(block);
            }
            (None, None) => {}
        }
    }
    blocks
}

fn repository_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../..")
}

fn read_page(name: &str) -> String {
    let path = repository_root().join(format!("docs/operations/{name}.md"));
    std::fs::read_to_string(path).expect("the page is there")
}

/// Free addresses that replace the ports of the example.
#[derive(Default)]
struct Ports(BTreeMap<String, SocketAddr>);

impl Ports {
    /// Returns `text` with every port of the example replaced.
    fn replace(&mut self, text: &str) -> String {
        const HOST: &str = "127.0.0.1:";
        let mut parts = text.split(HOST);
        let mut replaced = parts.next().unwrap_or_default().to_owned();
        for part in parts {
            let digits = part
                .find(|c: char| !c.is_ascii_digit())
                .unwrap_or(part.len());
            let (port, rest) = part.split_at(digits);
            replaced.push_str(&self.address(port).to_string());
            replaced.push_str(rest);
        }
        replaced
    }

    fn address(&mut self, port: &str) -> SocketAddr {
        *self.0.entry(port.to_owned()).or_insert_with(free_address)
    }
}

/// Copies the example into `folder` and links the program there.
fn prepare(folder: &Path, ports: &mut Ports) -> std::io::Result<()> {
    let example = folder.join("examples/first-site");
    std::fs::create_dir_all(&example)?;
    for entry in std::fs::read_dir(repository_root().join("examples/first-site"))? {
        let entry = entry?;
        if entry.path().is_file() {
            let text = std::fs::read_to_string(entry.path())?;
            std::fs::write(example.join(entry.file_name()), ports.replace(&text))?;
        }
    }
    let programs = folder.join("target/release");
    std::fs::create_dir_all(&programs)?;
    let program = env!("CARGO_BIN_EXE_wingshore");
    std::os::unix::fs::symlink(program, programs.join("wingshore"))
}

/// Returns one script of all commands; a separator line precedes each block of `page`.
fn script(page: &str, prelude: &str) -> String {
    // The trap kills background processes however the script ends.
    let mut script =
        "set -euo pipefail\ntrap 'kill -KILL $(jobs -p) 2>/dev/null || true' EXIT\n".to_owned();
    let is_run = |block: &Block| block.language == "sh";
    for block in blocks(prelude).into_iter().filter(is_run) {
        script.push_str(&block.text);
    }
    for block in blocks(page).into_iter().filter(is_run) {
        script.push_str(&format!("echo '{BLOCK_SEPARATOR}'\n{}", block.text));
    }
    script
}

/// Normalises output for the comparison: replaces numbers, identities and transient states, and
/// removes the shell's notices about killed jobs.
fn normalised(text: &str) -> Vec<String> {
    let is_job_notice = |line: &&str| line.starts_with("bash: line") && line.contains(" Killed ");
    let lines = text.lines().filter(|line| !is_job_notice(line));
    lines.map(normalised_line).collect()
}

fn normalised_line(line: &str) -> String {
    let mut normal = String::new();
    for word in line.split_inclusive(|c: char| !c.is_ascii_alphanumeric()) {
        let is_separator = |c: char| !c.is_ascii_alphanumeric();
        let bare = word.trim_end_matches(is_separator);
        let is_identity = bare.len() > 12 && bare.bytes().all(|b| b.is_ascii_hexdigit());
        if is_identity || (!bare.is_empty() && bare.bytes().all(|b| b.is_ascii_digit())) {
            normal.push('#');
            normal.push_str(&word[bare.len()..]);
        } else {
            normal.push_str(word);
        }
    }
    let normal = normal.replace("#.#", "#").replace("# ms", "# s");
    TRANSIENT_STATES
        .iter()
        .fold(normal, |line, (transient, settled)| {
            line.replace(transient, settled)
        })
}

/// Runs a page; each `text` block must equal the output of the `sh` block before it.
fn run_page(name: &str) -> Result<()> {
    let folder = tempfile::tempdir()?;
    let mut ports = Ports::default();
    prepare(folder.path(), &mut ports)?;
    let first = read_page(FIRST_SITE);
    let page = read_page(name);
    let (prelude, back_ends) = if name == FIRST_SITE {
        (String::new(), Vec::new())
    } else {
        let prelude = first.split(STOP_HEADING).next().unwrap_or_default();
        let addresses = BACK_END_PORTS.map(|port| ports.address(&port.to_string()));
        (prelude.to_owned(), addresses.map(BackEnd::start).into())
    };
    let script = ports.replace(&script(&page, &prelude));
    let output = Command::new("bash")
        .args(["-c", &format!("exec 2>&1\n{script}")])
        .current_dir(folder.path())
        .stdin(Stdio::null())
        .output()?;
    drop(back_ends);
    let printed = String::from_utf8_lossy(&output.stdout).into_owned();
    expect_that!(output.status.code(), some(eq(0)), "{printed}");
    let mut outputs = printed.split(BLOCK_SEPARATOR).skip(1);
    let mut compared = 0;
    let mut printed = "";
    for block in blocks(&page) {
        if block.language == "sh" {
            printed = outputs.next().unwrap_or_default().trim();
        } else if block.language == "text" {
            expect_that!(normalised(printed), eq(&normalised(block.text.trim())));
            compared += 1;
        }
    }
    verify_that!(compared, gt(0))
}

/// Declares one test for each page.
macro_rules! pages {
    ($($test:ident: $page:literal),* $(,)?) => {
        $(#[gtest]
        fn $test() -> Result<()> {
            run_page($page)
        })*

        /// Names of the pages that have a test; checked for completeness below.
        const PAGES: &[&str] = &[$($page),*];
    };
}

pages! {
    first_site: "first-site",
    move_a_pool: "move-a-pool",
    drain_a_server: "drain-a-server",
    replace_a_lost_disk: "replace-a-lost-disk",
    planned_stop: "planned-stop",
    upgrade_and_restart: "upgrade-and-restart",
    quorum_lost: "quorum-lost",
    metrics_and_logs: "metrics-and-logs",
}

#[gtest]
fn every_page_with_commands_is_run() -> Result<()> {
    for entry in std::fs::read_dir(repository_root().join("docs/operations"))? {
        let path = entry?.path();
        let page = std::fs::read_to_string(&path)?;
        let name = path
            .file_stem()
            .unwrap_or_default()
            .to_string_lossy()
            .into_owned();
        let has_commands = blocks(&page).iter().any(|block| block.language == "sh");
        expect_true!(!has_commands || PAGES.contains(&name.as_str()), "{name}");
    }
    Ok(())
}

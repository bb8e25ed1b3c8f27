//! Tests of placement and moves on engines of unequal speed: two of three need 0.7 and one 1.7 of the
//! mean time for an event.
//!
//! A step of one text a group is run to its end without a simulator: between two reports each
//! running text grows by the events that its engine makes in that time.

mod support;

use googletest::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use support::{Group, engine, job};
use wingshore_coordination::{
    AssignmentId, BreakCause, CoordinatorMessage, Decision, Effect, Event, FinishedText, GatewayId,
    InstanceId, ItemAssignment, ItemOutcome, ItemProgress, ItemText, JobSubmission, MoveReason,
    Request,
};

/// Time between two progress reports of a gateway.
const REPORT_PERIOD: Duration = Duration::from_millis(400);
const FAST_MS: f64 = 28.0;
const SLOW_MS: f64 = 68.0;
const TOKENS_PER_EVENT: u64 = 72;
const ENGINES: usize = 6;

struct Run {
    item: ItemAssignment,
    events: f64,
}

struct Site {
    group: Group,
    gateway: GatewayId,
    /// Milliseconds per event of each engine.
    paces: BTreeMap<InstanceId, f64>,
    /// Number of events of each text, by the name of its item.
    lengths: BTreeMap<String, f64>,
    running: BTreeMap<AssignmentId, Run>,
    moves: Vec<(String, MoveReason)>,
    /// Where each text ran last.
    ran_on: BTreeMap<String, InstanceId>,
}

impl Site {
    /// A site whose engines have shown their pace.
    fn new() -> Self {
        let mut group = Group::new();
        let gateway = group.add_gateway(1);
        let mut paces = BTreeMap::new();
        for number in 0..ENGINES {
            let record = engine(&format!("e{number}"), 1);
            let pace = if number % 3 == 2 { SLOW_MS } else { FAST_MS };
            paces.insert(record.instance.clone(), pace);
            group.heartbeat(record);
        }
        let mut site = Self {
            group,
            gateway,
            paces,
            lengths: BTreeMap::new(),
            running: BTreeMap::new(),
            moves: Vec::new(),
            ran_on: BTreeMap::new(),
        };
        site.submit("first", &[60.0; ENGINES]);
        site.run_to_end();
        site.moves.clear();
        site
    }

    /// Submits a step of which each text is a group, with right estimates.
    fn submit(&mut self, name: &str, lengths: &[f64]) {
        let mut submission = JobSubmission::clone(&job(name, lengths.len() as u32));
        submission.desired = lengths.len() as u32;
        for (item, length) in submission.items.iter_mut().zip(lengths) {
            item.group = item.id.to_string();
            item.tokens = 100_000;
            item.expected_output = Some(*length as u64 * TOKENS_PER_EVENT);
            self.lengths.insert(item.id.to_string(), *length);
        }
        self.group.ask(Request::SubmitJob(Arc::new(submission)));
        self.apply_effects();
    }

    fn apply_effects(&mut self) {
        for effect in std::mem::take(&mut self.group.effects) {
            match effect {
                Effect::ToGateway(_, CoordinatorMessage::Assign(item)) => {
                    let name = item.request.to_string();
                    self.ran_on.insert(name, item.instance.clone());
                    let events = item.kept.events as f64;
                    let run = Run {
                        item: *item,
                        events,
                    };
                    self.running.insert(run.item.assignment, run);
                }
                Effect::ToGateway(_, CoordinatorMessage::Interrupt { assignment }) => {
                    self.interrupt(assignment);
                }
                Effect::Log(Decision::ItemMoved {
                    assignment, reason, ..
                }) => {
                    let run = self.running.get(&assignment);
                    let name = run.map(|run| run.item.request.to_string());
                    self.moves.push((name.unwrap_or_default(), reason));
                }
                _ => {}
            }
        }
    }

    fn interrupt(&mut self, assignment: AssignmentId) {
        let Some(run) = self.running.remove(&assignment) else {
            return;
        };
        let text = ItemText {
            text: "e\n".repeat(run.events as usize),
            events: run.events as u64,
            last_event: (run.events as u64).checked_sub(1),
            versions: vec![1],
        };
        let outcome = ItemOutcome::Interrupted {
            text,
            cause: BreakCause::Gateway,
        };
        self.group.end_item(self.gateway, &run.item, outcome);
        self.apply_effects();
    }

    /// Runs all texts for one report period. Returns whether texts are left.
    fn run_once(&mut self) -> bool {
        self.group.wait(REPORT_PERIOD);
        let mut finished = Vec::new();
        for (assignment, run) in &mut self.running {
            run.events += REPORT_PERIOD.as_millis() as f64 / self.paces[&run.item.instance];
            if run.events >= self.lengths[run.item.request.as_str()] {
                finished.push(*assignment);
            }
        }
        for assignment in finished {
            if let Some(run) = self.running.remove(&assignment) {
                let whole = ItemOutcome::Finished(FinishedText::default());
                self.group.end_item(self.gateway, &run.item, whole);
            }
        }
        self.send_reports();
        self.apply_effects();
        !self.running.is_empty()
    }

    fn send_reports(&mut self) {
        let progress = self.running.values().map(|run| ItemProgress {
            assignment: run.item.assignment,
            events: run.events as u64,
        });
        let progress = progress.collect();
        self.group.event(Event::ItemsProgressed(progress));
        for number in 0..ENGINES {
            self.group.heartbeat(engine(&format!("e{number}"), 1));
        }
    }

    /// Runs all texts to their ends. Returns the time that it took.
    fn run_to_end(&mut self) -> Duration {
        let from = self.group.now;
        while self.run_once() {}
        self.group.now.since(from)
    }

    fn is_slow(&self, name: &str) -> bool {
        self.paces[&self.ran_on[name]] > FAST_MS
    }
}

/// Number of short texts of a step.
const SHORT: usize = 12;

/// A step of short texts and four long ones.
fn mixed_lengths() -> Vec<f64> {
    let mut lengths = vec![6.0; SHORT];
    lengths.extend([120.0; 4]);
    lengths
}

/// The longest text alone on a fast engine takes 3.4 s; the step ends in the report after that.
#[gtest]
fn a_step_ends_with_its_longest_text_on_the_fastest_engines_without_a_move() {
    let mut site = Site::new();
    site.submit("j", &mixed_lengths());
    let took = site.run_to_end();
    let longest = Duration::from_millis((120.0 * FAST_MS) as u64);
    expect_that!(took, le(longest + REPORT_PERIOD));
    expect_that!(site.moves, is_empty());
    for item in SHORT..SHORT + 4 {
        expect_false!(site.is_slow(&format!("j-{item}")), "{item}");
    }
}

/// Short items run on slow engines as well, so that fast ones keep slots for the next job's long
/// ones, and stay there.
#[gtest]
fn short_items_run_on_slow_engines_and_are_not_moved() {
    let mut site = Site::new();
    site.submit("j", &mixed_lengths());
    let on_slow = (0..SHORT).filter(|item| site.is_slow(&format!("j-{item}")));
    expect_that!(on_slow.count(), ge(4));
    site.submit("k", &[120.0; 4]);
    for item in 0..4 {
        expect_false!(site.is_slow(&format!("k-{item}")), "{item}");
    }
    site.run_to_end();
    expect_that!(site.moves, is_empty());
}

#[gtest]
fn a_long_item_moves_when_its_engine_becomes_slow() {
    let mut site = Site::new();
    site.submit("j", &[120.0, 120.0, 6.0, 6.0]);
    for _ in 0..2 {
        site.run_once();
    }
    let slowed = site.ran_on["j-0"].clone();
    site.paces.insert(slowed.clone(), 5.0 * FAST_MS);
    let took = site.run_to_end();
    let moves = site.moves.iter().filter(|(name, _)| name == "j-0");
    expect_that!(moves.count(), eq(1));
    expect_true!(
        site.moves
            .iter()
            .all(|(_, reason)| *reason == MoveReason::EngineSlowed)
    );
    expect_that!(site.ran_on["j-0"], not(eq(&slowed)));
    // Two reports until the change is known, and one for the move.
    expect_that!(took, le(Duration::from_millis(3400 - 800 + 3 * 400 + 400)));
}

/// An item on a slowed engine that ends before its step does has nothing to gain.
#[gtest]
fn a_short_item_stays_on_an_engine_that_becomes_slow() {
    let mut site = Site::new();
    site.submit("j", &[40.0, 200.0, 200.0]);
    site.run_once();
    let slowed = site.ran_on["j-0"].clone();
    site.paces.insert(slowed, 2.5 * FAST_MS);
    site.run_to_end();
    let moves = site.moves.iter().filter(|(name, _)| name == "j-0");
    expect_that!(moves.count(), eq(0));
}

/// A new engine counts as the median one, not as the fastest: long items go where the pace is known
/// to be good.
#[gtest]
fn an_engine_of_unknown_pace_counts_as_the_median_one() {
    let mut site = Site::new();
    for number in 0..ENGINES {
        let name = InstanceId::from(format!("e{number}"));
        if site.paces[&name] == FAST_MS && number != 0 {
            site.group.ask(Request::Deregister(name.name().clone()));
        }
    }
    site.group.heartbeat(engine("new", 1));
    site.group.effects.clear();
    site.submit("j", &[120.0]);
    expect_that!(site.ran_on["j-0"], eq(&InstanceId::from("e0")));
}

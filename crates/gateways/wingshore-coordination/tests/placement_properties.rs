//! Property tests of placement through the index of free slots, compared with a count of the
//! running items: no item is placed where it does not fit, and no item waits while an engine takes
//! it.
//!
//! The index holds each engine under its versions, number of items and pace. An engine whose entry
//! is not updated when one of these changes would get too many items, or none any more.

mod support;

use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;
use support::{Group, engine, job};
use wingshore_coordination::{
    Event, FinishedText, GatewayId, InstanceId, ItemAssignment, ItemOutcome, ItemProgress,
    ItemText, JobSubmission, ModelName, ModelVersion, NotRunReason, Request,
};

/// Slots of an engine, as in the default configuration and server record.
const SLOTS: usize = 4;
/// Longer than any ejection of an engine or backoff of an item.
const SETTLING_TIME: Duration = Duration::from_secs(5);
const MODELS: [&str; 2] = ["m", "n"];

#[derive(Clone, Debug)]
enum Step {
    /// Registers an engine that holds these versions of the two models.
    Add(u64, u64),
    /// Sets the engine with this index, in the order of registration, to draining.
    Drain(usize),
    /// Deregisters the engine with this index.
    Depart(usize),
    /// The engine with this index reports newer versions.
    Raise(usize, u64),
    /// Submits a job for a model, with a number of items and the oldest allowed version.
    Submit(usize, u32, u64),
    /// Completes an attempt.
    Finish(usize),
    /// Ends an attempt because its engine was full.
    Full(usize),
    /// Reports the progress of all attempts, at different paces.
    Progress(u64),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (1..4_u64, 1..4_u64).prop_map(|(first, second)| Step::Add(first, second)),
        1 => any::<usize>().prop_map(Step::Drain),
        1 => any::<usize>().prop_map(Step::Depart),
        2 => (any::<usize>(), 1..5_u64).prop_map(|(which, version)| Step::Raise(which, version)),
        2 => (0..2_usize, 1..9_u32, 1..4_u64).prop_map(|(model, items, oldest_version)| Step::Submit(model, items, oldest_version)),
        8 => any::<usize>().prop_map(Step::Finish),
        2 => any::<usize>().prop_map(Step::Full),
        3 => (1..30_u64).prop_map(Step::Progress),
        2 => (1..400_u64).prop_map(Step::Wait),
    ]
}

struct Site {
    group: Group,
    gateway: GatewayId,
    added: usize,
    running: Vec<ItemAssignment>,
    events: u64,
}

fn models(first: u64, second: u64) -> Vec<ModelVersion> {
    let versions = MODELS.iter().zip([first, second]);
    versions
        .map(|(model, version)| ModelVersion {
            model: ModelName::from(*model),
            version,
        })
        .collect()
}

impl Site {
    fn new() -> Self {
        let mut group = Group::new();
        let gateway = group.add_gateway(1);
        Self {
            group,
            gateway,
            added: 0,
            running: Vec::new(),
            events: 0,
        }
    }

    fn name(&self, which: usize) -> String {
        format!("e{}", which % self.added.max(1))
    }

    fn run(&mut self, step: &Step) {
        match step {
            Step::Add(first, second) => {
                let mut record = engine(&format!("e{}", self.added), 1);
                record.models = models(*first, *second);
                self.added += 1;
                self.group.heartbeat(record);
            }
            Step::Drain(which) => {
                let name = InstanceId::from(self.name(*which));
                let Some(mut record) = self.group.state.servers().get(&name).cloned() else {
                    return;
                };
                record.draining = true;
                self.group.heartbeat(record);
            }
            Step::Depart(which) => {
                let name = InstanceId::from(self.name(*which));
                self.group.ask(Request::Deregister(name.name().clone()));
            }
            Step::Raise(which, version) => {
                let name = InstanceId::from(self.name(*which));
                let Some(mut record) = self.group.state.servers().get(&name).cloned() else {
                    return;
                };
                for entry in &mut record.models {
                    entry.version = entry.version.max(*version);
                }
                self.group.heartbeat(record);
            }
            Step::Submit(model, items, oldest_version) => {
                self.events += 1;
                let submission = JobSubmission {
                    model: Some(ModelName::from(MODELS[*model])),
                    min_version: *oldest_version,
                    ..JobSubmission::clone(&job(&format!("j{}", self.events), *items))
                };
                self.group.ask(Request::SubmitJob(submission.into()));
            }
            Step::Finish(which) => {
                let text = ItemText {
                    text: "text".to_owned(),
                    events: 1,
                    last_event: Some(1),
                    versions: vec![1],
                };
                self.end(*which, ItemOutcome::Finished(FinishedText::from(text)));
            }
            Step::Full(which) => {
                self.end(*which, ItemOutcome::NotRun(NotRunReason::Full));
            }
            Step::Progress(max_lead) => {
                let progress = self
                    .running
                    .iter()
                    .enumerate()
                    .map(|(place, item)| ItemProgress {
                        assignment: item.assignment,
                        events: self.group.now.as_millis() / 20 + (place as u64 % max_lead),
                    });
                let progress = progress.collect();
                self.group.event(Event::ItemsProgressed(progress));
            }
            Step::Wait(millis) => self.group.wait(Duration::from_millis(*millis)),
        }
        self.report_all_alive();
        let assigned = self.group.assignments();
        self.running.extend(assigned);
    }

    /// Sends heartbeats of all engines and reports all attempts as running.
    fn report_all_alive(&mut self) {
        let servers: Vec<_> = self.group.state.servers().values().cloned().collect();
        for server in servers {
            self.group.heartbeat(server);
        }
        let progress = self.running.iter().map(|item| ItemProgress {
            assignment: item.assignment,
            events: 0,
        });
        let progress = progress.collect();
        self.group.event(Event::ItemsProgressed(progress));
    }

    fn end(&mut self, which: usize, outcome: ItemOutcome) {
        if self.running.is_empty() {
            return;
        }
        let ended = self.running.swap_remove(which % self.running.len());
        self.group.event(Event::ItemEnded {
            gateway: self.gateway,
            assignment: ended.assignment,
            item: ended.item,
            outcome,
        });
    }

    fn running_on(&self) -> BTreeMap<InstanceId, usize> {
        let mut counts = BTreeMap::new();
        for item in &self.running {
            *counts.entry(item.instance.clone()).or_default() += 1;
        }
        counts
    }

    /// Returns whether a registered engine takes an item of a job, by the count of running items.
    fn takes(&self, submission: &JobSubmission) -> bool {
        let counts = self.running_on();
        let model = submission.model.as_ref().expect("jobs name a model");
        self.group.state.servers().values().any(|server| {
            let running = counts.get(&server.instance).copied().unwrap_or(0);
            let version = server.version_of(model).unwrap_or(0);
            !server.draining && running < SLOTS && version >= submission.min_version
        })
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn items_run_only_where_they_fit_and_wait_only_if_no_engine_takes_them(
        steps in prop::collection::vec(step(), 1..80),
    ) {
        let mut site = Site::new();
        for step in &steps {
            let before = site.running.len();
            site.run(step);
            for item in &site.running[before.min(site.running.len())..] {
                let Some(server) = site.group.state.servers().get(&item.instance) else {
                    continue;
                };
                let job = &site.group.state.jobs()[&item.item.job];
                let job = job.open_contents().expect("an open job");
                let version = job.model.as_ref().and_then(|model| server.version_of(model));
                prop_assert!(!server.draining, "placed on a draining engine");
                prop_assert!(version >= Some(job.min_version), "placed on older weights");
            }
            for (instance, count) in site.running_on() {
                prop_assert!(count <= SLOTS, "{} runs {}", instance, count);
            }
        }
        // Wait until all ejections and backoffs are over.
        for _ in 0..10 {
            site.run(&Step::Wait(SETTLING_TIME.as_millis() as u64 / 10));
        }
        let waiting = site.group.leader.counts().items_waiting;
        let open = site.group.state.jobs().values().map(|job| {
            let running = site.running.iter().filter(|item| item.item.job == *job.id());
            (job, job.open_items().count() - running.count())
        });
        let open: Vec<_> = open.filter(|(_, waiting)| *waiting > 0).collect();
        prop_assert_eq!(waiting, open.iter().map(|(_, waiting)| waiting).sum::<usize>());
        for (job, _) in open {
            let submission = job.open_contents().expect("an open job");
            prop_assert!(!site.takes(submission), "an item waits although an engine takes it");
        }
    }
}

//! The order of items, and the admission of jobs, when there is more work than engines can run.
//!
//! Guards against failures of leaders that placed jobs in the order of acceptance: a step whose
//! longest text takes most of its time waited for all short items of the steps before it; a caller
//! with ten times the items of the others delayed them all; a job that was sent away was sent away
//! again while later ones entered.

mod support;

use googletest::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use support::{Group, configuration, engine, job};
use wingshore_coordination::{
    BreakCause, FinishedText, GatewayId, ItemAssignment, ItemId, ItemOutcome, ItemText, JobId,
    JobItem, JobSubmission, LeaderPolicy, LeaderSettings, Reply, Request, RouteTarget,
    ServerRecord, Service, ServiceName, SiteConfiguration, Tenant, TenantName,
};
use wingshore_types::Instant;

/// The due time of the jobs of the tests, counted from their acceptance.
const DUE: Duration = Duration::from_millis(7500);
/// Run time of an item for each token of its estimate.
const TIME_PER_TOKEN: Duration = Duration::from_millis(1);
/// Slots of an engine.
const SLOTS: u32 = 4;

fn job_id(id: &str, tenant: Option<&str>) -> JobId {
    JobId::from(id).of_tenant(tenant.map(TenantName::from))
}

fn job_of(id: &str, tenant: Option<&str>, lengths: &[u64]) -> Arc<JobSubmission> {
    let mut submission = JobSubmission::clone(&job(id, lengths.len() as u32));
    submission.id = job_id(id, tenant);
    submission.desired = lengths.len() as u32;
    for (number, (item, length)) in submission.items.iter_mut().zip(lengths).enumerate() {
        item.expected_output = Some(*length);
        item.group = format!("g{number}");
    }
    Arc::new(submission)
}

/// A site whose engines run each item for as long as its estimate says.
struct Site {
    group: Group,
    gateway: GatewayId,
    running: Vec<(Instant, ItemAssignment)>,
    /// When the last item of each job ended.
    ends: BTreeMap<JobId, Instant>,
    lengths: BTreeMap<ItemId, u64>,
}

impl Site {
    fn new(engines: u32, policy: LeaderPolicy) -> Self {
        let mut group = Group::with_settings(LeaderSettings {
            engines_check_fences: true,
            policy,
            ..LeaderSettings::default()
        });
        let gateway = group.add_gateway(1);
        for number in 0..engines {
            group.heartbeat(engine(&format!("e{number}"), 1));
        }
        Self {
            group,
            gateway,
            running: Vec::new(),
            ends: BTreeMap::new(),
            lengths: BTreeMap::new(),
        }
    }

    fn submit(&mut self, submission: Arc<JobSubmission>) {
        for item in &submission.items {
            let length = item.expected_output.unwrap_or(0);
            self.lengths.insert(item.id.clone(), length);
        }
        self.group.ask(Request::SubmitJob(submission));
        self.start_assigned();
    }

    fn start_assigned(&mut self) {
        for assignment in self.group.assignments() {
            let length = self.lengths[&assignment.request];
            let until = self.group.now + TIME_PER_TOKEN * length as u32;
            self.running.push((until, assignment));
        }
    }

    /// Runs until no item is left, or until `until`.
    fn run(&mut self, until: Instant) {
        while !self.running.is_empty() && self.group.now < until {
            self.group.now = self.group.now + Duration::from_millis(10);
            let now = self.group.now;
            let (ended, running) = std::mem::take(&mut self.running)
                .into_iter()
                .partition(|(until, _)| *until <= now);
            self.running = running;
            for (_, assignment) in ended {
                let job = assignment.item.job.clone();
                let outcome = ItemOutcome::Finished(FinishedText::default());
                self.group.end_item(self.gateway, &assignment, outcome);
                self.ends.insert(job, now);
            }
            self.start_assigned();
        }
    }

    /// Returns the time from `begin` until the last item of a job had ended.
    fn took(&self, id: &str, tenant: Option<&str>, begin: Instant) -> Duration {
        self.ends[&job_id(id, tenant)].since(begin)
    }
}

fn far() -> Instant {
    Instant::from_millis(600_000)
}

fn in_order() -> LeaderPolicy {
    LeaderPolicy {
        due_times_first: false,
        ..LeaderPolicy::default()
    }
}

/// Two steps arrive together: the first has many short items, the second a text that takes most of
/// the time until it is due. Both can be in time, if the long text starts first.
#[gtest]
fn a_long_text_of_a_later_step_starts_before_short_ones_that_can_wait() {
    let short = [1000; 36];
    let long = [6000, 500];
    let mut took = Vec::new();
    for policy in [LeaderPolicy::default(), in_order()] {
        let mut site = Site::new(2, policy);
        let begin = site.group.now;
        site.submit(job_of("short", None, &short));
        site.submit(job_of("long", None, &long));
        site.run(far());
        took.push((
            site.took("short", None, begin),
            site.took("long", None, begin),
        ));
    }
    expect_that!(took[0].0, le(DUE));
    expect_that!(took[0].1, le(DUE));
    expect_that!(took[1].1, gt(DUE), "the load has to be one that needs this");
}

/// A tenant submits ten times the items of the others, more than the engines run in time. The
/// others' steps are in time all the same.
#[gtest]
fn a_flood_of_one_tenant_does_not_delay_the_steps_of_others() {
    let mut site = Site::new(2, LeaderPolicy::default());
    let begin = site.group.now;
    // Two engines run 60 s of items in 7.5 s.
    for number in 0..10 {
        let flood = job_of(&format!("flood-{number}"), Some("large"), &[3000; 6]);
        site.submit(flood);
    }
    site.submit(job_of("small-a", Some("a"), &[3000; 3]));
    site.submit(job_of("small-b", Some("b"), &[3000; 3]));
    site.run(far());
    expect_that!(site.took("small-a", Some("a"), begin), le(DUE));
    expect_that!(site.took("small-b", Some("b"), begin), le(DUE));
}

/// Callers of two priorities want 120 % of what the engines can run. The urgent one is in time, and
/// the other one gets what is left, from the start on.
#[gtest]
fn the_urgent_caller_is_in_time_and_the_other_one_is_not_starved() {
    let mut site = Site::new(2, LeaderPolicy::default());
    let tenants = [("urgent", 0), ("usual", 1)].map(|(name, priority)| Tenant {
        name: TenantName::from(name),
        keys: Vec::new(),
        priority: Some(priority),
    });
    let next = SiteConfiguration {
        tenants: tenants.to_vec(),
        ..configuration(2)
    };
    site.group.ask(Request::PutConfiguration(Arc::new(next)));
    let begin = site.group.now;
    site.submit(job_of("usual", Some("usual"), &[3000; 12]));
    site.submit(job_of("urgent", Some("urgent"), &[3000; 12]));
    // The items that were placed before the urgent job came are not counted.
    site.run(begin + DUE);
    expect_that!(
        site.took("urgent", Some("urgent"), begin),
        le(DUE + Duration::from_secs(3))
    );
    let usual = site.group.state.find_job(&job_id("usual", Some("usual")));
    expect_that!(usual.unwrap().1.results.len(), gt(0));
    site.run(far());
    expect_that!(site.took("usual", Some("usual"), begin), gt(Duration::ZERO));
}

/// All engines were lost and one comes back. A step that cannot be whole in time any more does not
/// take slots from one that can.
#[gtest]
fn a_step_that_cannot_be_whole_gives_way_to_one_that_can() {
    let mut site = Site::new(0, LeaderPolicy::default());
    let begin = site.group.now;
    site.submit(job_of("hopeless", None, &[20_000; 8]));
    site.submit(job_of("possible", None, &[2000; 8]));
    site.group.heartbeat(engine("e0", 1));
    site.start_assigned();
    site.run(far());
    expect_that!(site.took("possible", None, begin), le(DUE));
    expect_that!(site.ends.contains_key(&job_id("hopeless", None)), eq(true));
}

fn sized(id: &str, bytes: usize) -> Arc<JobSubmission> {
    let mut submission = JobSubmission::clone(&job(id, 1));
    submission.items = vec![JobItem {
        body: vec![0; bytes],
        ..submission.items[0].clone()
    }];
    Arc::new(submission)
}

fn limited() -> Group {
    let mut group = Group::with_settings(LeaderSettings {
        max_open_job_bytes: 10_000,
        ..LeaderSettings::default()
    });
    group.ask(Request::SubmitJob(sized("open", 8000)));
    group
}

fn submit(group: &mut Group, id: &str, bytes: usize) -> Option<Reply> {
    group.ask(Request::SubmitJob(sized(id, bytes)))
}

/// A caller that was sent away is not sent away again while one that came later enters.
#[gtest]
fn a_returning_job_enters_before_later_ones() {
    let mut group = limited();
    expect_that!(
        submit(&mut group, "first", 8000),
        some(matches_pattern!(Reply::ComeBack(_)))
    );
    group.ask(Request::EndJob(JobId::from("open")));
    group.ask(Request::SubmitJob(sized("small", 500)));
    expect_that!(
        submit(&mut group, "later", 8000),
        some(matches_pattern!(Reply::ComeBack(_)))
    );
    expect_that!(submit(&mut group, "first", 8000), some(eq(&Reply::Done)));
}

/// Callers that are sent away together are told times that follow from the rate at which room
/// becomes free, one after the other.
#[gtest]
fn callers_sent_away_together_come_back_one_after_the_other() {
    let mut group = limited();
    let mut ended = "open".to_owned();
    for number in 0..5 {
        group.wait(Duration::from_secs(1));
        group.ask(Request::EndJob(JobId::from(ended.as_str())));
        ended = format!("next-{number}");
        expect_that!(submit(&mut group, &ended, 8000), some(eq(&Reply::Done)));
    }
    let mut last = Duration::ZERO;
    for number in 0..3 {
        let reply = submit(&mut group, &format!("away-{number}"), 8000);
        let Some(Reply::ComeBack(retry_after)) = reply else {
            panic!("not sent away: {reply:?}");
        };
        expect_that!(retry_after, gt(last));
        last = retry_after;
    }
    // About one job of this size ends each second.
    expect_that!(last, le(Duration::from_secs(4)));
}

/// A pool that stays too small: steps that can be in time come without end. A late job still gets
/// some slots, so that it is not given up after its route's queue time.
#[gtest]
fn a_late_job_is_not_starved_by_jobs_in_time() {
    let mut site = Site::new(0, LeaderPolicy::default());
    site.submit(job_of("late", None, &[20_000; 4]));
    site.submit(job_of("in-time", None, &[1000; 60]));
    site.group.heartbeat(engine("e0", 1));
    site.start_assigned();
    site.run(site.group.now + DUE);
    let late = job_id("late", None);
    let runs = |(_, item): &(Instant, ItemAssignment)| item.item.job == late;
    expect_that!(site.running.iter().any(runs), eq(true));
}

/// A leader that is lost between admission and placement: the next one places the job, with equal
/// shares for all.
#[gtest]
fn an_admitted_job_is_placed_by_the_next_leader() {
    let mut site = Site::new(1, LeaderPolicy::default());
    site.submit(job_of("running", None, &[1000; 4]));
    site.group
        .ask(Request::SubmitJob(job_of("waiting", None, &[1000; 4])));
    site.group.change_leader("coordinator-b");
    site.group.add_gateway(1);
    let placed = site.group.assignments();
    expect_that!(placed, len(eq(SLOTS as usize)));
}

/// A caller whose estimates were far too small, and then one that is larger than any run: the
/// expected run time stays within what can be computed with, and other jobs go on.
#[gtest]
fn an_estimate_beyond_all_run_times_does_not_stop_the_leader() {
    let mut site = Site::new(1, LeaderPolicy::default());
    site.submit(job_of("underestimated", None, &[1; 4]));
    site.group.now = site.group.now + Duration::from_secs(5);
    site.run(far());
    site.submit(job_of("overestimated", None, &[u64::MAX - 1]));
    site.submit(job_of("usual", None, &[1000; 2]));
    site.run(far());
    expect_that!(site.ends.contains_key(&job_id("usual", None)), eq(true));
}

/// An engine is taken back late in a step, under its longest text. The rest of that text is short:
/// the step can still be in time, and does not wait behind another one.
#[gtest]
fn a_text_that_is_nearly_complete_does_not_make_its_step_late() {
    let mut site = Site::new(1, LeaderPolicy::default());
    let begin = site.group.now;
    site.submit(job_of("long", None, &[6000]));
    site.submit(job_of("short", None, &[1000; 30]));
    site.run(begin + Duration::from_millis(5000));
    let is_long = |assignment: &ItemAssignment| assignment.item.job == job_id("long", None);
    let position = site.running.iter().position(|(_, run)| is_long(run));
    let (_, interrupted) = site.running.remove(position.unwrap());
    let outcome = ItemOutcome::Interrupted {
        text: ItemText {
            text: "text".to_owned(),
            events: 5000,
            last_event: Some(5000),
            versions: vec![1],
        },
        cause: BreakCause::Gateway,
    };
    site.group.end_item(site.gateway, &interrupted, outcome);
    let placed = site.group.assignments();
    expect_that!(placed.iter().filter(|run| is_long(run)).count(), eq(1));
}

/// A route leads to two services, and only one of them has engines. Items of that one are placed,
/// wherever those of the other stand in the job.
#[gtest]
fn items_of_a_service_without_engines_do_not_block_those_of_another_one() {
    let names = ["llm", "llm-b"].map(ServiceName::from);
    let mut next = configuration(2);
    next.services.push(Service {
        name: names[1].clone(),
        ..next.services[0].clone()
    });
    next.routes[0].targets.push(RouteTarget {
        service: names[1].clone(),
        weight: 1,
    });
    for service in names {
        let mut site = Site::new(0, LeaderPolicy::default());
        site.group
            .ask(Request::PutConfiguration(Arc::new(next.clone())));
        site.group.heartbeat(ServerRecord {
            service,
            ..engine("e0", 1)
        });
        site.submit(job_of("split", None, &[1000; 40]));
        expect_that!(site.running, len(eq(SLOTS as usize)));
    }
}

/// Engines have free slots, but no gateway takes further items. The end of an item then costs the
/// leader no walk over all waiting items; the shortest of several times counts, since the machine
/// may be busy.
#[gtest]
fn waiting_for_a_gateway_costs_no_scan_of_all_items() {
    let mut site = Site::new(40, LeaderPolicy::default());
    for number in 0..4 {
        let id = format!("large-{number}");
        site.submit(job_of(&id, None, &[1000; 16_384]));
    }
    expect_that!(site.running, len(lt(40 * SLOTS as usize)));
    let ended = site.running.drain(..5).collect::<Vec<_>>();
    let times = ended.iter().map(|(_, assignment)| {
        let begin = std::time::Instant::now();
        let outcome = ItemOutcome::Finished(FinishedText::default());
        site.group.end_item(site.gateway, assignment, outcome);
        begin.elapsed()
    });
    expect_that!(times.min(), some(lt(Duration::from_millis(10))));
}

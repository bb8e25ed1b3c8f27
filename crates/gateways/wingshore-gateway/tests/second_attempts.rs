//! Second attempts at slow requests: when they are due, whether they may start, and their budget.

use googletest::prelude::*;
use std::time::Duration;
use wingshore_coordination::{InstanceId, ServerRecord, ServiceName};
use wingshore_gateway::{
    AttemptHistory, Balancer, Requester, RetryLimits, SecondAttemptBudget, SecondAttemptContext,
    ServiceLatencies, may_start_second, second_attempt_delay,
};
use wingshore_types::Instant;
use wingshore_types::verdict::Verdict;

const TARGET: Duration = Duration::from_millis(150);
const SAFE: RetryLimits = RetryLimits {
    is_repeatable: true,
    max_attempts: 3,
};
/// A repeatable request, and another server with a free slot.
const POSSIBLE: SecondAttemptContext = SecondAttemptContext {
    limits: SAFE,
    history: AttemptHistory {
        attempts: 0,
        refusals: 0,
        internal_errors: 0,
        may_have_run: false,
    },
    is_stream: false,
    is_suspect: false,
    has_free_server: true,
};
/// Second attempts that a full budget allows.
const BURST: u32 = 3;

fn service() -> ServiceName {
    ServiceName::from("s")
}

fn latencies() -> ServiceLatencies {
    ServiceLatencies::new().expect("valid bounds")
}

fn at(seconds: u64) -> Instant {
    Instant::from_millis(seconds * 1000)
}

/// Records `count` answers of the service after this many milliseconds.
fn record(latencies: &mut ServiceLatencies, now: Instant, count: u32, millis: u64) {
    for _ in 0..count {
        latencies.record(now, &service(), Duration::from_millis(millis));
    }
}

fn server(name: &str) -> ServerRecord {
    ServerRecord {
        instance: InstanceId::from(name),
        service: service(),
        address: ([10, 0, 0, 1], 80).into(),
        zone: "a".to_owned(),
        slots: 4,
        draining: false,
        reclaimable: false,
        models: Vec::new(),
    }
}

/// Load: one server became slow among sound ones, which answer within 40 ms.
#[gtest]
fn a_slow_server_is_overtaken_after_the_95th_percentile_of_the_service() {
    let mut latencies = latencies();
    record(&mut latencies, at(1), 60, 20);
    record(&mut latencies, at(1), 36, 40);
    record(&mut latencies, at(1), 4, 300);
    let percentile = latencies.percentile(at(1), &service());
    expect_that!(percentile, some(eq(Duration::from_millis(40))));
    let delay = second_attempt_delay(percentile, TARGET);
    expect_that!(delay, eq(Duration::from_millis(40)));
}

/// Load: a third of the servers is slow, or scorings take longer than live requests: the 95th
/// percentile exceeds the target latency. An answer in time must still be possible, and the tokens
/// must not go to requests that are not slow.
#[gtest]
fn a_second_attempt_is_due_neither_at_once_nor_later_than_half_of_the_target() {
    let half = TARGET / 2;
    for millis in [75, 76, 140, 150, 500] {
        let percentile = Some(Duration::from_millis(millis));
        expect_that!(second_attempt_delay(percentile, TARGET), eq(half));
    }
    expect_that!(second_attempt_delay(None, TARGET), eq(half));
}

#[gtest]
fn few_or_old_answers_are_no_percentile() {
    let mut latencies = latencies();
    expect_that!(latencies.percentile(at(1), &service()), none());
    record(&mut latencies, at(1), 19, 20);
    expect_that!(latencies.percentile(at(1), &service()), none());
    record(&mut latencies, at(1), 1, 20);
    expect_that!(latencies.percentile(at(1), &service()), some(anything()));
    expect_that!(latencies.percentile(at(32), &service()), none());
    expect_that!(latencies.percentile(at(100_000), &service()), none());
    record(&mut latencies, at(100_000), 20, 30);
    let percentile = latencies.percentile(at(100_000), &service());
    expect_that!(percentile, some(eq(Duration::from_millis(30))));
}

/// Load: a service that was slow for a while is fast again, or the reverse.
#[gtest]
fn old_answers_lose_weight() {
    let mut latencies = latencies();
    record(&mut latencies, at(0), 100, 400);
    let percentile = |latencies: &mut ServiceLatencies, now| {
        let percentile = latencies.percentile(now, &service());
        percentile.expect("enough answers").as_millis()
    };
    record(&mut latencies, at(0), 100, 20);
    expect_that!(percentile(&mut latencies, at(0)), ge(400));
    record(&mut latencies, at(149), 100, 20);
    // After four halvings the first answers weigh 100 in 1800, which is above 5 %.
    expect_that!(percentile(&mut latencies, at(149)), ge(400));
    record(&mut latencies, at(180), 100, 20);
    // After six they weigh 25 in 2050.
    expect_that!(percentile(&mut latencies, at(180)), eq(20));
    record(&mut latencies, at(180), 20, 400);
    expect_that!(percentile(&mut latencies, at(180)), ge(400));
}

#[gtest]
fn extreme_answer_times_are_kept_within_bounds() {
    let mut latencies = latencies();
    record(&mut latencies, at(1), 40, 0);
    let percentile = latencies.percentile(at(1), &service());
    expect_that!(percentile, some(eq(Duration::from_millis(1))));
    for _ in 0..100 {
        latencies.record(at(1), &service(), Duration::MAX);
    }
    let percentile = latencies.percentile(at(1), &service());
    expect_that!(percentile, some(ge(Duration::from_secs(60))));
    expect_that!(percentile, some(lt(Duration::from_secs(61))));
}

#[gtest]
fn services_without_a_route_are_forgotten() {
    let mut latencies = latencies();
    record(&mut latencies, at(1), 40, 20);
    latencies.retain(|known| *known == service());
    expect_that!(latencies.percentile(at(1), &service()), some(anything()));
    latencies.retain(|_| false);
    expect_that!(latencies.percentile(at(1), &service()), none());
}

/// Load: all servers of a service are slow, so that each request would get a second attempt. The
/// servers get 5 % more requests, and the burst.
#[gtest]
fn the_budget_bounds_the_load_on_a_service_that_is_slow_as_a_whole() {
    let mut budget = SecondAttemptBudget::default();
    let mut second_attempts = 0;
    for request in 1..=10_000 {
        budget.request_started();
        if budget.take(Requester::Client) {
            second_attempts += 1;
        }
        expect_that!(second_attempts, le(request / 20 + BURST), "{request}");
    }
    // The first request brings its part to a full budget, where it is lost.
    expect_that!(second_attempts, eq(9_999 / 20 + BURST));
}

/// Load: a service that has been fast for long becomes slow. What was not used is not saved.
#[gtest]
fn unused_tokens_are_kept_up_to_the_burst_only() {
    let mut budget = SecondAttemptBudget::default();
    for _ in 0..10_000 {
        budget.request_started();
    }
    let mut allowed = 0;
    while budget.take(Requester::Client) {
        allowed += 1;
    }
    expect_that!(allowed, eq(BURST));
}

/// Load: the texts of a step end at about the same time, and their scorings are slow.
#[gtest]
fn scorings_leave_the_last_two_tokens_to_live_requests() {
    let mut budget = SecondAttemptBudget::default();
    while budget.take(Requester::Scoring) {}
    expect_that!(budget.take(Requester::Scoring), eq(false));
    expect_that!(budget.take(Requester::Client), eq(true));
    expect_that!(budget.take(Requester::Client), eq(true));
    expect_that!(budget.take(Requester::Client), eq(false));
    for _ in 0..40 {
        budget.request_started();
    }
    expect_that!(budget.take(Requester::Scoring), eq(false));
    expect_that!(budget.take(Requester::Client), eq(true));
}

#[gtest]
fn a_second_attempt_starts_only_where_it_is_allowed_and_of_use() {
    let after = |verdict: Verdict, count: u32| {
        let mut history = AttemptHistory::default();
        for _ in 0..count {
            history.record(verdict);
        }
        SecondAttemptContext {
            history,
            ..POSSIBLE
        }
    };
    let with_limits = |is_repeatable, max_attempts| SecondAttemptContext {
        limits: RetryLimits {
            is_repeatable,
            max_attempts,
        },
        ..POSSIBLE
    };
    let table = [
        ("repeatable", POSSIBLE, true),
        ("may run once", with_limits(false, 3), false),
        ("one attempt", with_limits(true, 1), false),
        ("no attempts count as one", with_limits(true, 0), false),
        ("two attempts", with_limits(true, 2), true),
        ("one may have run", after(Verdict::MayHaveRun, 1), true),
        ("two may have run", after(Verdict::MayHaveRun, 2), false),
        ("two were refused", after(Verdict::NotRun, 2), true),
        (
            "a stream",
            SecondAttemptContext {
                is_stream: true,
                ..POSSIBLE
            },
            false,
        ),
        (
            "a suspect",
            SecondAttemptContext {
                is_suspect: true,
                ..POSSIBLE
            },
            false,
        ),
        (
            "every other server is full",
            SecondAttemptContext {
                has_free_server: false,
                ..POSSIBLE
            },
            false,
        ),
    ];
    for (case, context, expected) in table {
        expect_that!(may_start_second(context), eq(expected), "{case}");
    }
}

/// Load: every server is full. A second attempt would wait in a queue and lengthen it.
#[gtest]
fn a_server_with_as_many_requests_as_slots_has_no_free_slot() {
    let mut balancer = Balancer::default();
    let (now, full) = (at(10), server("full"));
    expect_that!(balancer.has_free_slot(now, &full), eq(true));
    balancer.load_reported(now, &full.instance, 3);
    expect_that!(balancer.has_free_slot(now, &full), eq(true));
    balancer.load_reported(now, &full.instance, 4);
    expect_that!(balancer.has_free_slot(now, &full), eq(false));
    // An old report does not count, but requests of this gateway do.
    let later = now + Duration::from_secs(2);
    expect_that!(balancer.has_free_slot(later, &full), eq(true));
    for _ in 0..4 {
        balancer.started(&full.instance);
    }
    expect_that!(balancer.has_free_slot(later, &full), eq(false));
    balancer.ended(&full.instance);
    expect_that!(balancer.has_free_slot(later, &full), eq(true));
}

#[gtest]
fn an_ejected_server_gets_no_second_attempt() {
    let mut balancer = Balancer::default();
    let (now, ejected) = (at(10), server("ejected"));
    balancer.failed(now, &ejected.instance);
    expect_that!(balancer.has_free_slot(now, &ejected), eq(false));
    let later = now + Duration::from_secs(1);
    expect_that!(balancer.has_free_slot(later, &ejected), eq(true));
}

/// Load: one server keeps being slow. An overtaken attempt counts as its latency.
#[gtest]
fn an_overtaken_server_gets_fewer_requests() {
    let mut balancer = Balancer::default();
    let (now, slow, sound) = (at(10), server("a"), server("b"));
    let servers = [slow.clone(), sound.clone()];
    let chosen = |balancer: &Balancer| {
        let server = balancer.choose(now, "a", servers.iter(), &[]);
        server.map(|server| server.instance.clone())
    };
    expect_that!(chosen(&balancer), some(eq(&slow.instance)));
    balancer.timed_out(now, &slow.instance, Duration::from_millis(75));
    for _ in 0..3 {
        expect_that!(chosen(&balancer), some(eq(&sound.instance)));
        balancer.started(&sound.instance);
    }
}

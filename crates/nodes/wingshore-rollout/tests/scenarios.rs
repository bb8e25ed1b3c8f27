//! Simulated scenarios with runners, scripted engines, the real ledger and a trainer; each injects
//! incidents and checks that no guarantee is violated.

mod support;

use googletest::prelude::*;
use std::time::Duration;
use support::trainer::Violations;
use support::{Incident, Site, SiteSettings};
use wingshore_rollout::{Faults, RolloutStatus, SecondAttemptPolicy};

const STEPS: u64 = 6;
const LIMIT: Duration = Duration::from_secs(180);

struct Scenario {
    name: &'static str,
    settings: SiteSettings,
    /// Counter that must be above zero, which shows that the incident had an effect.
    effect: fn(&RolloutStatus) -> u64,
}

fn scenario(
    name: &'static str,
    incidents: &[(u64, Incident)],
    effect: fn(&RolloutStatus) -> u64,
) -> Scenario {
    let settings = SiteSettings {
        incidents: incidents.to_vec(),
        ..SiteSettings::default()
    };
    Scenario {
        name,
        settings,
        effect,
    }
}

fn scenarios() -> Vec<Scenario> {
    use Incident::*;
    vec![
        scenario("no incident", &[], |status| status.finished),
        scenario(
            "an engine crashes and recovers",
            &[(1_500, Crash(0)), (6_000, Recover(0))],
            |status| status.interrupted.min(status.resumed),
        ),
        scenario(
            "two engines crash, one after the other",
            &[(1_500, Crash(0)), (2_500, Crash(1)), (6_000, Recover(0))],
            |status| status.interrupted,
        ),
        scenario(
            "an engine freezes",
            &[(1_500, Freeze(1)), (9_000, Recover(1))],
            |status| status.interrupted,
        ),
        scenario(
            "an engine rejects requests",
            &[(1_000, Refuse(2)), (5_000, Recover(2))],
            |status| status.interrupted,
        ),
        scenario(
            "an engine loses tokens",
            &[(1_300, LoseTokens(0)), (4_000, Recover(0))],
            |status| status.interrupted,
        ),
        scenario("an engine is drained", &[(1_500, Drain(1))], |status| {
            status.moved
        }),
        scenario(
            "the ledger's answers are lost for a while",
            &[
                (2_000, LoseLedgerAnswers(true)),
                (4_000, LoseLedgerAnswers(false)),
            ],
            |status| status.finished,
        ),
        scenario(
            "the ledger's leader changes twice",
            &[(1_700, ChangeLeader), (2_600, ChangeLeader)],
            |status| status.finished,
        ),
        scenario(
            "the scorer fails for longer than score requests are retried",
            &[(1_500, FailScorer(true)), (6_000, FailScorer(false))],
            |status| status.finished,
        ),
        scenario(
            "a node crashes and restarts",
            &[(1_600, Kill(0)), (3_000, Restart(0)), (4_000, Kill(1))],
            |status| status.finished,
        ),
        scenario(
            "overlapping incidents",
            &[
                (1_500, Crash(0)),
                (1_700, ChangeLeader),
                (1_800, Kill(1)),
                (2_000, Freeze(1)),
                (2_500, Restart(1)),
                (6_000, Recover(0)),
                (7_000, Recover(1)),
            ],
            |status| status.interrupted,
        ),
    ]
}

#[gtest]
fn all_guarantees_hold_in_every_scenario() {
    for scenario in scenarios() {
        let mut site = Site::new(scenario.settings);
        let finished = site.run(STEPS, LIMIT);
        let name = scenario.name;
        expect_that!(
            finished,
            eq(true),
            "{name}: {:?}",
            site.ledger.state.pools()
        );
        let violations = &site.trainer.violations;
        expect_that!(violations, eq(&Violations::default()), "{name}");
        expect_that!(site.total(scenario.effect), gt(0), "{name}");
        expect_that!(site.leaked_streams, eq(0), "{name}");
    }
}

#[gtest]
fn the_same_inputs_give_the_same_history() {
    let run = || {
        let incidents = vec![(1_500, Incident::Crash(0)), (2_000, Incident::Freeze(1))];
        let mut site = Site::new(SiteSettings {
            incidents,
            ..SiteSettings::default()
        });
        site.run(3, LIMIT);
        let log = postcard::to_stdvec(&site.ledger.log).expect("encodes");
        (site.now, log, site.nodes[0].runner.status())
    };
    expect_that!(run() == run(), eq(true));
}

#[gtest]
fn planned_stop_lets_short_samples_finish_and_returns_the_rest() {
    let mut site = Site::new(SiteSettings {
        tune: |settings| settings.stop_limit = Duration::from_millis(600),
        ..SiteSettings::default()
    });
    site.run_for(Duration::from_millis(300));
    let running = site.nodes[0].runner.status().running;
    expect_that!(running, gt(0));
    let finished = site.nodes[0].runner.status().finished;
    site.apply_incident(Incident::Stop(0));
    site.run_for(Duration::from_millis(1_000));
    let status = site.nodes[0].runner.status();
    expect_that!(site.nodes[0].stopped, eq(true));
    expect_that!(status.leased + status.running + status.reports, eq(0));
    expect_that!(status.finished, gt(finished));
    expect_that!(status.wasted_tokens, eq(0));
    let counts = site.ledger.state.pools().values().map(|pool| pool.counts());
    let leased: u32 = counts.map(|counts| counts.leased).sum();
    expect_that!(leased, le(site.nodes[1].runner.status().leased + 2));
    expect_that!(site.run(STEPS, LIMIT), eq(true));
    expect_that!(site.trainer.violations, eq(&Violations::default()));
    expect_that!(site.nodes[1].runner.status().resumed, gt(0));
}

#[gtest]
fn stragglers_get_a_second_attempt_and_the_first_to_finish_wins() {
    let mut site = Site::new(SiteSettings {
        tune: |settings| {
            settings.second_attempts = Some(SecondAttemptPolicy {
                min_running_time: Duration::from_millis(500),
                max_samples: 4,
            });
        },
        ..SiteSettings::default()
    });
    expect_that!(site.run(STEPS, LIMIT), eq(true));
    expect_that!(site.total(|status| status.second_attempts), gt(0));
    expect_that!(site.trainer.violations, eq(&Violations::default()));
    expect_that!(site.leaked_streams, eq(0));
}

#[gtest]
fn samples_may_take_longer_than_a_lease() {
    let mut site = Site::new(SiteSettings {
        lease_ms: 200,
        ..SiteSettings::default()
    });
    expect_that!(site.run(STEPS, LIMIT), eq(true));
    let pools = site.ledger.state.pools();
    let duplicates = pools.values().map(|pool| pool.counts().duplicates_dropped);
    expect_that!(duplicates.sum::<u64>(), eq(0));
}

#[gtest]
fn each_injected_fault_is_detected() {
    let run = |faults| {
        let mut site = Site::new(SiteSettings {
            faults,
            incidents: vec![(1_500, Incident::Crash(0)), (3_000, Incident::Recover(0))],
            ..SiteSettings::default()
        });
        site.run(STEPS, LIMIT);
        site.trainer.violations
    };
    let interrupted = run(Faults {
        finish_interrupted_streams: true,
        ..Faults::default()
    });
    expect_that!(interrupted.incomplete, gt(0));
    let stamps = run(Faults {
        stamp_latest_version: true,
        ..Faults::default()
    });
    expect_that!(stamps.wrong_version, gt(0));
}

//! Property tests: the invariants of the replicated state hold after any sequence of commands, and
//! a snapshot contains the complete state.

mod support;

use proptest::prelude::*;
use std::sync::Arc;
use support::{configuration, engine, job};
use wingshore_coordination::{
    AssignmentId, Command, CoordinationState, FinishedText, InstanceId, ItemKey, ItemState,
    ItemText, JobId, ListedResult, ModelName, ResultText,
};
use wingshore_types::machine::ReplicatedState;
use wingshore_types::{Epoch, LogIndex};

/// Number of items of each job.
const ITEMS: u32 = 4;

fn instance() -> impl Strategy<Value = String> {
    (0..3_u8).prop_map(|number| format!("engine-{number}"))
}

fn job_id() -> impl Strategy<Value = String> {
    (0..2_u8).prop_map(|number| format!("job-{number}"))
}

fn result() -> impl Strategy<Value = ListedResult> {
    (0..ITEMS + 2, any::<bool>(), "[a-z]{0,6}").prop_map(|(index, succeeded, text)| ListedResult {
        index,
        state: if succeeded {
            ItemState::Succeeded
        } else {
            ItemState::Abandoned
        },
        text: wingshore_coordination::ResultText::pack(&text),
        versions: vec![1],
        score: None,
    })
}

/// One of a few attempts that generated or scored a text.
fn made_by() -> impl Strategy<Value = AssignmentId> {
    (0..3_u64).prop_map(|number| AssignmentId {
        epoch: Epoch(1),
        number,
    })
}

/// The text that an attempt generated; its score is the same string.
fn text_of(made_by: AssignmentId) -> String {
    format!("text of attempt {}", made_by.number)
}

fn item_key(job: &str, index: u32) -> ItemKey {
    ItemKey {
        job: JobId::from(job),
        index,
    }
}

fn partial_text_strategy() -> impl Strategy<Value = ItemText> {
    (1..4_u64, "[a-z]{1,4}").prop_map(|(events, text)| ItemText {
        text,
        events,
        last_event: Some(events),
        versions: vec![1],
    })
}

fn command() -> impl Strategy<Value = Command> {
    prop_oneof![
        (1..9_u64).prop_map(|version| Command::Configure(Arc::new(configuration(version)))),
        (instance(), 1..6_u64, any::<bool>()).prop_map(|(name, version, draining)| {
            let mut server = engine(&name, version);
            server.draining = draining;
            Command::Register(server)
        }),
        instance().prop_map(|name| Command::Depart(InstanceId::from(name))),
        instance().prop_map(|name| Command::Expire(InstanceId::from(name))),
        (1..9_u64).prop_map(|version| Command::NameVersion {
            model: ModelName::from("m"),
            version,
        }),
        job_id().prop_map(|id| Command::AcceptJob(job(&id, ITEMS))),
        (job_id(), result()).prop_map(|(id, result)| Command::ListResult {
            job: JobId::from(id),
            result,
        }),
        (job_id(), 0..ITEMS + 1, 0..6_u64, partial_text_strategy()).prop_map(
            |(id, index, after, text)| {
                Command::KeepText {
                    item: ItemKey {
                        job: JobId::from(id),
                        index,
                    },
                    after_events: after,
                    text,
                }
            }
        ),
        (job_id(), 0..ITEMS + 1, made_by()).prop_map(|(id, index, made_by)| {
            Command::KeepUnscored {
                item: item_key(&id, index),
                made_by,
                text: FinishedText {
                    text: ResultText::pack(&text_of(made_by)),
                    versions: vec![1],
                },
            }
        }),
        (job_id(), 0..ITEMS + 1, made_by()).prop_map(|(id, index, made_by)| {
            Command::ListScored {
                item: item_key(&id, index),
                made_by,
                score: text_of(made_by),
            }
        }),
        (job_id(), 0..ITEMS + 1, made_by(), 1..3_u32).prop_map(|(id, index, made_by, failures)| {
            Command::CountScoringFailures {
                item: item_key(&id, index),
                made_by,
                failures,
            }
        }),
        job_id().prop_map(|id| Command::EndJob(JobId::from(id))),
    ]
}

/// Checks the invariants between a state and a later one.
fn check_step(before: &CoordinationState, after: &CoordinationState) {
    let version = |state: &CoordinationState| state.configuration().map(|held| held.version);
    assert!(
        version(after) >= version(before),
        "the version of the configuration decreased"
    );
    for (model, named) in before.named_versions() {
        assert!(
            after.named_versions()[model] >= *named,
            "a published version decreased"
        );
    }
    for (instance, server) in before.servers() {
        let Some(later) = after.servers().get(instance) else {
            continue;
        };
        assert!(
            !server.draining || later.draining,
            "a draining server stopped draining"
        );
        let model = ModelName::from("m");
        assert!(later.version_of(&model) >= server.version_of(&model));
    }
    for instance in after.servers().keys() {
        assert!(
            !before.has_departed(instance),
            "a departed server was registered again"
        );
    }
    for (id, job) in before.jobs() {
        let later = &after.jobs()[id];
        assert_eq!(
            later.results[..job.results.len()],
            job.results[..],
            "a listed result moved or changed"
        );
        assert!(!job.ended || later.ended, "an ended job is no longer ended");
    }
}

fn check_invariants(state: &CoordinationState) {
    for job in state.jobs().values() {
        let mut ids: Vec<&str> = job
            .results
            .iter()
            .map(|result| result.id.as_str())
            .collect();
        ids.sort_unstable();
        ids.dedup();
        assert_eq!(ids.len(), job.results.len(), "an item is listed twice");
        assert_eq!(
            job.open_items().count() + job.results.len(),
            job.item_count()
        );
        for index in 0..ITEMS {
            let kept = job.partial_text(index);
            assert!(kept.is_none() || !job.is_listed(index));
            let unscored = job.unscored(index);
            assert!(unscored.is_none() || !job.is_listed(index));
            assert!(unscored.is_none() || kept.is_none());
        }
        for result in &job.results {
            if let Some(score) = &result.score {
                let text = result.text.unpack().unwrap();
                assert_eq!(
                    *score, text,
                    "an item has the score of another attempt's text"
                );
            }
        }
    }
}

proptest! {
    #[test]
    fn invariants_hold_after_any_commands(commands in proptest::collection::vec(command(), 0..60)) {
        let mut state = CoordinationState::default();
        for (index, command) in (1..).zip(commands) {
            let before = state.clone();
            state.apply(LogIndex(index), command);
            check_step(&before, &state);
            check_invariants(&state);
        }
    }

    #[test]
    fn a_snapshot_restores_the_complete_state(commands in proptest::collection::vec(command(), 0..60)) {
        let mut state = CoordinationState::default();
        for (index, command) in (1..).zip(commands) {
            state.apply(LogIndex(index), command);
        }
        let restored = CoordinationState::restore(&state.snapshot()).unwrap();
        prop_assert_eq!(restored, state);
    }

    #[test]
    fn restoring_arbitrary_bytes_does_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = CoordinationState::restore(&bytes);
    }

    #[test]
    fn a_text_equals_its_prefix_extended_by_the_rest(events in 1..8_u64, cut in 0..8_u64) {
        let data: Vec<String> = (1..=events).map(|number| format!("e{number}")).collect();
        let text = |count: u64| ItemText {
            text: data[..count as usize].join("\n"),
            events: count,
            last_event: (count > 0).then_some(count),
            versions: vec![1],
        };
        let cut = cut.min(events);
        let mut joined = text(cut);
        joined.extend(text(events).after(text(cut).extent()));
        prop_assert_eq!(joined, text(events));
    }
}

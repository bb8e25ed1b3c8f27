//! Progress of running items, and the pace of engines that it shows.

use super::machine::CoordinationLeader;
use super::turn::Turn;
use crate::ids::InstanceId;
use crate::messages::ItemProgress;
use std::collections::BTreeMap;
use std::time::Duration;
use wingshore_types::Instant;

/// What the streams of an engine delivered since the report before, summed over the streams.
#[derive(Default)]
struct Delivered {
    events: u64,
    time: Duration,
}

impl CoordinationLeader {
    /// Handles a gateway's progress report.
    pub(crate) fn on_progress(&mut self, progress: Vec<ItemProgress>, turn: &mut Turn<'_>) {
        self.record_progress(turn.now, &progress);
        if self.settings.policy.moves {
            self.move_items(&progress, turn);
        }
    }

    /// Records the progress of items. The streams of an engine together are one measurement of its
    /// pace: what slows it down slows down all of them.
    fn record_progress(&mut self, now: Instant, progress: &[ItemProgress]) {
        let mut delivered: BTreeMap<InstanceId, Delivered> = BTreeMap::new();
        for item in progress {
            if let Some((instance, events, time)) = self.record_item(now, *item) {
                let engine = delivered.entry(instance).or_default();
                engine.events += events;
                engine.time += time;
            }
        }
        for (instance, Delivered { events, time }) in delivered {
            self.engines.record_pace(now, &instance, events, time);
        }
    }

    /// Records the progress of an item. Returns its engine, its new events and the time in which
    /// they came; `None` if they do not show the engine's pace.
    fn record_item(
        &mut self,
        now: Instant,
        progress: ItemProgress,
    ) -> Option<(InstanceId, u64, Duration)> {
        let ItemProgress { assignment, events } = progress;
        let attempt = self.items.attempt_mut(assignment)?;
        attempt.last_reported_at = now;
        let engine = self.engines.get(&attempt.instance);
        let is_steady = engine.is_some_and(|engine| engine.is_steady(now));
        let Some((before, at)) = attempt.last_progress.filter(|_| is_steady) else {
            attempt.last_progress = Some((events, now));
            return None;
        };
        let new = events.saturating_sub(before);
        if new == 0 {
            return None;
        }
        attempt.last_progress = Some((events, now));
        if before == 0 {
            // The first events also waited for their prompt.
            return None;
        }
        Some((attempt.instance.clone(), new, now.since(at)))
    }
}

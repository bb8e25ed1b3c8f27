//! Scores of finished samples, and offers of unscored samples to nodes.
//!
//! Question: which finished samples does a node get when it requests samples to score?
//!
//! Inputs: the finished samples in queue order, the earlier offers with their times.
//!
//! Rule: the first samples without an active offer, up to [`MAX_UNSCORED_PER_REQUEST`] samples or
//! [`MAX_TOKENS_PER_ANSWER`] tokens. The first offer of a generation lasts [`INITIAL_OFFER`], and
//! each further one lasts twice as long, up to [`MAX_OFFER`]. The first score of a generation is
//! accepted.
//!
//! Why: a lost answer causes only a short delay, and a slow scorer is not sent the same samples
//! again and again.
//!
//! Missing input: offers are held in the leader's memory only, so a new leader may offer samples
//! that are already being scored.

use super::pool::{MAX_TOKENS_PER_ANSWER, PoolLedger, invalid};
use super::stage::{Finished, Stage};
use std::collections::BTreeMap;
use std::time::Duration;
use wingshore_types::protocol::ledger::{LedgerReply, UnscoredSample};
use wingshore_types::{Instant, LeaseId, PoolId, SampleNumber};

/// Duration of the first offer of a finished sample.
const INITIAL_OFFER: Duration = Duration::from_secs(2);
/// Maximum duration of an offer.
const MAX_OFFER: Duration = Duration::from_secs(32);
/// Maximum number of finished samples in one answer.
pub(crate) const MAX_UNSCORED_PER_REQUEST: u32 = 256;

impl PoolLedger {
    pub(super) fn score(
        &mut self,
        number: SampleNumber,
        lease: LeaseId,
        score: f64,
    ) -> LedgerReply {
        if !score.is_finite() {
            return LedgerReply::Refused(invalid(format!("score {score} is not a finite number")));
        }
        let stage = self.open.get(&number).map(|sample| &sample.stage);
        let Some(Stage::Finished(finished)) = stage else {
            return LedgerReply::First(false);
        };
        if finished.lease != lease {
            return LedgerReply::First(false);
        }
        if let Some(Stage::Finished(finished)) = self.take_stage(number) {
            self.set_stage(number, Stage::Scored { finished, score });
        }
        LedgerReply::First(true)
    }

    /// Returns the finished generations without a score, in queue order.
    fn unscored(&self) -> impl Iterator<Item = (SampleNumber, &Finished)> + '_ {
        self.indexes.finished.iter().filter_map(|key| {
            let sample = self.open.get(&key.number())?;
            match &sample.stage {
                Stage::Finished(finished) => Some((key.number(), finished)),
                _ => None,
            }
        })
    }

    fn unscored_sample(&self, number: SampleNumber) -> Option<UnscoredSample> {
        let sample = self.open.get(&number)?;
        let Stage::Finished(finished) = &sample.stage else {
            return None;
        };
        Some(UnscoredSample {
            number,
            lease: finished.lease,
            prompt: sample.prompt.tokens.clone(),
            tokens: finished.generation.tokens.clone(),
        })
    }

    pub(super) fn awaits_score(&self, number: SampleNumber, lease: LeaseId) -> bool {
        let stage = self.open.get(&number).map(|sample| &sample.stage);
        matches!(stage, Some(Stage::Finished(finished)) if finished.lease == lease)
    }
}

/// Finished samples that were offered for scoring. Held in the leader's memory only: a new leader
/// may offer them again, and the first score is accepted.
#[derive(Debug, Default)]
pub(super) struct ScoringOffers {
    offers: BTreeMap<(PoolId, SampleNumber, LeaseId), Offer>,
}

#[derive(Clone, Copy, Debug)]
struct Offer {
    expires_at: Instant,
    duration: Duration,
}

impl ScoringOffers {
    /// Offers the first finished samples without an active offer and returns them.
    pub(super) fn offer(
        &mut self,
        now: Instant,
        id: &PoolId,
        pool: &PoolLedger,
        most: u32,
    ) -> Vec<UnscoredSample> {
        let most = most.min(MAX_UNSCORED_PER_REQUEST) as usize;
        let mut tokens = 0;
        let offered: Vec<UnscoredSample> = pool
            .unscored()
            .filter(|(number, finished)| !self.is_offer_active(now, id, *number, finished.lease))
            .take(most)
            .take_while(|(_, finished)| {
                let has_room = tokens < MAX_TOKENS_PER_ANSWER;
                tokens += finished.generation.tokens.len();
                has_room
            })
            .filter_map(|(number, _)| pool.unscored_sample(number))
            .collect();
        for sample in &offered {
            let key = (id.clone(), sample.number, sample.lease);
            let earlier = self.offers.get(&key).map(|offer| offer.duration);
            let duration = earlier.map_or(INITIAL_OFFER, |earlier| (earlier * 2).min(MAX_OFFER));
            let expires_at = now + duration;
            self.offers.insert(
                key,
                Offer {
                    expires_at,
                    duration,
                },
            );
        }
        offered
    }

    /// Removes the offers of generations that no longer wait for a score.
    pub(super) fn prune(&mut self, pools: &BTreeMap<PoolId, PoolLedger>) {
        self.offers.retain(|(pool, number, lease), _| {
            let pool = pools.get(pool);
            pool.is_some_and(|pool| pool.awaits_score(*number, *lease))
        });
    }

    fn is_offer_active(
        &self,
        now: Instant,
        id: &PoolId,
        number: SampleNumber,
        lease: LeaseId,
    ) -> bool {
        let key = (id.clone(), number, lease);
        self.offers
            .get(&key)
            .is_some_and(|offer| offer.expires_at > now)
    }
}

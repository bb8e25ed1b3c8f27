//! Results of items: finished texts and abandoned items.

use super::decision_log::Decision;
use super::machine::CoordinationLeader;
use super::proposals::FollowUp;
use super::turn::Turn;
use crate::ids::{AssignmentId, GatewayId, ItemKey};
use crate::jobs::{ItemState, ListedResult};
use crate::state::Command;
use crate::text::{FinishedText, ResultText};

impl CoordinationLeader {
    /// Accepts the finished text of an item that has no result yet; it is listed, or first scored
    /// if the item has a scorer. Nobody waits for the text once the job has ended.
    pub(crate) fn accept_text(
        &mut self,
        item: &ItemKey,
        text: FinishedText,
        finished: (GatewayId, AssignmentId),
        turn: &mut Turn<'_>,
    ) {
        let job = turn.state.jobs().get(&item.job);
        let Some(contents) = job.and_then(|job| job.item_contents(item.index)) else {
            let (gateway, assignment) = finished;
            return self.release_attempt_and_scoring(gateway, assignment, turn);
        };
        if contents.scorer.is_some() {
            return self.store_unscored_text(item, text, finished, turn);
        }
        let result = ListedResult {
            index: item.index,
            state: ItemState::Succeeded,
            text: text.text,
            versions: text.versions,
            score: None,
        };
        self.propose_result(item, result, Some(finished), turn);
    }

    /// Abandons an item: lists it without a text and releases its scorings.
    pub(crate) fn abandon(&mut self, item: &ItemKey, reason: &'static str, turn: &mut Turn<'_>) {
        turn.log(Decision::ItemAbandoned {
            job: item.job.clone(),
            index: item.index,
            reason,
        });
        let result = ListedResult {
            index: item.index,
            state: ItemState::Abandoned,
            text: ResultText::default(),
            versions: Vec::new(),
            score: None,
        };
        for (gateway, scoring) in self.scorings.remove_item(item) {
            turn.release_scoring(gateway, scoring);
        }
        self.propose_result(item, result, None, turn);
    }

    /// Proposes to list a result. The gateway that produced it keeps it until it is committed.
    fn propose_result(
        &mut self,
        item: &ItemKey,
        result: ListedResult,
        finished: Option<(GatewayId, AssignmentId)>,
        turn: &mut Turn<'_>,
    ) {
        self.items.finish(item);
        let job = item.job.clone();
        let command = Command::ListResult {
            job: job.clone(),
            result,
        };
        self.propose(command, FollowUp::ResultListed { job, finished }, turn);
    }
}

//! Items of batch jobs on their way: which wait, which run where, what they have so far.

use super::item::{Attempt, OpenItem, Rank};
use crate::ids::{AssignmentId, GatewayId, InstanceId, ItemId, ItemKey, JobId};
use crate::leader::decisions::item_length::long_from;
use crate::state::CoordinationState;
use crate::text::ItemText;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::ops::Bound;
use wingshore_types::Epoch;

/// Items that have survived their jobs are remembered up to this many.
const MAX_SURVIVING: usize = 4096;

/// All items that are not listed.
#[derive(Default)]
pub(crate) struct Items {
    epoch: Epoch,
    /// Whether the longest items of a job are placed first.
    longest_first: bool,
    next_assignment: u64,
    next_job: u64,
    /// Open jobs with their numbers in the order of acceptance.
    jobs: HashMap<JobId, u64>,
    /// Jobs in the order of their acceptance; none is empty.
    waiting: BTreeMap<(u64, JobId), BTreeSet<Rank>>,
    attempts: BTreeMap<AssignmentId, Attempt>,
    open: BTreeMap<ItemKey, OpenItem>,
    /// Items that were running when their job ended.
    surviving: HashSet<ItemId>,
    /// The engine that ran an item of a group last, by job.
    affinities: HashMap<JobId, HashMap<String, InstanceId>>,
}

impl Items {
    /// A new leadership: every item that is not listed waits, until a gateway says that it runs it.
    pub(crate) fn begin(&mut self, epoch: Epoch, longest_first: bool, state: &CoordinationState) {
        self.epoch = epoch;
        self.longest_first = longest_first;
        for id in state.jobs().keys() {
            self.add_job(id, state);
        }
    }

    /// A job was accepted.
    pub(crate) fn add_job(&mut self, id: &JobId, state: &CoordinationState) {
        let Some(job) = state.jobs().get(id).filter(|job| !job.ended) else {
            return;
        };
        if self.jobs.contains_key(id) {
            return;
        }
        self.jobs.insert(id.clone(), self.next_job);
        self.next_job += 1;
        let long_from = long_from(&job.submission.items);
        for index in job.open_items() {
            let item = ItemKey {
                job: id.clone(),
                index,
            };
            let contents = job.submission.items.get(index as usize);
            let expected = contents.and_then(|item| item.expected_output).unwrap_or(0);
            let survived = contents.is_some_and(|item| self.surviving.contains(&item.id));
            let has_text = job.unscored(index).is_some();
            let open_item = OpenItem {
                held: job
                    .partial_text(index)
                    .map(ItemText::logged_prefix)
                    .unwrap_or_default(),
                has_result: has_text,
                expected_length: if survived { u64::MAX } else { expected },
                is_long: survived || expected >= long_from,
                ..OpenItem::default()
            };
            self.open.insert(item.clone(), open_item);
            if !has_text {
                self.wait(item);
            }
        }
    }

    /// Forgets all items of a job; gives the attempts under way. What still runs has survived the
    /// job, and may come again in another one.
    pub(crate) fn remove_job(
        &mut self,
        id: &JobId,
        state: &CoordinationState,
    ) -> Vec<(AssignmentId, Attempt)> {
        let attempts = self.attempts.iter();
        let own = attempts.filter(|(_, attempt)| attempt.item.job == *id);
        let ended: Vec<AssignmentId> = own.map(|(assignment, _)| *assignment).collect();
        let ended = ended.into_iter();
        let ended: Vec<(AssignmentId, Attempt)> = ended
            .filter_map(|assignment| Some((assignment, self.attempts.remove(&assignment)?)))
            .collect();
        let submission = state.jobs().get(id).map(|job| &job.submission);
        for (_, attempt) in &ended {
            let item = submission.and_then(|job| job.items.get(attempt.item.index as usize));
            self.surviving.extend(item.map(|item| item.id.clone()));
        }
        if self.surviving.len() > MAX_SURVIVING {
            self.surviving.clear();
        }
        self.jobs.remove(id);
        self.affinities.remove(id);
        self.waiting.retain(|(_, job), _| job != id);
        self.open.retain(|item, _| item.job != *id);
        ended
    }

    /// Puts an item among those that wait.
    pub(crate) fn wait(&mut self, item: ItemKey) {
        let Some(number) = self.jobs.get(&item.job) else {
            return;
        };
        let rank = self.rank(&item);
        let waiting = self.waiting.entry((*number, item.job)).or_default();
        waiting.insert(rank);
    }

    fn rank(&self, item: &ItemKey) -> Rank {
        let open_item = self.open.get(item);
        let expected = open_item.map_or(0, |open_item| open_item.expected_length);
        let expected = if self.longest_first { expected } else { 0 };
        Rank {
            length: std::cmp::Reverse(expected),
            index: item.index,
        }
    }

    /// Jobs with waiting items, in their order.
    pub(crate) fn waiting_jobs(&self) -> Vec<JobId> {
        self.waiting.keys().map(|(_, job)| job.clone()).collect()
    }

    /// The next waiting item of a job behind `last`, or the first one, in their order.
    pub(crate) fn next_waiting(&self, job: &JobId, last: Option<Rank>) -> Option<Rank> {
        let number = self.jobs.get(job).copied()?;
        let waiting = self.waiting.get(&(number, job.clone()))?;
        let behind = last.map_or(Bound::Unbounded, Bound::Excluded);
        waiting.range((behind, Bound::Unbounded)).next().copied()
    }

    /// All items that wait.
    pub(crate) fn waiting(&self) -> impl Iterator<Item = ItemKey> + '_ {
        self.waiting.iter().flat_map(|((_, job), waiting)| {
            waiting.iter().map(|rank| ItemKey {
                job: job.clone(),
                index: rank.index,
            })
        })
    }

    /// How many items of each job wait.
    pub(crate) fn waiting_by_job(&self) -> impl Iterator<Item = (&JobId, usize)> {
        let waiting = self.waiting.iter();
        waiting.map(|((_, job), items)| (job, items.len()))
    }

    /// How many wait.
    pub(crate) fn waiting_count(&self) -> usize {
        self.waiting.values().map(BTreeSet::len).sum()
    }

    /// Whether none waits.
    pub(crate) fn none_waits(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Takes an item out of those that wait.
    pub(crate) fn take(&mut self, item: &ItemKey) {
        let Some(number) = self.jobs.get(&item.job) else {
            return;
        };
        let rank = self.rank(item);
        let key = (*number, item.job.clone());
        if let Some(waiting) = self.waiting.get_mut(&key) {
            waiting.remove(&rank);
            if waiting.is_empty() {
                self.waiting.remove(&key);
            }
        }
    }

    /// An identifier for a new attempt.
    pub(crate) fn next_assignment(&mut self) -> AssignmentId {
        self.next_assignment += 1;
        AssignmentId {
            epoch: self.epoch,
            number: self.next_assignment,
        }
    }

    /// An attempt begins, or is known to be under way.
    pub(crate) fn start(&mut self, assignment: AssignmentId, mut attempt: Attempt) {
        if let Some(open_item) = self.open.get_mut(&attempt.item) {
            open_item.assignment = Some(assignment);
            attempt.is_long = open_item.is_long;
        }
        self.attempts.insert(assignment, attempt);
    }

    /// An attempt is over.
    pub(crate) fn end(&mut self, assignment: AssignmentId) -> Option<Attempt> {
        let attempt = self.attempts.remove(&assignment)?;
        if let Some(open_item) = self.open.get_mut(&attempt.item)
            && open_item.assignment == Some(assignment)
        {
            open_item.assignment = None;
        }
        Some(attempt)
    }

    /// The attempts under way.
    pub(crate) fn attempts(&self) -> impl Iterator<Item = (&AssignmentId, &Attempt)> {
        self.attempts.iter()
    }

    /// Whether an item that `is_suspect` runs on an engine.
    pub(crate) fn has_suspect_on(
        &self,
        instance: &InstanceId,
        is_suspect: impl Fn(&OpenItem) -> bool,
    ) -> bool {
        let mut attempts = self.attempts.values();
        attempts.any(|attempt| {
            let open_item = self.open.get(&attempt.item);
            attempt.instance == *instance && open_item.is_some_and(&is_suspect)
        })
    }

    /// The item of an attempt that is under way and has no result proposed.
    pub(crate) fn item_of(&self, assignment: AssignmentId) -> Option<ItemKey> {
        let attempt = self.attempts.get(&assignment)?;
        let open_item = self.open.get(&attempt.item)?;
        (!open_item.has_result).then(|| attempt.item.clone())
    }

    /// Whether an attempt is known to be under way.
    pub(crate) fn is_under_way(&self, assignment: AssignmentId) -> bool {
        self.attempts.contains_key(&assignment)
    }

    /// An attempt under way.
    pub(crate) fn attempt(&self, assignment: AssignmentId) -> Option<&Attempt> {
        self.attempts.get(&assignment)
    }

    /// An attempt under way.
    pub(crate) fn attempt_mut(&mut self, assignment: AssignmentId) -> Option<&mut Attempt> {
        self.attempts.get_mut(&assignment)
    }

    /// What is known of an item; `None` for one that is listed or forgotten.
    pub(crate) fn open_item(&self, item: &ItemKey) -> Option<&OpenItem> {
        self.open.get(item)
    }

    /// As [`Items::open_item`].
    pub(crate) fn open_item_mut(&mut self, item: &ItemKey) -> Option<&mut OpenItem> {
        self.open.get_mut(item)
    }

    /// The item's result is proposed: it needs nothing more.
    pub(crate) fn finish(&mut self, item: &ItemKey) {
        if let Some(open_item) = self.open.get_mut(item) {
            open_item.has_result = true;
            open_item.partial_text = ItemText::default();
        }
        self.take(item);
    }

    /// A gateway is gone with all it ran: its items wait again. Gives the engine of each attempt that is
    /// over by that.
    pub(crate) fn gateway_lost(&mut self, gateway: GatewayId) -> Vec<InstanceId> {
        let lost = self.attempts_of(gateway);
        self.end_and_wait(lost)
    }

    /// A gateway that is back reports all that it runs: what it does not speak of waits again. Gives
    /// how many of its attempts go on, and the engine of each that is over.
    pub(crate) fn gateway_reports(
        &mut self,
        gateway: GatewayId,
        reported: &BTreeSet<AssignmentId>,
    ) -> (usize, Vec<InstanceId>) {
        let known = self.attempts_of(gateway).into_iter();
        let (kept, lost): (Vec<AssignmentId>, Vec<AssignmentId>) =
            known.partition(|assignment| reported.contains(assignment));
        (kept.len(), self.end_and_wait(lost))
    }

    fn attempts_of(&self, gateway: GatewayId) -> Vec<AssignmentId> {
        let attempts = self.attempts.iter();
        let own = attempts.filter(|(_, attempt)| attempt.gateway == gateway);
        own.map(|(assignment, _)| *assignment).collect()
    }

    fn end_and_wait(&mut self, lost: Vec<AssignmentId>) -> Vec<InstanceId> {
        let mut engines = Vec::new();
        for assignment in lost {
            if let Some(attempt) = self.end(assignment) {
                engines.push(attempt.instance);
                self.wait(attempt.item);
            }
        }
        engines
    }

    /// The engine that ran an item of the group last.
    pub(crate) fn affinity(&self, job: &JobId, group: &str) -> Option<&InstanceId> {
        self.affinities.get(job)?.get(group)
    }

    /// An engine runs an item of the group.
    pub(crate) fn set_affinity(&mut self, job: &JobId, group: &str, instance: &InstanceId) {
        let engines = self.affinities.entry(job.clone()).or_default();
        engines.insert(group.to_owned(), instance.clone());
    }
}

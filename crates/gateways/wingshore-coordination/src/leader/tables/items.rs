//! Unlisted items of batch jobs: which of them wait, where the others run, and their partial texts.

use super::item::{Attempt, OpenItem, Rank};
use crate::ids::{AssignmentId, GatewayId, InstanceId, ItemId, ItemKey, JobId};
use crate::leader::decisions::item_length::{JobLengths, estimated_tokens};
use crate::state::CoordinationState;
use crate::text::ItemText;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::ops::Bound;
use wingshore_types::Epoch;

/// Maximum number of remembered items that were still running when their job ended.
const MAX_LEFT_RUNNING: usize = 4096;

/// All items that are not listed yet.
#[derive(Default)]
pub(crate) struct Items {
    epoch: Epoch,
    /// Whether the longest items of a job are placed first.
    longest_first: bool,
    next_assignment: u64,
    next_job: u64,
    /// Open jobs, with their numbers in the order of acceptance.
    jobs: HashMap<JobId, u64>,
    /// Waiting items by job, in the order of acceptance; no set is empty.
    waiting: BTreeMap<(u64, JobId), BTreeSet<Rank>>,
    attempts: BTreeMap<AssignmentId, Attempt>,
    open: BTreeMap<ItemKey, OpenItem>,
    /// Items that were still running when their job ended.
    left_running: HashSet<ItemId>,
    /// Number of groups by job.
    groups: HashMap<JobId, usize>,
    /// Engine that ran the last item of each group, by job.
    affinities: HashMap<JobId, HashMap<String, InstanceId>>,
}

impl Items {
    /// Starts a new leadership: every unlisted item waits until a gateway reports that it runs it.
    pub(crate) fn begin(&mut self, epoch: Epoch, longest_first: bool, state: &CoordinationState) {
        self.epoch = epoch;
        self.longest_first = longest_first;
        for id in state.jobs().keys() {
            self.add_job(id, state);
        }
    }

    /// Adds the items of an accepted job.
    pub(crate) fn add_job(&mut self, id: &JobId, state: &CoordinationState) {
        let Some(job) = state.jobs().get(id) else {
            return;
        };
        let Some(submission) = job.open_contents() else {
            return;
        };
        if self.jobs.contains_key(id) {
            return;
        }
        self.jobs.insert(id.clone(), self.next_job);
        let groups = submission.items.iter().map(|item| item.group.as_str());
        let groups: HashSet<&str> = groups.collect();
        self.groups.insert(id.clone(), groups.len());
        self.next_job += 1;
        let lengths = JobLengths::of(&submission.items);
        for index in job.open_items() {
            let item = ItemKey {
                job: id.clone(),
                index,
            };
            let contents = submission.items.get(index as usize);
            let expected = contents.and_then(|item| item.expected_output).unwrap_or(0);
            let was_left_running =
                contents.is_some_and(|item| self.left_running.contains(&item.id));
            let has_text = job.unscored(index).is_some();
            let open_item = OpenItem {
                held: job
                    .partial_text(index)
                    .map(ItemText::logged_prefix)
                    .unwrap_or_default(),
                has_result: has_text,
                expected_length: if was_left_running { u64::MAX } else { expected },
                estimated_tokens: if was_left_running {
                    lengths.longest
                } else {
                    contents.and_then(estimated_tokens)
                },
                longest_tokens: lengths.longest,
                is_long: was_left_running || expected >= lengths.long_threshold,
                ..OpenItem::default()
            };
            self.open.insert(item.clone(), open_item);
            if !has_text {
                self.enqueue(item);
            }
        }
    }

    /// Removes all items of a job and returns the attempts in progress. Their items are remembered
    /// as long, since a later job may contain them again.
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
        let job = state.jobs().get(id);
        for (_, attempt) in &ended {
            let item = job.and_then(|job| job.item_id(attempt.item.index));
            self.left_running.extend(item.cloned());
        }
        if self.left_running.len() > MAX_LEFT_RUNNING {
            self.left_running.clear();
        }
        self.jobs.remove(id);
        self.groups.remove(id);
        self.affinities.remove(id);
        self.waiting.retain(|(_, job), _| job != id);
        self.open.retain(|item, _| item.job != *id);
        ended
    }

    /// Adds an item to the waiting ones.
    pub(crate) fn enqueue(&mut self, item: ItemKey) {
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

    /// Returns the jobs with waiting items, in the order of acceptance.
    pub(crate) fn waiting_jobs(&self) -> Vec<JobId> {
        self.waiting.keys().map(|(_, job)| job.clone()).collect()
    }

    /// Returns the first waiting item of a job after `last` in placement order, or the first one of
    /// all if `last` is `None`.
    pub(crate) fn next_waiting(&self, job: &JobId, last: Option<Rank>) -> Option<Rank> {
        let number = self.jobs.get(job).copied()?;
        let waiting = self.waiting.get(&(number, job.clone()))?;
        let behind = last.map_or(Bound::Unbounded, Bound::Excluded);
        waiting.range((behind, Bound::Unbounded)).next().copied()
    }

    /// Iterates over the waiting items of a job in placement order.
    pub(crate) fn waiting_ranks(&self, job: &JobId) -> impl Iterator<Item = Rank> + '_ {
        let number = self.jobs.get(job).copied();
        let key = number.map(|number| (number, job.clone()));
        let waiting = key.and_then(|key| self.waiting.get(&key));
        waiting.into_iter().flatten().copied()
    }

    /// Returns the number of groups of a job.
    pub(crate) fn group_count(&self, job: &JobId) -> usize {
        self.groups.get(job).copied().unwrap_or(0)
    }

    /// Iterates over all waiting items.
    pub(crate) fn waiting(&self) -> impl Iterator<Item = ItemKey> + '_ {
        self.waiting.iter().flat_map(|((_, job), waiting)| {
            waiting.iter().map(|rank| ItemKey {
                job: job.clone(),
                index: rank.index,
            })
        })
    }

    /// Iterates over the jobs with waiting items and the number of these.
    pub(crate) fn waiting_by_job(&self) -> impl Iterator<Item = (&JobId, usize)> {
        let waiting = self.waiting.iter();
        waiting.map(|((_, job), items)| (job, items.len()))
    }

    /// Returns the number of waiting items.
    pub(crate) fn waiting_count(&self) -> usize {
        self.waiting.values().map(BTreeSet::len).sum()
    }

    /// Returns whether no item waits.
    pub(crate) fn none_waits(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Removes an item from the waiting ones.
    pub(crate) fn dequeue(&mut self, item: &ItemKey) {
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

    /// Returns an identifier for a new attempt.
    pub(crate) fn next_assignment(&mut self) -> AssignmentId {
        self.next_assignment += 1;
        AssignmentId {
            epoch: self.epoch,
            number: self.next_assignment,
        }
    }

    /// Records an attempt that starts, or that is known to be in progress.
    pub(crate) fn start(&mut self, assignment: AssignmentId, mut attempt: Attempt) {
        if let Some(open_item) = self.open.get_mut(&attempt.item) {
            open_item.assignment = Some(assignment);
            attempt.is_long = open_item.is_long;
        }
        self.attempts.insert(assignment, attempt);
    }

    /// Removes an attempt that has ended.
    pub(crate) fn end(&mut self, assignment: AssignmentId) -> Option<Attempt> {
        let attempt = self.attempts.remove(&assignment)?;
        if let Some(open_item) = self.open.get_mut(&attempt.item)
            && open_item.assignment == Some(assignment)
        {
            open_item.assignment = None;
        }
        Some(attempt)
    }

    /// Iterates over the attempts in progress.
    pub(crate) fn attempts(&self) -> impl Iterator<Item = (&AssignmentId, &Attempt)> {
        self.attempts.iter()
    }

    /// Returns the item of an attempt in progress; `None` if a result is proposed already.
    pub(crate) fn item_of(&self, assignment: AssignmentId) -> Option<ItemKey> {
        let attempt = self.attempts.get(&assignment)?;
        let open_item = self.open.get(&attempt.item)?;
        (!open_item.has_result).then(|| attempt.item.clone())
    }

    /// Returns whether an attempt is known to be in progress.
    pub(crate) fn is_under_way(&self, assignment: AssignmentId) -> bool {
        self.attempts.contains_key(&assignment)
    }

    /// Returns an attempt in progress.
    pub(crate) fn attempt(&self, assignment: AssignmentId) -> Option<&Attempt> {
        self.attempts.get(&assignment)
    }

    /// Returns an attempt in progress for changes.
    pub(crate) fn attempt_mut(&mut self, assignment: AssignmentId) -> Option<&mut Attempt> {
        self.attempts.get_mut(&assignment)
    }

    /// Returns the state of an item; `None` if it is listed or its job has ended.
    pub(crate) fn open_item(&self, item: &ItemKey) -> Option<&OpenItem> {
        self.open.get(item)
    }

    /// Returns the number of events of an item's partial text that are known: reported to this
    /// leader, or held by the log.
    pub(crate) fn generated_events(&self, job: &JobId, index: u32) -> u64 {
        let key = ItemKey {
            job: job.clone(),
            index,
        };
        let open_item = self.open.get(&key);
        open_item.map_or(0, |item| {
            item.partial_text.events.max(item.held.extent.events)
        })
    }

    /// Returns the state of an item for changes; see [`Items::open_item`].
    pub(crate) fn open_item_mut(&mut self, item: &ItemKey) -> Option<&mut OpenItem> {
        self.open.get_mut(item)
    }

    /// Records that the result of an item is proposed, so that it needs no further attempt.
    pub(crate) fn finish(&mut self, item: &ItemKey) {
        if let Some(open_item) = self.open.get_mut(item) {
            open_item.has_result = true;
            open_item.partial_text = ItemText::default();
        }
        self.dequeue(item);
    }

    /// Ends all attempts of a lost gateway, so that their items wait again, and returns them.
    pub(crate) fn remove_gateway(&mut self, gateway: GatewayId) -> Vec<Attempt> {
        let lost = self.attempts_of(gateway);
        self.end_and_wait(lost)
    }

    /// Processes the report of a gateway that has reconnected: items of attempts that are not in
    /// `reported` wait again. Returns the number of attempts that continue, and the
    /// ended ones.
    pub(crate) fn reconcile_gateway(
        &mut self,
        gateway: GatewayId,
        reported: &BTreeSet<AssignmentId>,
    ) -> (usize, Vec<Attempt>) {
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

    fn end_and_wait(&mut self, lost: Vec<AssignmentId>) -> Vec<Attempt> {
        let mut ended = Vec::new();
        for assignment in lost {
            if let Some(attempt) = self.end(assignment) {
                self.enqueue(attempt.item.clone());
                ended.push(attempt);
            }
        }
        ended
    }

    /// Returns the engine that ran the last item of the group.
    pub(crate) fn affinity(&self, job: &JobId, group: &str) -> Option<&InstanceId> {
        self.affinities.get(job)?.get(group)
    }

    /// Records the engine that runs an item of the group.
    pub(crate) fn set_affinity(&mut self, job: &JobId, group: &str, instance: &InstanceId) {
        let engines = self.affinities.entry(job.clone()).or_default();
        engines.insert(group.to_owned(), instance.clone());
    }
}

//! Batch jobs: what was submitted, and the results listed so far.
//!
//! A [`Job`] is part of the replicated state. It owns the rule of what counts: the first result of an
//! item is listed, the first whole text is scored, and a partial text only grows at its end. Which item
//! runs where is decided by the leader.

use crate::ids::{AssignmentId, ItemId, JobId, ModelName};
use crate::scoring::{Scorer, UnscoredText};
use crate::text::{FinishedText, ItemText, ResultText};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;
use wingshore_types::protocol::byte_vector;

/// Bytes of memory of an item besides its headers, path and bodies. An estimate from the sizes of its
/// fields.
const ITEM_OVERHEAD_BYTES: usize = 250;
/// Bytes of memory of a result besides its text. An estimate from the sizes of its fields.
const RESULT_OVERHEAD_BYTES: usize = 160;

/// A batch job as a caller submits it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSubmission {
    /// Chosen by the caller; the same job may be submitted again.
    pub id: JobId,
    /// The host that the caller named; its items are routed by it.
    pub host: String,
    /// Step of the trainer.
    pub step: u64,
    /// The model that makes the tokens; `None` where each item names its own.
    pub model: Option<ModelName>,
    /// The oldest version that may make them.
    pub min_version: u64,
    /// Groups that the trainer waits for.
    pub desired: u32,
    /// What is to be run.
    pub items: Vec<JobItem>,
}

impl JobSubmission {
    /// Bytes of memory that its items take, roughly.
    pub fn bytes(&self) -> usize {
        let bytes_of = |item: &JobItem| {
            let headers = item.headers.iter();
            let headers: usize = headers.map(|(name, value)| name.len() + value.len()).sum();
            let scorer = item.scorer.as_ref().map_or(0, |scorer| scorer.body.len());
            ITEM_OVERHEAD_BYTES + headers + item.path.len() + item.body.len() + scorer
        };
        self.items.iter().map(bytes_of).sum()
    }

    /// The same job with items that are only names.
    fn without_item_contents(&self) -> Self {
        let name_of = |item: &JobItem| JobItem {
            id: item.id.clone(),
            path: String::new(),
            headers: Vec::new(),
            body: Vec::new(),
            tokens: item.tokens,
            expected_output: item.expected_output,
            group: String::new(),
            scorer: None,
        };
        Self {
            items: self.items.iter().map(name_of).collect(),
            ..self.clone()
        }
    }
}

/// One item of a batch job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobItem {
    /// Unique within the job.
    pub id: ItemId,
    /// Path of the request.
    pub path: String,
    /// Headers of the request, in the order of the submission.
    pub headers: Vec<(String, String)>,
    /// Body of the request.
    #[serde(with = "byte_vector")]
    pub body: Vec<u8>,
    /// Tokens of its prompt and the most that it may generate, together.
    pub tokens: u64,
    /// The caller's estimate of the tokens that it generates; often far off.
    pub expected_output: Option<u64>,
    /// Items of one group share their prompt and count only together.
    pub group: String,
    /// What scores its text; `None` where texts have no score. Most have none: it takes no room then.
    pub scorer: Option<Box<Scorer>>,
}

/// How an item ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemState {
    /// Its text is whole.
    Succeeded,
    /// It was abandoned.
    Abandoned,
}

/// An item's result as it is to be listed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedResult {
    /// The item's place in the submission.
    pub index: u32,
    /// How it ended.
    pub state: ItemState,
    /// The data of all events, separated by line feeds.
    pub text: ResultText,
    /// The weight versions that made them, in the order of their first event.
    pub versions: Vec<u64>,
    /// Its score; `None` without a scorer.
    pub score: Option<String>,
}

/// A listed result; its position in the job never changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultRecord {
    /// The item.
    pub id: ItemId,
    /// How it ended.
    pub state: ItemState,
    /// The data of all events, separated by line feeds.
    pub text: ResultText,
    /// The weight versions that made them.
    pub versions: Vec<u64>,
    /// Its score; `None` without a scorer.
    pub score: Option<String>,
}

/// Results of a job from a position on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobPage {
    /// Items of the job.
    pub total: u64,
    /// Position of the first result here.
    pub from: u64,
    /// Results in order.
    pub results: Vec<Arc<ResultRecord>>,
}

/// An accepted batch job.
///
/// Invariant: each item is listed at most once, and what is listed is never changed or moved.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// What was submitted.
    pub submission: Arc<JobSubmission>,
    /// Results in the order of their listing.
    pub results: Vec<Arc<ResultRecord>>,
    /// For each item, whether it is listed.
    listed: Vec<bool>,
    /// Partial texts of items that are not listed.
    partial_texts: BTreeMap<u32, ItemText>,
    /// Whole texts that wait for their scores; of items that are not listed.
    unscored: BTreeMap<u32, UnscoredText>,
    /// Whether the caller has ended it.
    pub ended: bool,
}

impl Job {
    /// A job without results.
    pub(crate) fn new(submission: Arc<JobSubmission>) -> Self {
        let listed = vec![false; submission.items.len()];
        Self {
            submission,
            results: Vec::new(),
            listed,
            partial_texts: BTreeMap::new(),
            unscored: BTreeMap::new(),
            ended: false,
        }
    }

    /// All of it but its results.
    pub(crate) fn without_results(&self) -> Self {
        Self {
            submission: Arc::clone(&self.submission),
            results: Vec::new(),
            listed: self.listed.clone(),
            partial_texts: self.partial_texts.clone(),
            unscored: self.unscored.clone(),
            ended: self.ended,
        }
    }

    /// Lists a result, unless its item is listed already or does not exist.
    pub(crate) fn list(&mut self, result: ListedResult) -> bool {
        let index = result.index as usize;
        let Some(item) = self.submission.items.get(index) else {
            return false;
        };
        if std::mem::replace(&mut self.listed[index], true) {
            return false;
        }
        self.partial_texts.remove(&result.index);
        self.unscored.remove(&result.index);
        self.results.push(Arc::new(ResultRecord {
            id: item.id.clone(),
            state: result.state,
            text: result.text,
            versions: result.versions,
            score: result.score,
        }));
        true
    }

    /// Keeps the whole text of an item until it has a score; the first one counts.
    pub(crate) fn keep_unscored(&mut self, index: u32, made_by: AssignmentId, text: FinishedText) {
        if self.ended || self.is_listed(index) || self.unscored.contains_key(&index) {
            return;
        }
        self.partial_texts.remove(&index);
        let unscored = UnscoredText {
            made_by,
            text,
            failures: 0,
        };
        self.unscored.insert(index, unscored);
    }

    /// Lists an item with its score, if its text is the one that was scored.
    pub(crate) fn list_scored(&mut self, index: u32, made_by: AssignmentId, score: String) -> bool {
        let is_scored_text = |unscored: &UnscoredText| unscored.made_by == made_by;
        if !self.unscored.get(&index).is_some_and(is_scored_text) {
            return false;
        }
        let Some(unscored) = self.unscored.remove(&index) else {
            return false;
        };
        self.list(ListedResult {
            index,
            state: ItemState::Succeeded,
            text: unscored.text.text,
            versions: unscored.text.versions,
            score: Some(score),
        })
    }

    /// Scoring servers have failed for an item, `failures` times.
    pub(crate) fn count_scoring_failures(
        &mut self,
        index: u32,
        made_by: AssignmentId,
        failures: u32,
    ) {
        if let Some(unscored) = self.unscored.get_mut(&index)
            && unscored.made_by == made_by
        {
            unscored.failures = unscored.failures.saturating_add(failures);
        }
    }

    /// The whole text of an item that waits for its score.
    pub fn unscored(&self, index: u32) -> Option<&UnscoredText> {
        self.unscored.get(&index)
    }

    /// All items whose texts wait for their scores.
    pub(crate) fn unscored_items(&self) -> impl Iterator<Item = (u32, &UnscoredText)> {
        self.unscored.iter().map(|(index, text)| (*index, text))
    }

    /// Adds events to an item's partial text, if they follow those that it has; others are dropped.
    pub(crate) fn append_partial_text(&mut self, index: u32, after_events: u64, text: ItemText) {
        if self.is_listed(index) || self.ended || self.unscored.contains_key(&index) {
            return;
        }
        let partial_text = self.partial_texts.entry(index).or_default();
        if partial_text.events == after_events {
            partial_text.extend(text);
        }
    }

    /// The partial text of an item that is not listed.
    pub fn partial_text(&self, index: u32) -> Option<&ItemText> {
        self.partial_texts.get(&index)
    }

    /// The caller has ended the job: nothing more of it is run, so that the contents of its items are
    /// not needed any more.
    pub(crate) fn end(&mut self) {
        self.ended = true;
        self.partial_texts.clear();
        self.unscored.clear();
        self.submission = Arc::new(self.submission.without_item_contents());
    }

    /// Results from a position on, as many as fit into `max_bytes`, at least one if there is one.
    pub fn page(&self, from: u64, max_bytes: usize) -> JobPage {
        let start = usize::try_from(from).unwrap_or(usize::MAX);
        let mut bytes = 0;
        let results = self
            .results
            .iter()
            .skip(start)
            .take_while(|result| {
                let size = result.text.length() + RESULT_OVERHEAD_BYTES;
                let fits = bytes == 0 || bytes + size <= max_bytes;
                bytes += size;
                fits
            })
            .cloned()
            .collect();
        JobPage {
            total: self.submission.items.len() as u64,
            from,
            results,
        }
    }

    /// As [`Job::page`]; `None` without any result from that position on.
    pub fn page_if_any(&self, from: u64, max_bytes: usize) -> Option<JobPage> {
        let has_some = self.results.len() as u64 > from;
        has_some.then(|| self.page(from, max_bytes))
    }

    /// Bytes that the texts of its results take in memory.
    pub fn text_bytes(&self) -> usize {
        let texts = self.results.iter().map(|result| &result.text);
        texts.map(ResultText::bytes_in_memory).sum()
    }

    /// Whether the item at `index` is listed.
    pub fn is_listed(&self, index: u32) -> bool {
        self.listed.get(index as usize).copied().unwrap_or(true)
    }

    /// Places of the items that are not listed.
    pub fn open_items(&self) -> impl Iterator<Item = u32> + '_ {
        (0_u32..)
            .zip(&self.listed)
            .filter(|(_, listed)| !**listed)
            .map(|(index, _)| index)
    }

    /// The item with this identifier and its place.
    pub(crate) fn find_item(&self, id: &ItemId) -> Option<(u32, &JobItem)> {
        (0_u32..)
            .zip(&self.submission.items)
            .find(|(_, item)| item.id == *id)
    }
}

//! Batch jobs: what was submitted, and the results listed so far.

use crate::ids::{ItemId, JobId, ModelName};
use crate::text::{ItemText, ResultText};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;
use wingshore_types::protocol::byte_vector;

/// A batch job as a caller submits it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSubmission {
    /// Chosen by the caller; the same job may be submitted again.
    pub id: JobId,
    /// The host that the caller named; its items are routed by it.
    pub host: String,
    /// Step of the trainer.
    pub step: u64,
    /// The model that makes the tokens; `None` where the items say it.
    pub model: Option<ModelName>,
    /// The oldest version that may make them.
    pub min_version: u64,
    /// Groups that the trainer waits for.
    pub desired: u32,
    /// What is to be run.
    pub items: Vec<JobItem>,
}

impl JobSubmission {
    /// The same job with items that are only names.
    fn without_contents(&self) -> Self {
        let name_of = |item: &JobItem| JobItem {
            id: item.id.clone(),
            path: String::new(),
            headers: Vec::new(),
            body: Vec::new(),
            tokens: item.tokens,
            expected_output: item.expected_output,
            group: String::new(),
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
    /// Tokens of its prompt and the most it puts out, together.
    pub tokens: u64,
    /// The caller's estimate of the tokens that it puts out; often far off.
    pub expected_output: Option<u64>,
    /// Items of one group share their prompt and count only together.
    pub group: String,
}

/// How an item ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemState {
    /// Its text is whole.
    Succeeded,
    /// It was given up.
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
    /// The first events of items that are not listed.
    kept: BTreeMap<u32, ItemText>,
    /// Whether the caller has ended it.
    pub ended: bool,
}

impl Job {
    /// A job without results.
    pub fn new(submission: Arc<JobSubmission>) -> Self {
        let listed = vec![false; submission.items.len()];
        Self {
            submission,
            results: Vec::new(),
            listed,
            kept: BTreeMap::new(),
            ended: false,
        }
    }

    /// Lists a result, unless its item is listed already or does not exist.
    pub fn list(&mut self, result: ListedResult) -> bool {
        let index = result.index as usize;
        let Some(item) = self.submission.items.get(index) else {
            return false;
        };
        if std::mem::replace(&mut self.listed[index], true) {
            return false;
        }
        self.kept.remove(&result.index);
        self.results.push(Arc::new(ResultRecord {
            id: item.id.clone(),
            state: result.state,
            text: result.text,
            versions: result.versions,
        }));
        true
    }

    /// Keeps events of an item that follow those kept before; others are dropped.
    pub fn keep(&mut self, index: u32, after_events: u64, text: ItemText) {
        if self.is_listed(index) || self.ended {
            return;
        }
        let kept = self.kept.entry(index).or_default();
        if kept.events == after_events {
            kept.extend(text);
        }
    }

    /// The first events of an item that is not listed.
    pub fn kept(&self, index: u32) -> Option<&ItemText> {
        self.kept.get(&index)
    }

    /// The caller has ended the job: nothing more of it is run, so that what its items were is not
    /// needed any more.
    pub fn end(&mut self) {
        self.ended = true;
        self.kept.clear();
        self.submission = Arc::new(self.submission.without_contents());
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
    pub fn find_item(&self, id: &ItemId) -> Option<(u32, &JobItem)> {
        (0_u32..)
            .zip(&self.submission.items)
            .find(|(_, item)| item.id == *id)
    }
}

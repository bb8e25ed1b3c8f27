//! Batch jobs: submissions, and the results listed so far.
//!
//! A [`Job`] is part of the replicated state and decides what counts: the first result of an item
//! is listed, the first complete text is scored, and a partial text is only appended to. The leader
//! decides which item runs where.

use crate::ids::{AssignmentId, ItemId, JobId, ModelName};
use crate::scoring::{Scorer, UnscoredText};
use crate::text::{FinishedText, ItemText, ResultText};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::fmt::{self, Display, Formatter};
use std::sync::Arc;
use wingshore_types::protocol::byte_vector;

/// Estimated memory of an item besides its headers, path and bodies, in bytes; derived from the
/// sizes of its fields.
const ITEM_OVERHEAD_BYTES: usize = 250;
/// Estimated memory of a result besides its text, in bytes; derived from the sizes of its fields.
const RESULT_OVERHEAD_BYTES: usize = 160;

/// A batch job as submitted by a caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSubmission {
    /// Identifier of the job, chosen by the caller; the same job may be submitted again.
    pub id: JobId,
    /// Host that the caller named; the items are routed by it.
    pub host: String,
    /// Training step of the trainer.
    pub step: u64,
    /// Model that generates the tokens; `None` if each item names its own.
    pub model: Option<ModelName>,
    /// Oldest weight version that may generate the tokens.
    pub min_version: u64,
    /// Number of groups that the trainer waits for.
    pub desired: u32,
    /// Items to run.
    pub items: Vec<JobItem>,
}

impl JobSubmission {
    /// Returns the estimated memory of the items, in bytes.
    pub fn bytes(&self) -> usize {
        let bytes_of = |item: &JobItem| {
            let headers = item.headers.iter();
            let headers: usize = headers.map(|(name, value)| name.len() + value.len()).sum();
            let scorer = item.scorer.as_ref().map_or(0, |scorer| scorer.body.len());
            ITEM_OVERHEAD_BYTES + headers + item.path.len() + item.body.len() + scorer
        };
        self.items.iter().map(bytes_of).sum()
    }

    /// Returns an identifier that several items have, with the positions of the first two of them.
    pub fn repeated_item(&self) -> Option<RepeatedItem<'_>> {
        let mut positions = HashMap::with_capacity(self.items.len());
        let mut items = self.items.iter().enumerate();
        items.find_map(|(second, item)| {
            let first = positions.insert(&item.id, second)?;
            Some(RepeatedItem {
                id: &item.id,
                first,
                second,
            })
        })
    }

    /// Returns a copy whose items keep their identifiers but not their requests.
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

/// An identifier that several items of a submission have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RepeatedItem<'a> {
    /// The identifier.
    pub id: &'a ItemId,
    /// Index of the first item with it.
    pub first: usize,
    /// Index of the second item with it.
    pub second: usize,
}

impl Display for RepeatedItem<'_> {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "item `{}` stands at positions {} and {}; allowed is each id once in a batch job",
            self.id, self.first, self.second
        )
    }
}

/// One item of a batch job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobItem {
    /// Identifier of the item, unique within the job.
    pub id: ItemId,
    /// Path of the request.
    pub path: String,
    /// Headers of the request, in the order of the submission.
    pub headers: Vec<(String, String)>,
    /// Body of the request.
    #[serde(with = "byte_vector")]
    pub body: Vec<u8>,
    /// Tokens of the prompt plus the maximum number of generated tokens.
    pub tokens: u64,
    /// The caller's estimate of the number of generated tokens; often far off.
    pub expected_output: Option<u64>,
    /// Group of the item; the items of a group share their prompt and count only together.
    pub group: String,
    /// Scoring request for the text; `None` if the text is not scored. Boxed because most items
    /// have none.
    pub scorer: Option<Box<Scorer>>,
}

/// Why a read of an item's body is not answered with a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoBody {
    /// There is no such job, or it is forgotten.
    UnknownJob,
    /// The job has ended: the contents of its items are dropped.
    JobEnded,
    /// The job has no such item.
    UnknownItem,
    /// The item has a listed result.
    Listed,
}

impl NoBody {
    /// All reasons.
    pub const ALL: [Self; 4] = [
        Self::UnknownJob,
        Self::JobEnded,
        Self::UnknownItem,
        Self::Listed,
    ];

    /// Returns the reason as a name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::UnknownJob => "unknown_job",
            Self::JobEnded => "job_ended",
            Self::UnknownItem => "unknown_item",
            Self::Listed => "listed",
        }
    }
}

/// Final state of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemState {
    /// The text is complete.
    Succeeded,
    /// The item was abandoned.
    Abandoned,
}

/// A result of an item that is to be listed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedResult {
    /// Index of the item in the submission.
    pub index: u32,
    /// Final state of the item.
    pub state: ItemState,
    /// Data of all events, separated by line feeds.
    pub text: ResultText,
    /// Weight versions that generated the events, in the order of their first event.
    pub versions: Vec<u64>,
    /// Score; `None` without a scorer.
    pub score: Option<String>,
}

/// A listed result; its position in the job never changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultRecord {
    /// Identifier of the item.
    pub id: ItemId,
    /// Final state of the item.
    pub state: ItemState,
    /// Data of all events, separated by line feeds.
    pub text: ResultText,
    /// Weight versions that generated the events.
    pub versions: Vec<u64>,
    /// Score; `None` without a scorer.
    pub score: Option<String>,
}

/// A page of a job's results, starting at a position.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobPage {
    /// Number of items of the job.
    pub total: u64,
    /// Position of the first result of this page.
    pub from: u64,
    /// Results in the order of their listing.
    pub results: Vec<Arc<ResultRecord>>,
}

/// An accepted batch job.
///
/// Invariants: each item is listed at most once, and a listed result is never changed or moved. The
/// contents of the items are accessible only while the job is open: its end drops them, and what is
/// left of an item is not the request that the caller sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// The submission; without the contents of its items once the job has ended.
    submission: Arc<JobSubmission>,
    /// Results in the order of their listing.
    pub results: Vec<Arc<ResultRecord>>,
    /// For each item, whether its result is listed.
    listed: Vec<bool>,
    /// Partial texts of items that are not listed, by item index.
    partial_texts: BTreeMap<u32, ItemText>,
    /// Complete texts of unlisted items that wait for their scores, by item index.
    unscored: BTreeMap<u32, UnscoredText>,
    /// Whether the caller has ended the job.
    pub ended: bool,
}

impl Job {
    /// Creates a job without results.
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

    /// Returns the identifier of the job.
    pub fn id(&self) -> &JobId {
        &self.submission.id
    }

    /// Returns the model that generates the tokens; `None` if each item names its own.
    pub fn model(&self) -> Option<&ModelName> {
        self.submission.model.as_ref()
    }

    /// Returns the oldest weight version that may generate the tokens.
    pub fn min_version(&self) -> u64 {
        self.submission.min_version
    }

    /// Returns the number of items.
    pub fn item_count(&self) -> usize {
        self.submission.items.len()
    }

    /// Returns the identifier of the item at `index`.
    pub fn item_id(&self, index: u32) -> Option<&ItemId> {
        let item = self.submission.items.get(index as usize);
        item.map(|item| &item.id)
    }

    /// Returns the submission with the contents of all items; `None` once the job has ended.
    pub fn open_contents(&self) -> Option<&JobSubmission> {
        (!self.ended).then_some(&*self.submission)
    }

    /// Returns the contents of the item at `index`; `None` once the job has ended.
    pub fn item_contents(&self, index: u32) -> Option<&JobItem> {
        self.open_contents()?.items.get(index as usize)
    }

    /// Returns a copy without the results.
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

    /// Lists a result and returns true, unless the item is already listed or does not exist.
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

    /// Stores the complete text of an item until it has a score; the first text of an item counts.
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

    /// Lists an item with its score and returns true, if the scored text is the stored one.
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

    /// Adds `failures` failed scoring requests to the count of an item.
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

    /// Returns the complete text of an item that waits for its score.
    pub fn unscored(&self, index: u32) -> Option<&UnscoredText> {
        self.unscored.get(&index)
    }

    /// Returns all items whose texts wait for their scores.
    pub(crate) fn unscored_items(&self) -> impl Iterator<Item = (u32, &UnscoredText)> {
        self.unscored.iter().map(|(index, text)| (*index, text))
    }

    /// Appends events to an item's partial text if they directly follow the stored ones; drops them
    /// otherwise.
    pub(crate) fn append_partial_text(&mut self, index: u32, after_events: u64, text: ItemText) {
        if self.is_listed(index) || self.ended || self.unscored.contains_key(&index) {
            return;
        }
        let partial_text = self.partial_texts.entry(index).or_default();
        if partial_text.events == after_events {
            partial_text.extend(text);
        }
    }

    /// Returns the partial text of an item that is not listed.
    pub fn partial_text(&self, index: u32) -> Option<&ItemText> {
        self.partial_texts.get(&index)
    }

    /// Ends the job on behalf of the caller: nothing more of it is run, so the contents of its
    /// items are dropped.
    pub(crate) fn end(&mut self) {
        self.ended = true;
        self.partial_texts.clear();
        self.unscored.clear();
        self.submission = Arc::new(self.submission.without_item_contents());
    }

    /// Returns results starting at a position: as many as fit into `max_bytes`, but at least one if
    /// there is one.
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

    /// As [`Job::page`]; `None` if there is no result at or after that position.
    pub fn non_empty_page(&self, from: u64, max_bytes: usize) -> Option<JobPage> {
        let has_some = self.results.len() as u64 > from;
        has_some.then(|| self.page(from, max_bytes))
    }

    /// Returns the memory of the result texts, in bytes.
    pub fn text_bytes(&self) -> usize {
        let texts = self.results.iter().map(|result| &result.text);
        texts.map(ResultText::bytes_in_memory).sum()
    }

    /// Returns whether the item at `index` is listed.
    pub fn is_listed(&self, index: u32) -> bool {
        self.listed.get(index as usize).copied().unwrap_or(true)
    }

    /// Returns the indexes of the items that are not listed.
    pub fn open_items(&self) -> impl Iterator<Item = u32> + '_ {
        (0_u32..)
            .zip(&self.listed)
            .filter(|(_, listed)| !**listed)
            .map(|(index, _)| index)
    }

    /// Returns the body of an item that has no listed result yet and whose job is open.
    ///
    /// # Errors
    /// Returns why there is no body.
    pub fn item_body(&self, id: &ItemId) -> Result<&[u8], NoBody> {
        let contents = self.open_contents().ok_or(NoBody::JobEnded)?;
        let mut items = (0_u32..).zip(&contents.items);
        let (index, item) = items
            .find(|(_, item)| item.id == *id)
            .ok_or(NoBody::UnknownItem)?;
        if self.is_listed(index) {
            return Err(NoBody::Listed);
        }
        Ok(&item.body)
    }
}

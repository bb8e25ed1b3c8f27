//! Which parts of the view are sent to which gateways. A decision without I/O.
//!
//! Question: is a gateway sent changes, the whole view, or nothing for now? Inputs: this member's
//! copy of the state and the last entry applied to it; the log entry up to which each gateway knows
//! the view; the bytes that wait on its link. Rule: a gateway that knows the view as of some entry
//! is sent the changes after it; one that knows nothing, or lacks more changes than are remembered,
//! is sent the whole view. A gateway whose link is full is sent nothing until the link has drained,
//! then what is new at that time. At most [`MAX_WHOLE_VIEWS_IN_FLIGHT`] whole views are in flight.
//! An encoded whole view is reused together with the changes after it while those are few.
//!
//! Why: a change of leader costs nothing here, and after a restart of a whole site all members send
//! the view at once. A copy that lags sends what it has: gateways leave a member that lags by 0.7 s
//! for another.

use bytes::Bytes;
use std::collections::{BTreeMap, BTreeSet};
use wingshore_coordination::{
    CoordinationState, CoordinatorMessage, KnownChanges, ViewContent, ViewUpdate,
};
use wingshore_net::frame;
use wingshore_types::LogIndex;

/// Bytes waiting for a gateway beyond which it is sent nothing new; changes meanwhile are sent
/// once, in their latest state. Sending them takes 35 ms on a link of 60 Mbit/s.
pub(crate) const MAX_QUEUED_BYTES: usize = 256 * 1024;
/// Gateways that are sent the whole view at a time. The others wait: the first ones then have it
/// after a few ms, whereas all would have it only after seconds if they shared the link.
const MAX_WHOLE_VIEWS_IN_FLIGHT: usize = 16;
/// Divisor of the number of servers that gives how many changes may be sent together with an
/// encoded view before it is encoded again. Encoding 10,000 servers takes milliseconds, and while
/// the servers of a site register, each gateway would need a view of another state.
const REENCODE_DIVISOR: usize = 8;

/// Links to the gateways.
pub trait FeedLinks<K> {
    /// Returns how many bytes wait for a gateway.
    fn queued(&self, link: K) -> usize;
    /// Queues a frame.
    fn send(&mut self, link: K, frame: &Bytes);
}

/// Copy of the state from which the view is sent.
#[derive(Clone, Copy)]
pub struct FeedSource<'a> {
    /// The state.
    pub state: &'a CoordinationState,
    /// Last entry that was applied to it.
    pub applied: LogIndex,
}

/// Gateways that follow the view at this member, by their links.
///
/// Invariant: `known` of a link is the entry up to which its gateway knows the view once it has
/// read all queued frames.
pub struct ViewFeed<K> {
    known: BTreeMap<K, Option<LogIndex>>,
    /// Links that may lack changes.
    behind: BTreeSet<K>,
    /// Links on which a whole view is in flight.
    whole_in_flight: BTreeSet<K>,
    /// Known changes of the state at the last call.
    last_changes: KnownChanges,
    /// Last encoded whole view.
    whole: Option<EncodedView>,
}

/// Encoded whole view, and the entry up to which it is current.
struct EncodedView {
    revision: LogIndex,
    frame: Bytes,
}

impl<K> Default for ViewFeed<K> {
    fn default() -> Self {
        Self {
            known: BTreeMap::new(),
            behind: BTreeSet::new(),
            whole_in_flight: BTreeSet::new(),
            last_changes: KnownChanges::default(),
            whole: None,
        }
    }
}

impl<K: Copy + Ord> ViewFeed<K> {
    /// Adds a gateway, which knows the view up to entry `since`.
    pub fn follow(&mut self, link: K, since: Option<LogIndex>) {
        self.known.insert(link, since);
        self.behind.insert(link);
    }

    /// Removes a gateway.
    pub fn leave(&mut self, link: K) {
        self.known.remove(&link);
        self.behind.remove(&link);
        self.whole_in_flight.remove(&link);
    }

    /// Returns the number of gateways.
    pub fn followers(&self) -> usize {
        self.known.len()
    }

    /// Sends each gateway the changes that it lacks.
    ///
    /// # Errors
    /// When the codec cannot encode them.
    pub fn send_changes(
        &mut self,
        source: FeedSource<'_>,
        links: &mut impl FeedLinks<K>,
    ) -> Result<(), postcard::Error> {
        let changes = source.state.known_view_changes();
        if changes != self.last_changes {
            self.last_changes = changes;
            self.behind.extend(self.known.keys());
        }
        if self.behind.is_empty() {
            return Ok(());
        }
        self.whole_in_flight.retain(|link| links.queued(*link) > 0);
        let mut frames = ChangeFrames::new(source);
        for link in std::mem::take(&mut self.behind) {
            if !self.send_to(link, &mut frames, links)? {
                self.behind.insert(link);
            }
        }
        Ok(())
    }

    /// Sends the gateways that lack no change the last entry that was applied to this copy.
    ///
    /// # Errors
    /// When the codec cannot encode it.
    pub fn send_revision(
        &mut self,
        source: FeedSource<'_>,
        links: &mut impl FeedLinks<K>,
    ) -> Result<(), postcard::Error> {
        let mut frames = ChangeFrames::new(source);
        for (link, known) in &mut self.known {
            let Some(since) = known.filter(|since| *since < source.applied) else {
                continue;
            };
            if self.behind.contains(link) {
                continue;
            }
            if let Some(frame) = frames.since(since)? {
                links.send(*link, &frame);
                *known = Some(source.applied);
            }
        }
        Ok(())
    }

    /// Sends one gateway what it lacks. Returns whether that was everything.
    fn send_to(
        &mut self,
        link: K,
        frames: &mut ChangeFrames<'_>,
        links: &mut impl FeedLinks<K>,
    ) -> Result<bool, postcard::Error> {
        if links.queued(link) > MAX_QUEUED_BYTES {
            return Ok(false);
        }
        let known = self.known.get(&link).copied().flatten();
        if let Some(since) = known
            && let Some(frame) = frames.since(since)?
        {
            links.send(link, &frame);
            self.known.insert(link, Some(frames.source.applied));
            return Ok(true);
        }
        if self.whole_in_flight.len() >= MAX_WHOLE_VIEWS_IN_FLIGHT {
            return Ok(false);
        }
        let whole = self.whole(frames.source)?;
        links.send(link, &whole.frame);
        let revision = whole.revision;
        self.whole_in_flight.insert(link);
        if revision < frames.source.applied
            && let Some(frame) = frames.since(revision)?
        {
            links.send(link, &frame);
        }
        self.known.insert(link, Some(frames.source.applied));
        Ok(true)
    }

    /// Returns the encoded whole view, which is encoded again only if too much has changed.
    fn whole(&mut self, source: FeedSource<'_>) -> Result<&EncodedView, postcard::Error> {
        let max_changes = source.state.servers().len() / REENCODE_DIVISOR;
        let is_recent = |whole: &EncodedView| {
            let changed = source.state.view_change_count(whole.revision);
            changed.is_some_and(|changed| changed <= max_changes)
        };
        let encoded = match self.whole.take().filter(is_recent) {
            Some(encoded) => encoded,
            None => EncodedView {
                revision: source.applied,
                frame: encode(source.applied, ViewContent::Whole(source.state.view()))?,
            },
        };
        Ok(self.whole.insert(encoded))
    }
}

/// Frames with changes, each encoded once for all gateways that lack the same ones.
struct ChangeFrames<'a> {
    source: FeedSource<'a>,
    by_since: BTreeMap<LogIndex, Option<Bytes>>,
}

impl<'a> ChangeFrames<'a> {
    fn new(source: FeedSource<'a>) -> Self {
        Self {
            source,
            by_since: BTreeMap::new(),
        }
    }

    /// Returns the frame with the changes after `since`, or `None` where these are no longer known.
    fn since(&mut self, since: LogIndex) -> Result<Option<Bytes>, postcard::Error> {
        if let Some(known) = self.by_since.get(&since) {
            return Ok(known.clone());
        }
        let FeedSource { state, applied } = self.source;
        // A copy that was just restored knows no changes, but there are none after its last entry.
        let changes = match state.view_changes(since) {
            Some(changes) => Some(changes),
            None => (since >= applied).then(Vec::new),
        };
        let content = changes.map(|changes| ViewContent::Changes { since, changes });
        let frame = content
            .map(|content| encode(applied, content))
            .transpose()?;
        self.by_since.insert(since, frame.clone());
        Ok(frame)
    }
}

fn encode(revision: LogIndex, content: ViewContent) -> Result<Bytes, postcard::Error> {
    let update = ViewUpdate { revision, content };
    Ok(frame::encode(&CoordinatorMessage::View(update))?.into())
}

//! Which gateways are sent which part of the view. A decision without I/O.
//!
//! Question: what is a gateway sent now: changes, the whole view, or nothing yet? Inputs: this
//! member's copy of the state and the last entry applied to it; up to which entry of the log each
//! gateway accounts for; the bytes that wait on its link. Rule: a gateway that knows the view as of
//! some entry is sent what has changed behind it; one that knows nothing, or has missed more than
//! is remembered, is sent the whole. One whose link is full is sent nothing until it has drained,
//! then what is new at that time; at most [`MAX_WHOLE_VIEWS_UNDER_WAY`] whole views are on their
//! way. An encoded whole view is used again together with the changes behind it while those are
//! few.
//!
//! Why: a change of leader costs nothing here, and after a restart of a whole site all members send
//! the view at once. A copy that lags sends what it has: gateways leave a member that lags 0.7 s
//! for another.

use bytes::Bytes;
use std::collections::{BTreeMap, BTreeSet};
use wingshore_coordination::{
    CoordinationState, CoordinatorMessage, KnownChanges, ViewContent, ViewUpdate,
};
use wingshore_net::frame;
use wingshore_types::LogIndex;

/// A gateway is sent nothing new while more bytes than this wait for it: what changes meanwhile is
/// sent once, as it is then. It is 35 ms on a link of 60 Mbit/s.
const MAX_QUEUED_BYTES: usize = 256 * 1024;
/// Gateways that are sent the whole view at a time. The others wait: the first ones then have it after a
/// few ms, where all would have it after seconds if they shared the link.
const MAX_WHOLE_VIEWS_UNDER_WAY: usize = 16;
/// An encoded view is sent together with what has changed since, as long as that is no more than
/// one part in so many of its servers: encoding 10,000 servers takes milliseconds, and while a
/// site's servers register, each gateway would ask for another state of them.
const REENCODED_FROM: usize = 8;

/// Where the bytes go.
pub trait FeedLinks<K> {
    /// Bytes that wait for a gateway.
    fn queued(&self, link: K) -> usize;
    /// Queues a frame.
    fn send(&mut self, link: K, frame: &Bytes);
}

/// The copy of the state that is sent.
#[derive(Clone, Copy)]
pub struct FeedSource<'a> {
    /// The state.
    pub state: &'a CoordinationState,
    /// The last entry that is applied to it.
    pub applied: LogIndex,
}

/// The gateways that follow the view here, by their links.
///
/// Invariant: `known` of a link is an entry that its gateway accounts for once it has read all that
/// was queued for it.
pub struct ViewFeed<K> {
    known: BTreeMap<K, Option<LogIndex>>,
    /// Links that may lack something.
    behind: BTreeSet<K>,
    /// Links on which a whole view is under way.
    whole_under_way: BTreeSet<K>,
    /// The changes as of the last call.
    seen: KnownChanges,
    whole: Option<EncodedWhole>,
}

struct EncodedWhole {
    revision: LogIndex,
    frame: Bytes,
}

impl<K> Default for ViewFeed<K> {
    fn default() -> Self {
        Self {
            known: BTreeMap::new(),
            behind: BTreeSet::new(),
            whole_under_way: BTreeSet::new(),
            seen: KnownChanges::default(),
            whole: None,
        }
    }
}

impl<K: Copy + Ord> ViewFeed<K> {
    /// A gateway follows the view here; it accounts for all entries up to `since`.
    pub fn follow(&mut self, link: K, since: Option<LogIndex>) {
        self.known.insert(link, since);
        self.behind.insert(link);
    }

    /// A gateway does not follow the view here any more.
    pub fn leave(&mut self, link: K) {
        self.known.remove(&link);
        self.behind.remove(&link);
        self.whole_under_way.remove(&link);
    }

    /// How many gateways follow.
    pub fn followers(&self) -> usize {
        self.known.len()
    }

    /// Sends each gateway what is new.
    ///
    /// # Errors
    /// When the codec cannot encode it.
    pub fn send_changes(
        &mut self,
        source: FeedSource<'_>,
        links: &mut impl FeedLinks<K>,
    ) -> Result<(), postcard::Error> {
        let changes = source.state.known_view_changes();
        if changes != self.seen {
            self.seen = changes;
            self.behind.extend(self.known.keys());
        }
        if self.behind.is_empty() {
            return Ok(());
        }
        self.whole_under_way.retain(|link| links.queued(*link) > 0);
        let mut frames = ChangeFrames::new(source);
        for link in std::mem::take(&mut self.behind) {
            if !self.send_to(link, &mut frames, links)? {
                self.behind.insert(link);
            }
        }
        Ok(())
    }

    /// Sends gateways that lack nothing the entry that this copy has reached.
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

    /// Sends one gateway what it lacks; says whether that was all.
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
        if self.whole_under_way.len() >= MAX_WHOLE_VIEWS_UNDER_WAY {
            return Ok(false);
        }
        let whole = self.whole(frames.source)?;
        links.send(link, &whole.frame);
        let revision = whole.revision;
        self.whole_under_way.insert(link);
        if revision < frames.source.applied
            && let Some(frame) = frames.since(revision)?
        {
            links.send(link, &frame);
        }
        self.known.insert(link, Some(frames.source.applied));
        Ok(true)
    }

    /// The whole view, encoded now or a short while ago.
    fn whole(&mut self, source: FeedSource<'_>) -> Result<&EncodedWhole, postcard::Error> {
        let most = source.state.servers().len() / REENCODED_FROM;
        let is_recent = |whole: &EncodedWhole| {
            let changed = source.state.view_change_count(whole.revision);
            changed.is_some_and(|changed| changed <= most)
        };
        let encoded = match self.whole.take().filter(is_recent) {
            Some(encoded) => encoded,
            None => EncodedWhole {
                revision: source.applied,
                frame: encode(source.applied, ViewContent::Whole(source.state.view()))?,
            },
        };
        Ok(self.whole.insert(encoded))
    }
}

/// Frames of changes, each encoded once for all that lack the same.
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

    /// What has changed behind `since`; `None` where that is not known any more.
    fn since(&mut self, since: LogIndex) -> Result<Option<Bytes>, postcard::Error> {
        if let Some(known) = self.by_since.get(&since) {
            return Ok(known.clone());
        }
        let FeedSource { state, applied } = self.source;
        // A copy that was just restored knows no changes, but none can be behind its last entry.
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

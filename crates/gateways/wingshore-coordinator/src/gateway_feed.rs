//! What the gateways that follow the list of ready gateways are sent. A decision without I/O.
//!
//! Question: is a follower sent a change of the list, the whole list, or nothing for now? Inputs:
//! the ready gateways that this coordinator hears, every 100 ms; gateways that announced their stop
//! or whose connection ended, at once; whether the group has a leader that this member hears; the
//! bytes that wait on each link. Rule: a new follower is sent the whole list, then each change; a
//! gateway that is gone at once, all other changes together, with the next of the periodic calls. A
//! follower whose link is full is sent nothing, and the whole list once the link has room. At most
//! [`MAX_ADDRESSES`] gateways of a zone are listed.
//!
//! Silence of a gateway removes it only after the coordinator has been in touch with the group for
//! [`SETTLING_TIME`], and before that no whole list is sent.
//!
//! Why: callers that are sent to a stopped gateway wait, whereas a new gateway can wait for callers.
//! A coordinator that is cut off, or has just started, hears few gateways although all are well; its
//! followers would crowd onto those few.
//!
//! Stale or missing inputs: without contact to the group, the list only loses gateways that are
//! known to have stopped.

use crate::view_feed::{FeedLinks, MAX_QUEUED_BYTES};
use bytes::Bytes;
use std::collections::BTreeMap;
use std::time::Duration;
use wingshore_coordination::{
    CoordinatorMessage, GatewayId, GatewayListUpdate, LOAD_REPORTS_FORMAT, ListedGateway,
    MAX_ADDRESSES,
};
use wingshore_net::frame;
use wingshore_types::Instant;

/// Time in contact with the group after which the gateways that this coordinator hears are all that
/// can be reached: a gateway gives up an attempt to connect after 0.7 s and begins the next one
/// within 0.45 s.
const SETTLING_TIME: Duration = Duration::from_millis(1500);

/// Whether this member of the group hears a leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupContact {
    /// A leader is heard, or is this member.
    Established,
    /// No leader is heard.
    Lost,
}

/// What a follower has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FollowerState {
    /// The current list, once it has read all queued frames.
    UpToDate,
    /// No list, or one that lacks changes.
    NeedsWhole,
}

/// Gateways that follow the list of ready gateways at this coordinator, by their links.
pub struct GatewayFeed<K> {
    followers: BTreeMap<K, FollowerState>,
    /// The list that up-to-date followers have.
    listed: BTreeMap<GatewayId, ListedGateway>,
    in_contact_since: Option<Instant>,
    /// Whether the list has been complete before.
    has_settled: bool,
}

impl<K> Default for GatewayFeed<K> {
    fn default() -> Self {
        Self {
            followers: BTreeMap::new(),
            listed: BTreeMap::new(),
            in_contact_since: None,
            has_settled: false,
        }
    }
}

impl<K: Copy + Ord> GatewayFeed<K> {
    /// Adds a follower whose link has this message format. Returns whether its format has lists.
    pub fn follow(&mut self, link: K, format: Option<u16>) -> bool {
        let has_lists = format.is_some_and(|format| format >= LOAD_REPORTS_FORMAT);
        if has_lists {
            self.followers.insert(link, FollowerState::NeedsWhole);
        }
        has_lists
    }

    /// Removes a follower.
    pub fn leave(&mut self, link: K) {
        self.followers.remove(&link);
    }

    /// Removes a gateway that is no longer ready, and tells the followers.
    ///
    /// # Errors
    /// When the codec cannot encode the change.
    pub fn gone(
        &mut self,
        gateway: GatewayId,
        links: &mut impl FeedLinks<K>,
    ) -> Result<(), postcard::Error> {
        if self.listed.remove(&gateway).is_none() {
            return Ok(());
        }
        let change = GatewayListUpdate::Changed {
            present: Vec::new(),
            gone: vec![gateway],
        };
        self.send_change(change, links)
    }

    /// Takes the gateways that are ready now, sends the followers what has changed, and sends the
    /// whole list to those that need it.
    ///
    /// # Errors
    /// When the codec cannot encode it.
    pub fn update(
        &mut self,
        now: Instant,
        contact: GroupContact,
        mut ready: BTreeMap<GatewayId, ListedGateway>,
        links: &mut impl FeedLinks<K>,
    ) -> Result<(), postcard::Error> {
        let is_complete = self.is_complete(now, contact);
        self.has_settled |= is_complete;
        if !is_complete {
            for (id, gateway) in &self.listed {
                ready.entry(*id).or_insert_with(|| gateway.clone());
            }
        }
        let next = limited_by_zone(ready);
        if let Some(change) = difference(&self.listed, &next) {
            self.listed = next;
            self.send_change(change, links)?;
        }
        self.send_whole_lists(links)
    }

    /// Returns whether all gateways that can be reached are connected by now.
    fn is_complete(&mut self, now: Instant, contact: GroupContact) -> bool {
        match contact {
            GroupContact::Lost => {
                self.in_contact_since = None;
                false
            }
            GroupContact::Established => {
                let since = *self.in_contact_since.get_or_insert(now);
                now.since(since) >= SETTLING_TIME
            }
        }
    }

    fn send_change(
        &mut self,
        change: GatewayListUpdate,
        links: &mut impl FeedLinks<K>,
    ) -> Result<(), postcard::Error> {
        let frame = encode(change)?;
        for (link, state) in &mut self.followers {
            if *state == FollowerState::NeedsWhole {
                continue;
            }
            if links.queued(*link) > MAX_QUEUED_BYTES {
                *state = FollowerState::NeedsWhole;
                continue;
            }
            links.send(*link, &frame);
        }
        Ok(())
    }

    fn send_whole_lists(&mut self, links: &mut impl FeedLinks<K>) -> Result<(), postcard::Error> {
        if !self.has_settled {
            return Ok(());
        }
        let mut whole: Option<Bytes> = None;
        for (link, state) in &mut self.followers {
            if *state == FollowerState::UpToDate || links.queued(*link) > MAX_QUEUED_BYTES {
                continue;
            }
            let frame = match whole.take() {
                Some(frame) => frame,
                None => {
                    let list = self.listed.values().cloned().collect();
                    encode(GatewayListUpdate::Whole(list))?
                }
            };
            links.send(*link, &frame);
            whole = Some(frame);
            *state = FollowerState::UpToDate;
        }
        Ok(())
    }
}

/// Returns the gateways without those beyond the limit of their zone.
fn limited_by_zone(
    gateways: BTreeMap<GatewayId, ListedGateway>,
) -> BTreeMap<GatewayId, ListedGateway> {
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    let is_within_limit = |(_, gateway): &(GatewayId, ListedGateway)| {
        let count = counts.entry(gateway.zone.clone()).or_default();
        *count += 1;
        *count <= MAX_ADDRESSES
    };
    gateways.into_iter().filter(is_within_limit).collect()
}

/// Returns the change from one list to another; `None` if they are equal.
fn difference(
    before: &BTreeMap<GatewayId, ListedGateway>,
    after: &BTreeMap<GatewayId, ListedGateway>,
) -> Option<GatewayListUpdate> {
    let is_new = |(id, gateway): &(&GatewayId, &ListedGateway)| before.get(id) != Some(gateway);
    let present: Vec<ListedGateway> = after
        .iter()
        .filter(is_new)
        .map(|(_, gateway)| gateway.clone())
        .collect();
    let is_gone = |id: &&GatewayId| !after.contains_key(id);
    let gone: Vec<GatewayId> = before.keys().filter(is_gone).copied().collect();
    let is_equal = present.is_empty() && gone.is_empty();
    (!is_equal).then_some(GatewayListUpdate::Changed { present, gone })
}

fn encode(update: GatewayListUpdate) -> Result<Bytes, postcard::Error> {
    Ok(frame::encode(&CoordinatorMessage::Gateways(update))?.into())
}

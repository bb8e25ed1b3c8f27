//! The relay's decisions: when and how to answer watches, and what to send upstream.

mod copy;
mod nodes;
mod watches;

use copy::ConfigurationCopy;
use nodes::{NodeTable, SendReason};
use std::time::Duration;
use watches::{OpenWatch, OpenWatches};
use wingshore_types::protocol::control::{ConfigurationUpdate, WatchRequest};
use wingshore_types::{Instant, Revision};

/// Identifies one watch of a node or downstream relay, within this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WatchTag(pub u64);

/// Time limits of a relay, and the number of changes it retains.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayTiming {
    /// Longest time that upstream may hold a watch open; also the longest time that an
    /// acknowledgement waits in the relay before it is forwarded.
    pub upstream_wait: Duration,
    /// Replaces `upstream_wait` while some node waits for its first lease.
    pub first_lease_wait: Duration,
    /// Delay of the next upstream watch after a new revision, so that it can include the nodes'
    /// acknowledgements of that revision.
    pub acknowledgement_window: Duration,
    /// Delay of the next upstream watch after a failed one.
    pub retry_delay: Duration,
    /// Longest time a watch of a node is held open.
    pub max_watch: Duration,
    /// Time without an answer from upstream after which nodes are redirected to other relays.
    pub upstream_timeout: Duration,
    /// Acknowledgements older than this are not forwarded, as the node may have ended.
    pub max_acknowledgement_age: Duration,
    /// Time after a node's last acknowledgement until the node is removed; longer than any lease.
    pub node_retention: Duration,
    /// Changes retained to answer with a delta; nodes that are further behind get a snapshot.
    pub retained_changes: usize,
}

impl Default for RelayTiming {
    fn default() -> Self {
        Self {
            upstream_wait: Duration::from_millis(500),
            first_lease_wait: Duration::from_millis(20),
            acknowledgement_window: Duration::from_millis(30),
            retry_delay: Duration::from_millis(100),
            max_watch: Duration::from_secs(1),
            upstream_timeout: Duration::from_millis(2500),
            max_acknowledgement_age: Duration::from_secs(2),
            node_retention: Duration::from_secs(60),
            retained_changes: 4096,
        }
    }
}

/// An input of a relay.
#[derive(Clone, Debug)]
pub enum RelayInput {
    /// A node or downstream relay sent a watch.
    Watch {
        /// Identifies the watch in the output that answers it.
        tag: WatchTag,
        /// The revision held and the acknowledgements.
        request: WatchRequest,
    },
    /// The connection of this watch was closed, so no answer is needed.
    WatchClosed(WatchTag),
    /// Upstream answered the last watch that was sent.
    UpstreamAnswered {
        /// Update of the configuration.
        update: ConfigurationUpdate,
        /// Duration of the lease, counted from when the watch was sent.
        lease: Duration,
    },
    /// The last watch that was sent upstream got no answer.
    UpstreamFailed,
    /// Time has passed; checks deadlines.
    Tick,
}

/// An action requested by a relay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RelayOutput {
    /// Answer a watch.
    Answer {
        /// Tag of the watch.
        tag: WatchTag,
        /// Update of the configuration.
        update: ConfigurationUpdate,
        /// Remaining lease. The watcher counts it from when it sent the watch.
        lease: Duration,
    },
    /// Redirect a watcher to another relay: this one has lost the control group, or has not reached
    /// it yet.
    Unavailable(WatchTag),
    /// Send this watch upstream; exactly one answer or failure follows.
    SendUpstream(WatchRequest),
}

/// Summary of a relay's state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RelaySummary {
    /// Revision of the configuration held.
    pub revision: Revision,
    /// Watches held open.
    pub open_watches: usize,
    /// Node processes with an acknowledgement within [`RelayTiming::node_retention`].
    pub nodes: usize,
    /// Whether upstream has answered within [`RelayTiming::upstream_timeout`].
    pub upstream_alive: bool,
}

/// State of the upstream watch; at most one is in flight.
#[derive(Clone, Copy, Debug)]
enum UpstreamWatch {
    /// No watch is in flight; the next one is due at `next`.
    Idle { next: Instant },
    /// A watch sent at `sent_at` is in flight.
    InFlight { sent_at: Instant },
}

/// The state machine of a relay, without I/O.
///
/// Every lease that a relay grants expires no later than the leader of the control group assumes: a
/// node is granted the remainder of an upstream lease only if the upstream watch included the
/// node's acknowledgement, and the lease counts from when that watch was sent.
#[derive(Debug)]
pub struct RelayState {
    timing: RelayTiming,
    copy: ConfigurationCopy,
    nodes: NodeTable,
    watches: OpenWatches,
    upstream: UpstreamWatch,
    last_answer: Instant,
}

impl RelayState {
    /// Creates a relay without a configuration.
    pub fn new(now: Instant, timing: RelayTiming) -> Self {
        Self {
            copy: ConfigurationCopy::new(timing.retained_changes),
            nodes: NodeTable::default(),
            watches: OpenWatches::default(),
            upstream: UpstreamWatch::Idle { next: now },
            last_answer: now,
            timing,
        }
    }

    /// Handles one input at `now` and appends the resulting actions to `out`.
    pub fn step(&mut self, now: Instant, input: RelayInput, out: &mut Vec<RelayOutput>) {
        match input {
            RelayInput::Watch { tag, request } => self.on_watch(now, tag, request, out),
            RelayInput::WatchClosed(tag) => {
                self.watches.remove(tag);
            }
            RelayInput::UpstreamAnswered { update, lease } => {
                self.on_upstream_answer(now, update, lease);
                self.answer(
                    now,
                    self.watches.matching(|watch| self.has_update(now, watch)),
                    out,
                );
            }
            RelayInput::UpstreamFailed => self.on_upstream_failure(now),
            RelayInput::Tick => self.nodes.remove_idle(now, self.timing.node_retention),
        }
        self.answer_expired(now, out);
        self.send_upstream(now, out);
    }

    /// Returns when the next [`RelayInput::Tick`] is due; `None` if only other inputs matter.
    pub fn next_tick(&self) -> Option<Instant> {
        let upstream_deadline = self.last_answer + self.timing.upstream_timeout;
        let first_deadline = self.watches.first_deadline();
        let first_answer = first_deadline.map(|deadline| deadline.min(upstream_deadline));
        let next_watch = match self.upstream {
            UpstreamWatch::Idle { next } => Some(next),
            UpstreamWatch::InFlight { .. } => None,
        };
        [next_watch, first_answer].into_iter().flatten().min()
    }

    /// Returns a summary of the state at `now`.
    pub fn summary(&self, now: Instant) -> RelaySummary {
        RelaySummary {
            revision: self.copy.revision(),
            open_watches: self.watches.len(),
            nodes: self.nodes.len(),
            upstream_alive: self.copy.has_received_update() && !self.is_upstream_timed_out(now),
        }
    }

    fn on_watch(
        &mut self,
        now: Instant,
        tag: WatchTag,
        request: WatchRequest,
        out: &mut Vec<RelayOutput>,
    ) {
        let wait = Duration::from_millis(request.wait_ms).min(self.timing.max_watch);
        let mut processes = Vec::with_capacity(request.acknowledgements.len());
        for acknowledgement in request.acknowledgements {
            processes.push(self.nodes.record_acknowledgement(now, acknowledgement));
        }
        let lacked_lease = self.nodes.lease_left(now, &processes).is_zero();
        let watch = OpenWatch {
            have: request.have,
            deadline: now + wait,
            lacked_lease: lacked_lease && !processes.is_empty(),
            processes,
        };
        let has_update = self.has_update(now, &watch);
        self.watches.insert(tag, watch);
        if has_update && !self.is_upstream_timed_out(now) {
            self.answer(now, vec![tag], out);
        }
    }

    fn on_upstream_answer(&mut self, now: Instant, update: ConfigurationUpdate, lease: Duration) {
        let UpstreamWatch::InFlight { sent_at } = self.upstream else {
            return;
        };
        let before = self.copy.revision();
        if !self.copy.apply(update) {
            // After an inconsistent update a snapshot is requested, and its lease is not granted.
            self.on_upstream_failure(now);
            return;
        }
        self.last_answer = now;
        self.nodes.grant_leases(sent_at + lease);
        let has_update = self.copy.revision() > before;
        let pause = if has_update {
            self.timing.acknowledgement_window
        } else {
            Duration::ZERO
        };
        self.upstream = UpstreamWatch::Idle { next: now + pause };
    }

    fn on_upstream_failure(&mut self, now: Instant) {
        self.nodes.requeue_in_flight();
        let next = now + self.timing.retry_delay;
        self.upstream = UpstreamWatch::Idle { next };
    }

    /// Answers watches whose deadline has passed; redirects all watches if upstream timed out.
    fn answer_expired(&mut self, now: Instant, out: &mut Vec<RelayOutput>) {
        if !self.is_upstream_timed_out(now) {
            self.answer(now, self.watches.expired(now), out);
            return;
        }
        for tag in self.watches.tags() {
            self.watches.remove(tag);
            out.push(RelayOutput::Unavailable(tag));
        }
    }

    fn answer(&mut self, now: Instant, tags: Vec<WatchTag>, out: &mut Vec<RelayOutput>) {
        for tag in tags {
            let Some(watch) = self.watches.remove(tag) else {
                continue;
            };
            if !self.copy.has_received_update() {
                // `Unchanged` would mean that the configuration is empty.
                out.push(RelayOutput::Unavailable(tag));
                continue;
            }
            out.push(RelayOutput::Answer {
                tag,
                update: self.copy.update_since(watch.have),
                lease: self.nodes.lease_left(now, &watch.processes),
            });
        }
    }

    /// Returns whether the watch can be answered with a newer revision or a first lease.
    fn has_update(&self, now: Instant, watch: &OpenWatch) -> bool {
        let has_later_revision = watch.have < self.copy.revision();
        let has_lease = || !self.nodes.lease_left(now, &watch.processes).is_zero();
        has_later_revision || (watch.lacked_lease && has_lease())
    }

    fn send_upstream(&mut self, now: Instant, out: &mut Vec<RelayOutput>) {
        match self.upstream {
            UpstreamWatch::Idle { next } if next <= now => {}
            _ => return,
        }
        let limit = self.timing.max_acknowledgement_age;
        let (acknowledgements, reason) = self.nodes.take_for_upstream(now, limit);
        let wait = match reason {
            SendReason::FirstLease => self.timing.first_lease_wait,
            SendReason::Renewal => self.timing.upstream_wait,
        };
        self.upstream = UpstreamWatch::InFlight { sent_at: now };
        out.push(RelayOutput::SendUpstream(WatchRequest {
            have: self.copy.request_revision(),
            acknowledgements,
            wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
        }));
    }

    fn is_upstream_timed_out(&self, now: Instant) -> bool {
        now.since(self.last_answer) >= self.timing.upstream_timeout
    }
}

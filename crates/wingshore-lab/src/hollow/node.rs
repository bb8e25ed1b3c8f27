//! A hollow node: the watch of the configuration as a node does it, without callers.

use super::link::{FrameLink, LinkTraffic};
use super::sizes::SITE;
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_request::{ConfigurationView, WithoutLease};
use wingshore_routing::{Router, RouterSettings};
use wingshore_transport::FrameError;
use wingshore_types::protocol::control::{
    ConfigurationUpdate, ControlReply, ControlRequest, NodeAcknowledgement, WatchRequest,
};
use wingshore_types::protocol::wire::{Frame, GroupReply, GroupRequest, Hello, WIRE_VERSION};
use wingshore_types::{GroupId, Instant, NodeId, RequestId, Revision, ZoneId};

/// Longest time a watch waits for news, as in a node.
const MAX_WATCH_WAIT: Duration = Duration::from_millis(1000);
/// A watch waits no longer than this part of the lease, as in a node.
const LEASE_DIVISOR: u32 = 3;
/// Time for one watch beyond what it asks the other side to wait, as in a node.
const CALL_MARGIN: Duration = Duration::from_millis(1500);
/// Pause after a failure, as in a node.
const FAILURE_PAUSE: Duration = Duration::from_millis(100);

/// A node's copy of the configuration.
pub enum NodeCopy {
    /// The real one: view and router, as in a node.
    Whole(Box<WholeCopy>),
    /// Only the revision; the same frames, without the memory that a machine of its own has.
    Counted(Revision),
}

/// View and router of a node.
pub struct WholeCopy {
    view: ConfigurationView,
    router: Router,
}

impl NodeCopy {
    /// A real copy that has received nothing.
    pub fn whole(zone: ZoneId, seed: u64) -> Self {
        Self::Whole(Box::new(WholeCopy {
            view: ConfigurationView::new(WithoutLease::Refuse),
            router: Router::new(RouterSettings::default(), zone, seed),
        }))
    }

    /// The revision in force.
    pub fn revision(&self) -> Revision {
        match self {
            Self::Whole(copy) => copy.view.revision(),
            Self::Counted(revision) => *revision,
        }
    }

    fn have(&self) -> Revision {
        match self {
            Self::Whole(copy) => copy.view.watch_position().have,
            Self::Counted(revision) => *revision,
        }
    }

    fn apply(
        &mut self,
        now: Instant,
        sent_at: Instant,
        update: ConfigurationUpdate,
        lease: Duration,
    ) {
        match self {
            Self::Whole(copy) => {
                let before = copy.view.revision();
                copy.view.apply(sent_at, update, lease);
                if copy.view.revision() > before {
                    copy.router.on_configuration(now, copy.view.configuration());
                }
            }
            Self::Counted(revision) => {
                let offered = match update {
                    ConfigurationUpdate::Unchanged => *revision,
                    ConfigurationUpdate::Delta { from, changes } => {
                        Revision(from.0 + changes.len() as u64)
                    }
                    ConfigurationUpdate::Snapshot(whole) => whole.revision,
                };
                *revision = offered.max(*revision);
            }
        }
    }
}

/// What a node is doing.
enum Stage {
    /// Connects at this time.
    Apart { until: Instant },
    /// Has said hello.
    Greeting { until: Instant },
    /// Has sent a watch.
    Watching { sent_at: Instant, until: Instant },
}

/// A hollow node.
pub struct HollowNode {
    id: NodeId,
    boot_id: u64,
    copy: NodeCopy,
    lease_until: Instant,
    targets: Vec<SocketAddr>,
    target: usize,
    hint: Option<SocketAddr>,
    link: Option<FrameLink>,
    stage: Stage,
    wait: Duration,
    next_request: u64,
}

impl HollowNode {
    /// A node that watches through `targets`, beginning with the one at `first`, from `at` on.
    pub fn new(
        id: NodeId,
        boot_id: u64,
        copy: NodeCopy,
        targets: Vec<SocketAddr>,
        first: usize,
        at: Instant,
    ) -> Self {
        Self {
            id,
            boot_id,
            copy,
            lease_until: Instant::ZERO,
            target: first,
            targets,
            hint: None,
            link: None,
            stage: Stage::Apart { until: at },
            wait: Duration::ZERO,
            next_request: 0,
        }
    }

    /// The revision in force here.
    pub fn revision(&self) -> Revision {
        self.copy.revision()
    }

    /// Whether it holds a configuration lease.
    pub fn holds_lease(&self, now: Instant) -> bool {
        now < self.lease_until
    }

    /// Does what can be done now without waiting.
    pub fn step(&mut self, now: Instant, traffic: &LinkTraffic) {
        if let Err(_lost) = self.try_step(now, traffic) {
            self.go_elsewhere(now, None);
        }
    }

    fn try_step(&mut self, now: Instant, traffic: &LinkTraffic) -> Result<(), FrameError> {
        match self.stage {
            Stage::Apart { until } if now >= until => return self.connect(now, traffic),
            Stage::Apart { .. } => return Ok(()),
            Stage::Greeting { until } | Stage::Watching { until, .. } if now >= until => {
                return Err(FrameError::Idle);
            }
            Stage::Greeting { .. } | Stage::Watching { .. } => {}
        }
        let Some(link) = &mut self.link else {
            return Err(FrameError::Closed);
        };
        link.flush(traffic)?;
        match link.receive(traffic)? {
            Some(frame) => self.on_frame(now, frame, traffic),
            None => Ok(()),
        }
    }

    fn connect(&mut self, now: Instant, traffic: &LinkTraffic) -> Result<(), FrameError> {
        let address = match self.hint.take() {
            Some(hint) => hint,
            None => self.targets[self.target % self.targets.len()],
        };
        let connected = FrameLink::connect(address);
        let mut link = connected.map_err(|source| FrameError::Io { source })?;
        let hello = Hello {
            version: WIRE_VERSION,
            site: SITE.to_owned(),
            replica: None,
        };
        link.send(&Frame::Hello(hello), traffic)?;
        self.link = Some(link);
        let until = now + CALL_MARGIN;
        self.stage = Stage::Greeting { until };
        Ok(())
    }

    fn on_frame(
        &mut self,
        now: Instant,
        frame: Frame,
        traffic: &LinkTraffic,
    ) -> Result<(), FrameError> {
        match frame {
            Frame::Hello(_) => self.watch(now, traffic),
            Frame::Reply { id, body } if id.0 == self.next_request => {
                self.on_reply(now, body, traffic)
            }
            Frame::Refused(_) => Err(FrameError::Closed),
            _ => Ok(()),
        }
    }

    fn watch(&mut self, now: Instant, traffic: &LinkTraffic) -> Result<(), FrameError> {
        self.next_request += 1;
        let watch = WatchRequest {
            have: self.copy.have(),
            acknowledgements: vec![NodeAcknowledgement {
                node: self.id.clone(),
                boot_id: self.boot_id,
                in_force: self.copy.revision(),
            }],
            wait_ms: self.wait.as_millis() as u64,
        };
        let frame = Frame::Request {
            id: RequestId(self.next_request),
            group: GroupId::Control,
            body: GroupRequest::Control(ControlRequest::Watch(watch)),
        };
        self.stage = Stage::Watching {
            sent_at: now,
            until: now + self.wait + CALL_MARGIN,
        };
        match &mut self.link {
            Some(link) => link.send(&frame, traffic),
            None => Err(FrameError::Closed),
        }
    }

    fn on_reply(
        &mut self,
        now: Instant,
        body: GroupReply,
        traffic: &LinkTraffic,
    ) -> Result<(), FrameError> {
        let sent_at = match self.stage {
            Stage::Watching { sent_at, .. } => sent_at,
            _ => return Ok(()),
        };
        match body {
            GroupReply::Control(ControlReply::Update { update, lease_ms }) => {
                let lease = Duration::from_millis(lease_ms);
                self.copy.apply(now, sent_at, update, lease);
                self.lease_until = self.lease_until.max(sent_at + lease);
                self.wait = MAX_WATCH_WAIT.min(lease / LEASE_DIVISOR);
                self.watch(now, traffic)
            }
            GroupReply::NotLeader { leader } => {
                self.go_elsewhere(now, leader);
                Ok(())
            }
            _ => Err(FrameError::Closed),
        }
    }

    fn go_elsewhere(&mut self, now: Instant, hint: Option<SocketAddr>) {
        self.link = None;
        self.target += 1;
        let pause = match hint {
            Some(_) => Duration::ZERO,
            None => FAILURE_PAUSE,
        };
        self.hint = hint;
        self.stage = Stage::Apart { until: now + pause };
    }
}

//! The simulated network: delays, losses, cuts, and connections that break.
//!
//! Consensus messages may be lost, doubled and reordered. Requests and answers travel on
//! connections: in order between two processes, and whole or not at all. Each request is an
//! [`Exchange`]; what belongs to one whose caller is gone goes nowhere.

use crate::process::{Answer, CallId, Message};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_types::platform::EngineStreamEvent;
use wingshore_types::protocol::wire::GroupReply;
use wingshore_types::{Instant, RequestId};

/// Chances and times of the network.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NetworkSettings {
    /// Shortest delay of a message.
    pub shortest_delay: Duration,
    /// Mean of what comes on top.
    pub mean_extra_delay: Duration,
    /// Chance that a consensus message is lost.
    pub loss: f64,
    /// Chance that a consensus message comes twice.
    pub duplication: f64,
}

impl Default for NetworkSettings {
    fn default() -> Self {
        Self {
            shortest_delay: Duration::from_micros(100),
            mean_extra_delay: Duration::from_micros(400),
            loss: 0.005,
            duplication: 0.01,
        }
    }
}

/// What becomes of requests and answers on a link that is cut. Consensus messages are lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutKind {
    /// They are lost, and nobody is told.
    Silent,
    /// They arrive once the link is healed, however late.
    Stalled,
}

/// How a process went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Departure {
    /// Its machine is gone: nobody is told.
    Silent,
    /// It died: its connections break.
    Broken,
    /// It ended in order: its listener closed first, so that calls on their way find their
    /// connection refused; all others break.
    InOrder,
}

/// A message on its way.
#[derive(Clone, Debug, PartialEq)]
pub struct Parcel {
    /// The sender.
    pub from: SocketAddr,
    /// The receiver.
    pub to: SocketAddr,
    /// What it says.
    pub message: Message,
}

/// A request that waits for its answer.
#[derive(Clone, Copy, Debug)]
struct Exchange {
    caller: SocketAddr,
    callee: SocketAddr,
    kind: ExchangeKind,
    /// The request has reached the callee.
    has_arrived: bool,
    /// A part of the answer was lost: no later part is given out.
    has_gap: bool,
}

/// The caller's own name for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ExchangeKind {
    Call(CallId),
    Group(RequestId),
}

/// All links of a simulation.
pub struct Network {
    settings: NetworkSettings,
    random: ChaCha8Rng,
    cuts: BTreeMap<(SocketAddr, SocketAddr), CutKind>,
    stalled: Vec<Parcel>,
    /// When the last message of a connection arrives.
    last_arrival: BTreeMap<(SocketAddr, SocketAddr), Instant>,
    exchanges: BTreeMap<u64, Exchange>,
    next_exchange: u64,
}

/// What is to arrive when.
pub type Arrivals = Vec<(Instant, Parcel)>;

impl Network {
    /// A network without cuts.
    pub fn new(settings: NetworkSettings, random: ChaCha8Rng) -> Self {
        Self {
            settings,
            random,
            cuts: BTreeMap::new(),
            stalled: Vec::new(),
            last_arrival: BTreeMap::new(),
            exchanges: BTreeMap::new(),
            next_exchange: 1,
        }
    }

    /// Sets chances and times from now on.
    pub fn set_settings(&mut self, settings: NetworkSettings) {
        self.settings = settings;
    }

    /// Cuts the link in one direction.
    pub fn cut(&mut self, from: SocketAddr, to: SocketAddr, kind: CutKind) {
        self.cuts.insert((from, to), kind);
    }

    /// Heals the link in one direction; what was stalled arrives.
    pub fn heal(&mut self, now: Instant, from: SocketAddr, to: SocketAddr) -> Arrivals {
        self.cuts.remove(&(from, to));
        let (arriving, stalled) = std::mem::take(&mut self.stalled)
            .into_iter()
            .partition(|parcel| (parcel.from, parcel.to) == (from, to));
        self.stalled = stalled;
        let mut arrivals = Vec::new();
        for parcel in arriving {
            self.send_on_connection(now, parcel, &mut arrivals);
        }
        arrivals
    }

    /// All links that are cut.
    pub fn cuts(&self) -> Vec<(SocketAddr, SocketAddr)> {
        self.cuts.keys().copied().collect()
    }

    /// Sends a message.
    pub fn send(
        &mut self,
        now: Instant,
        from: SocketAddr,
        to: SocketAddr,
        message: Message,
    ) -> Arrivals {
        let mut arrivals = Vec::new();
        match message {
            Message::Consensus { .. } => {
                let parcel = Parcel { from, to, message };
                self.send_datagram(now, parcel, &mut arrivals);
            }
            Message::GroupRequest { id, group, body } => {
                let id = RequestId(self.open(from, to, ExchangeKind::Group(id)));
                let message = Message::GroupRequest { id, group, body };
                self.send_on_connection(now, Parcel { from, to, message }, &mut arrivals);
            }
            Message::Call { id, call } => {
                let id = CallId(self.open(from, to, ExchangeKind::Call(id)));
                let message = Message::Call { id, call };
                self.send_on_connection(now, Parcel { from, to, message }, &mut arrivals);
            }
            // Answers find the way back by their exchange when they arrive.
            Message::Answer { id, .. } if self.has_gap(id.0) => {
                self.break_exchange(now, id.0, &mut arrivals);
            }
            Message::GroupReply { .. } | Message::Answer { .. } => {
                self.send_on_connection(now, Parcel { from, to, message }, &mut arrivals);
            }
            Message::HangUp { id } => self.hang_up(now, from, to, id, &mut arrivals),
        }
        arrivals
    }

    /// A message has arrived: gives it as the receiver knows it, or nothing where the receiver
    /// does not wait for it any more.
    pub fn arrive(&mut self, parcel: Parcel) -> Option<Parcel> {
        let Parcel { from, to, message } = parcel;
        let message = match message {
            Message::GroupReply { id, body } => match self.answered(id.0, from, to, true)? {
                ExchangeKind::Group(id) => Message::GroupReply { id, body },
                ExchangeKind::Call(_) => return None,
            },
            Message::Answer { id, answer } => {
                let is_last = !matches!(answer, Answer::Stream(EngineStreamEvent::Chunk { .. }));
                match self.answered(id.0, from, to, is_last)? {
                    ExchangeKind::Call(id) => Message::Answer { id, answer },
                    ExchangeKind::Group(_) => return None,
                }
            }
            // A request whose caller has hung up or died meanwhile still arrives.
            other => {
                self.note_arrival(&other);
                other
            }
        };
        Some(Parcel { from, to, message })
    }

    fn note_arrival(&mut self, message: &Message) {
        let id = match message {
            Message::GroupRequest { id, .. } => id.0,
            Message::Call { id, .. } => id.0,
            _ => return,
        };
        if let Some(exchange) = self.exchanges.get_mut(&id) {
            exchange.has_arrived = true;
        }
    }

    /// A request has found nobody: its connection was refused.
    pub fn refuse(&mut self, now: Instant, parcel: &Parcel) -> Arrivals {
        let id = match &parcel.message {
            Message::GroupRequest { id, .. } => id.0,
            Message::Call { id, .. } => id.0,
            _ => return Vec::new(),
        };
        let mut arrivals = Vec::new();
        self.end_exchange(now, id, Answer::Unreachable, &mut arrivals);
        arrivals
    }

    /// A process is gone; who waits for it learns what [`Departure`] says.
    pub fn process_gone(
        &mut self,
        now: Instant,
        gone: SocketAddr,
        departure: Departure,
    ) -> Arrivals {
        let noticed = departure != Departure::Silent;
        let mut arrivals = Vec::new();
        let calling = self.exchanges_where(|exchange| exchange.caller == gone);
        for id in calling {
            let Some(exchange) = self.exchanges.remove(&id) else {
                continue;
            };
            if noticed && matches!(exchange.kind, ExchangeKind::Call(_)) {
                let message = Message::HangUp { id: CallId(id) };
                let (from, to) = (gone, exchange.callee);
                self.send_on_connection(now, Parcel { from, to, message }, &mut arrivals);
            }
        }
        let in_order = departure == Departure::InOrder;
        let called = self.exchanges_where(|exchange| {
            exchange.callee == gone && (exchange.has_arrived || !in_order)
        });
        for id in called {
            if noticed {
                self.break_exchange(now, id, &mut arrivals);
            } else {
                self.exchanges.remove(&id);
            }
        }
        arrivals
    }

    fn exchanges_where(&self, wanted: impl Fn(&Exchange) -> bool) -> Vec<u64> {
        let found = self.exchanges.iter().filter(|(_, found)| wanted(found));
        found.map(|(id, _)| *id).collect()
    }

    fn open(&mut self, caller: SocketAddr, callee: SocketAddr, kind: ExchangeKind) -> u64 {
        let id = self.next_exchange;
        self.next_exchange += 1;
        let exchange = Exchange {
            caller,
            callee,
            kind,
            has_arrived: false,
            has_gap: false,
        };
        self.exchanges.insert(id, exchange);
        id
    }

    fn answered(
        &mut self,
        id: u64,
        from: SocketAddr,
        to: SocketAddr,
        is_last: bool,
    ) -> Option<ExchangeKind> {
        let exchange = *self.exchanges.get(&id)?;
        if (exchange.callee, exchange.caller) != (from, to) {
            return None;
        }
        if is_last {
            self.exchanges.remove(&id);
        }
        Some(exchange.kind)
    }

    fn hang_up(
        &mut self,
        now: Instant,
        from: SocketAddr,
        to: SocketAddr,
        id: CallId,
        arrivals: &mut Arrivals,
    ) {
        let open = self.exchanges_where(|exchange| {
            (exchange.caller, exchange.callee) == (from, to)
                && exchange.kind == ExchangeKind::Call(id)
        });
        for id in open {
            self.exchanges.remove(&id);
            let message = Message::HangUp { id: CallId(id) };
            self.send_on_connection(now, Parcel { from, to, message }, arrivals);
        }
    }

    fn has_gap(&self, id: u64) -> bool {
        let exchange = self.exchanges.get(&id);
        exchange.is_some_and(|exchange| exchange.has_gap)
    }

    /// Tells the caller of an exchange that its connection broke.
    fn break_exchange(&mut self, now: Instant, id: u64, arrivals: &mut Arrivals) {
        self.end_exchange(now, id, Answer::Broken, arrivals);
    }

    /// Ends an exchange without an answer of the callee; `answer` says how a call ended.
    fn end_exchange(&mut self, now: Instant, id: u64, answer: Answer, arrivals: &mut Arrivals) {
        let Some(exchange) = self.exchanges.get(&id).copied() else {
            return;
        };
        let message = match exchange.kind {
            ExchangeKind::Call(_) => Message::Answer {
                id: CallId(id),
                answer,
            },
            ExchangeKind::Group(_) => Message::GroupReply {
                id: RequestId(id),
                body: GroupReply::Unknown,
            },
        };
        let (from, to) = (exchange.callee, exchange.caller);
        self.send_on_connection(now, Parcel { from, to, message }, arrivals);
    }

    fn send_datagram(&mut self, now: Instant, parcel: Parcel, arrivals: &mut Arrivals) {
        let is_lost = self.random.random_bool(self.settings.loss);
        if is_lost || self.cuts.contains_key(&(parcel.from, parcel.to)) {
            return;
        }
        if self.random.random_bool(self.settings.duplication) {
            arrivals.push((now + self.delay(), parcel.clone()));
        }
        arrivals.push((now + self.delay(), parcel));
    }

    fn send_on_connection(&mut self, now: Instant, parcel: Parcel, arrivals: &mut Arrivals) {
        let link = (parcel.from, parcel.to);
        match self.cuts.get(&link) {
            Some(CutKind::Silent) => self.lose(&parcel.message),
            Some(CutKind::Stalled) => self.stalled.push(parcel),
            None => {
                let at = now + self.delay();
                let last = self.last_arrival.entry(link).or_default();
                *last = at.max(*last + Duration::from_nanos(1));
                arrivals.push((*last, parcel));
            }
        }
    }

    fn lose(&mut self, message: &Message) {
        if let Message::Answer { id, .. } = message
            && let Some(exchange) = self.exchanges.get_mut(&id.0)
        {
            exchange.has_gap = true;
        }
    }

    fn delay(&mut self) -> Duration {
        let uniform: f64 = self.random.random_range(f64::MIN_POSITIVE..1.0);
        let extra = self.settings.mean_extra_delay.mul_f64(-uniform.ln());
        self.settings.shortest_delay + extra
    }
}

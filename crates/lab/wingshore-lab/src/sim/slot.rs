//! One machine of the simulated site: its clock, the process that runs on it, and whether that
//! stands still.

use super::clock::LocalClock;
use crate::process::{Process, ProcessInput, ProcessOutput};
use std::time::Duration;
use wingshore_types::Instant;

/// What a process is started with.
#[derive(Clone, Copy, Debug)]
pub struct Boot {
    /// Its machine's clock.
    pub now: Instant,
    /// Drawn at each start.
    pub seed: u64,
    /// How often it was started before.
    pub number: u64,
}

/// Makes a process; the error says why it does not start.
pub type Maker = Box<dyn FnMut(Boot) -> Result<Box<dyn Process>, String>>;

/// A maker of a process that always starts.
pub fn maker<P: Process + 'static>(make: impl Fn(Boot) -> P + 'static) -> Maker {
    Box::new(move |boot| Ok(Box::new(make(boot))))
}

/// What happens at an output that a [`Trap`] waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrapAction {
    /// The process stands still right before it sends it, for this long.
    FreezeBefore(Duration),
    /// The process dies right before it sends it.
    KillBefore,
    /// The process dies right after it has sent it.
    KillAfter,
    /// The machine is cut off silently right after it has sent it.
    CutOffAfter,
}

/// Waits for an output of one process.
pub struct Trap {
    pub wanted: Box<dyn Fn(&ProcessOutput) -> bool>,
    /// How many of these are let through first.
    pub skip: u32,
    /// What to do then.
    pub action: TrapAction,
}

impl Trap {
    /// Lets `skip` of the wanted outputs through, then acts.
    pub fn new(
        wanted: impl Fn(&ProcessOutput) -> bool + 'static,
        skip: u32,
        action: TrapAction,
    ) -> Self {
        Self {
            wanted: Box::new(wanted),
            skip,
            action,
        }
    }
}

/// What waits at a process that stands still.
#[derive(Default)]
pub(super) struct Frozen {
    pub(super) outputs: Vec<ProcessOutput>,
    pub(super) inputs: Vec<ProcessInput>,
}

/// One machine.
pub(super) struct Slot {
    pub(super) name: String,
    pub(super) clock: LocalClock,
    pub(super) maker: Maker,
    pub(super) process: Option<Box<dyn Process>>,
    pub(super) boots: u64,
    pub(super) frozen: Option<Frozen>,
    /// The wake that is scheduled, by the simulation's time.
    pub(super) wake_at: Option<Instant>,
    pub(super) trap: Option<Trap>,
    pub(super) is_stopping: bool,
    /// Refuses connections while it is down; otherwise it is silent.
    pub(super) refuses: bool,
}

impl Slot {
    pub(super) fn new(name: &str, clock: LocalClock, maker: Maker) -> Self {
        Self {
            name: name.to_owned(),
            clock,
            maker,
            process: None,
            boots: 0,
            frozen: None,
            wake_at: None,
            trap: None,
            is_stopping: false,
            refuses: true,
        }
    }

    /// Whether `output` springs the trap.
    pub(super) fn springs(&mut self, output: &ProcessOutput) -> Option<TrapAction> {
        let trap = self.trap.as_mut()?;
        if !(trap.wanted)(output) {
            return None;
        }
        if trap.skip > 0 {
            trap.skip -= 1;
            return None;
        }
        let action = trap.action;
        self.trap = None;
        Some(action)
    }
}

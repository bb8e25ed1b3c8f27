//! How a host makes the machines it runs.

use wingshore_types::machine::LeaderMachine;

/// Prepares a replicated state.
pub type PrepareState<S> = Box<dyn Fn(&mut S) + Send>;

/// Makes the machines of a host. The default one is the one in production; tests and simulations
/// put deliberate faults in here.
pub struct MachineFactory<L: LeaderMachine> {
    /// Makes the leader machine of a new leadership.
    pub leader: Box<dyn Fn() -> L + Send>,
    /// Prepares a state that was just made, and again once it is restored from a snapshot.
    pub prepare: PrepareState<L::State>,
}

impl<L: LeaderMachine + Default + 'static> Default for MachineFactory<L> {
    fn default() -> Self {
        Self {
            leader: Box::new(L::default),
            prepare: Box::new(|_| {}),
        }
    }
}

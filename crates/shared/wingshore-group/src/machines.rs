//! Construction of the state machines that a host runs.

use wingshore_types::machine::LeaderMachine;

/// Function that prepares a replicated state.
pub type PrepareState<S> = Box<dyn Fn(&mut S) + Send>;

/// Creates the machines of a host. Production uses the default; tests and simulations use it to
/// inject faults.
pub struct MachineFactory<L: LeaderMachine> {
    /// Creates the leader machine of a new leadership.
    pub leader: Box<dyn Fn() -> L + Send>,
    /// Prepares a newly created state, and prepares it again after it is restored from a snapshot.
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

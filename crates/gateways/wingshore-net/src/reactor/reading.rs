//! Reading of the reactor's connections, and the account of what callers hold.

use super::Reactor;
use crate::account::Account;
use crate::caller::update_charges;
use crate::connection::{ReadEnd, read_available};
use crate::event::NetEvent;
use crate::id::ConnectionId;

/// Bytes read from callers in one poll, over all of them: so much may come on top of the account before
/// the process can shed anyone, and for so long its timers and its other connections wait.
pub const MAX_CALLER_BYTES_PER_POLL: usize = 1024 * 1024;
/// Bytes read from servers and from the site's own processes in one poll.
const MAX_OTHER_BYTES_PER_POLL: usize = 2 * 1024 * 1024;

/// Bytes that may still be read in one poll.
pub(super) struct ReadBudget {
    /// From callers, over all of them.
    callers: usize,
    /// From all other connections.
    others: usize,
}

impl Default for ReadBudget {
    fn default() -> Self {
        Self {
            callers: MAX_CALLER_BYTES_PER_POLL,
            others: MAX_OTHER_BYTES_PER_POLL,
        }
    }
}

impl ReadBudget {
    /// Returns what is left for callers or for all other connections.
    fn left(&mut self, is_caller: bool) -> &mut usize {
        if is_caller {
            &mut self.callers
        } else {
            &mut self.others
        }
    }
}

impl Reactor {
    /// Returns the account of what callers hold.
    pub fn account(&self) -> &Account {
        &self.account
    }

    /// Returns the number of connections of callers.
    pub fn caller_count(&self) -> usize {
        self.caller_count
    }

    /// Brings the account up to date with the buffers of callers' connections, and frees large empty
    /// buffers of all connections.
    pub fn update_account(&mut self) {
        for id in std::mem::take(&mut self.touched) {
            if let Some(connection) = self.connections.get_mut(id) {
                update_charges(connection);
            }
        }
    }

    /// Records that the buffers of a connection may have changed.
    pub(super) fn touch(&mut self, id: ConnectionId) {
        let connection = self.connections.get_mut(id);
        if let Some(connection) = connection.filter(|connection| !connection.is_touched) {
            connection.is_touched = true;
            self.touched.push(id);
        }
    }

    /// Schedules reads of the callers whose bytes have been handled since.
    pub(super) fn resume_reads(&mut self) {
        for id in std::mem::take(&mut self.read_ahead) {
            let Some(connection) = self.connections.get_mut(id) else {
                continue;
            };
            if connection.is_read_ahead() {
                self.read_ahead.push(id);
                continue;
            }
            if let Some(caller) = &mut connection.caller {
                caller.is_paused = false;
            }
            self.touch(id);
            self.schedule_read(id);
        }
    }

    /// Reads what has arrived on a connection, as far as one poll may.
    pub(super) fn read(&mut self, id: ConnectionId, out: &mut Vec<NetEvent>) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        connection.read_pending = false;
        if connection.input_ended {
            return;
        }
        let is_caller = connection.caller.is_some();
        if connection.is_read_ahead() {
            return self.pause_reads(id, out);
        }
        let left = self.read_budget.left(is_caller);
        if *left == 0 {
            return self.schedule_read(id);
        }
        let outcome = read_available(connection, &mut self.scratch);
        *left = left.saturating_sub(outcome.received);
        self.touch(id);
        if outcome.received > 0 {
            out.push(NetEvent::Received(id));
        }
        match outcome.end {
            ReadEnd::Drained => {}
            ReadEnd::LimitReached => self.schedule_read(id),
            ReadEnd::EndOfInput => self.end_input(id, out),
            ReadEnd::Broken => self.fail(id, out),
        }
    }

    /// Handles the end of a peer's input: closes a connection that only waits for it, and reports that
    /// of any other.
    fn end_input(&mut self, id: ConnectionId, out: &mut Vec<NetEvent>) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        connection.input_ended = true;
        if connection.awaits_end && connection.output.is_empty() {
            return self.close(id);
        }
        out.push(NetEvent::EndOfInput(id));
    }

    /// Reads no more from a caller until the process has handled what was read. The end of its input
    /// is reported all the same: nobody may be left who waits for an answer.
    fn pause_reads(&mut self, id: ConnectionId, out: &mut Vec<NetEvent>) {
        self.touch(id);
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        if connection.end_signalled {
            connection.input_ended = true;
            return out.push(NetEvent::EndOfInput(id));
        }
        let caller = connection.caller.as_mut();
        if let Some(caller) = caller.filter(|caller| !caller.is_paused) {
            caller.is_paused = true;
            self.read_ahead.push(id);
        }
    }

    fn schedule_read(&mut self, id: ConnectionId) {
        if let Some(connection) = self
            .connections
            .get_mut(id)
            .filter(|connection| !connection.read_pending)
        {
            connection.read_pending = true;
            self.pending_reads.push(id);
        }
    }
}

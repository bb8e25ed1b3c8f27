//! What the connection of a caller has in the account.

use crate::account::{Account, Charge, Part};
use crate::connection::Connection;
use crate::output::release_if_large;
use bytes::BytesMut;

/// Size in bytes of the receive buffer of a caller's socket: a body of the largest legal length
/// arrives in time from a caller that is some milliseconds away.
pub(crate) const RECEIVE_BUFFER_BYTES: usize = 128 * 1024;
/// Size in bytes of the send buffer of a caller's socket. What is beyond it waits in the output queue,
/// where it is counted.
pub(crate) const SEND_BUFFER_BYTES: usize = 64 * 1024;
/// Bytes that the kernel may hold of what a connection has received, while it is not being read. The
/// kernel doubles the size that is asked for.
const MAX_UNREAD_BYTES: usize = 2 * RECEIVE_BUFFER_BYTES;
/// Bytes that the kernel may hold of what was sent on a connection, while more is waiting.
const MAX_UNSENT_BYTES: usize = 2 * SEND_BUFFER_BYTES;

/// Charges of the buffers of one connection.
pub(crate) struct CallerBuffers {
    input: Charge,
    output: Charge,
    kernel: Charge,
    /// Whether the end of its output is to be reported.
    pub(crate) reports_sent: bool,
    /// Whether it is in the list of connections that are not read for a while.
    pub(crate) is_paused: bool,
}

impl CallerBuffers {
    /// Creates the charges of a connection without bytes.
    pub(crate) fn new(account: &Account) -> Self {
        Self {
            input: account.charge(Part::Input, 0),
            output: account.charge(Part::Output, 0),
            kernel: account.charge(Part::Kernel, 0),
            reports_sent: false,
            is_paused: false,
        }
    }
}

/// Frees the input buffer of a connection if it is empty and a caller's, or large, and updates the
/// charges of a caller's connection.
pub(crate) fn update_charges(connection: &mut Connection) {
    connection.is_touched = false;
    let is_unread = connection.read_pending || connection.is_read_ahead();
    let Some(caller) = &mut connection.caller else {
        return release_if_large(&mut connection.input);
    };
    if connection.input.is_empty() {
        connection.input = BytesMut::new();
    }
    // The capacity shrinks as bytes are removed from the front; the memory does not.
    let input = connection.input.capacity();
    let held = if input == 0 {
        0
    } else {
        input.max(caller.input.bytes())
    };
    caller.input.set(held);
    caller.output.set(connection.output.own_len());
    let unread = if is_unread { MAX_UNREAD_BYTES } else { 0 };
    let is_unsent = !connection.output.is_empty();
    let unsent = if is_unsent { MAX_UNSENT_BYTES } else { 0 };
    caller.kernel.set(unread + unsent);
}

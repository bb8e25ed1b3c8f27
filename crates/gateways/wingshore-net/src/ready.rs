//! Readiness of one socket, as the kernel reports it.

use mio::Token;
use mio::event::Event as ReadyEvent;

/// A readiness event, copied from the kernel's event buffer.
#[derive(Clone, Copy)]
pub(crate) struct Ready {
    pub(crate) token: Token,
    pub(crate) readable: bool,
    pub(crate) writable: bool,
    /// The peer has ended its side of the connection.
    pub(crate) ended: bool,
    /// The connection failed.
    pub(crate) failed: bool,
}

impl From<&ReadyEvent> for Ready {
    fn from(event: &ReadyEvent) -> Self {
        Self {
            token: event.token(),
            readable: event.is_readable(),
            writable: event.is_writable(),
            ended: event.is_read_closed(),
            failed: event.is_error(),
        }
    }
}

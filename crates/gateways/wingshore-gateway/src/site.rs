//! The state of the site as this gateway knows it, and the links to the coordination group.

use crate::coordinators::Coordinators;
use crate::protocol::IngressProtocol;
use crate::view::View;

/// The state of the site as this gateway knows it.
pub(crate) struct Site {
    /// The protocol of callers and servers.
    pub(crate) protocol: Box<dyn IngressProtocol>,
    /// The zone of the gateway.
    pub(crate) zone: String,
    /// The configuration and the servers, as recorded in the group's log.
    pub(crate) view: View,
    /// Links to the coordinators.
    pub(crate) coordinators: Coordinators,
}

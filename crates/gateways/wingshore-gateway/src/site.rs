//! The site as this gateway knows it, and its links to the group that decides for it.

use crate::coordinators::Coordinators;
use crate::protocol::IngressProtocol;
use crate::view::View;

/// The site as this gateway knows it.
pub(crate) struct Site {
    /// What callers and servers speak.
    pub(crate) protocol: Box<dyn IngressProtocol>,
    /// The zone that the gateway stands in.
    pub(crate) zone: String,
    /// The configuration and the servers, as the group's log has them.
    pub(crate) view: View,
    /// Links to the coordinators.
    pub(crate) coordinators: Coordinators,
}

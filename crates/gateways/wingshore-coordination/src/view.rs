//! The view of the site that gateways are sent: the configuration and the servers, without the parts
//! that only the leader and operators use.
//!
//! Every member of the group can send it, since it follows from the log: a [`ViewUpdate`] names the
//! entry that it accounts for and the one that it continues from. So after a change of leader nothing
//! is sent that a gateway holds already.

use crate::configuration::SiteConfiguration;
use crate::evidence::Suspect;
use crate::fingerprint::{FingerprintKey, RequestFingerprint};
use crate::ids::InstanceId;
use crate::registry::ServerRecord;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use wingshore_types::LogIndex;

/// All that a gateway must know.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SiteView {
    /// The configuration in force.
    pub configuration: Option<Arc<SiteConfiguration>>,
    /// All servers, without their models.
    pub servers: Vec<ServerRecord>,
    /// Key of the site's fingerprints of requests.
    pub fingerprint_key: Option<FingerprintKey>,
    /// Requests under which servers have ended, more than one each.
    pub suspects: Vec<Suspect>,
}

/// A change of the view. It holds the changed part as it is now, not how it differs, so that applying it
/// twice does no harm.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ViewChange {
    /// Another configuration is in force.
    Configuration(Arc<SiteConfiguration>),
    /// A server is new or has changed.
    Server(ServerRecord),
    /// A server is gone.
    Gone(InstanceId),
    /// The key of the site's fingerprints of requests was drawn.
    FingerprintKey(FingerprintKey),
    /// More servers have ended under a request, or less evidence against it counts.
    Suspect(Suspect),
    /// A request is no suspect any more.
    Cleared(RequestFingerprint),
}

/// The view as of an entry of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ViewUpdate {
    /// The last entry that it accounts for.
    pub revision: LogIndex,
    /// The view, or its changes.
    pub content: ViewContent,
}

/// The content of an update of the view.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ViewContent {
    /// All of it.
    Whole(SiteView),
    /// The parts that have changed; none, where only the revision is news.
    Changes {
        /// Changes after this entry.
        since: LogIndex,
        /// Each changed part once, as of the update's revision.
        changes: Vec<ViewChange>,
    },
}

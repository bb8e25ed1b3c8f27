//! The view of the site that gateways receive: the configuration and the servers, without the parts
//! that only the leader and operators use.
//!
//! Every member of the group can send the view, since it is derived from the log: a [`ViewUpdate`]
//! contains the log index that it reflects and the one that it continues from. After a change of
//! leader, nothing is sent that a gateway already has.

use crate::configuration::SiteConfiguration;
use crate::evidence::Suspect;
use crate::fingerprint::{FingerprintKey, RequestFingerprint};
use crate::ids::InstanceId;
use crate::registry::ServerRecord;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use wingshore_types::LogIndex;

/// The state that gateways need.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SiteView {
    /// The configuration in force.
    pub configuration: Option<Arc<SiteConfiguration>>,
    /// All servers, without their models.
    pub servers: Vec<ServerRecord>,
    /// Key of the site's request fingerprints; `None` until it is drawn.
    pub fingerprint_key: Option<FingerprintKey>,
    /// Suspect requests: more than one server crashed while running each of them.
    pub suspects: Vec<Suspect>,
}

/// A change of the view. It contains the new value of the changed part rather than a difference, so
/// that applying a change twice is harmless.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ViewChange {
    /// A new configuration is in force.
    Configuration(Arc<SiteConfiguration>),
    /// A server was added or has changed.
    Server(ServerRecord),
    /// A server was removed.
    Gone(InstanceId),
    /// The key of the site's request fingerprints was drawn.
    FingerprintKey(FingerprintKey),
    /// The evidence against a request has changed: more servers crashed, or older evidence expired.
    Suspect(Suspect),
    /// A request is no longer suspect.
    Cleared(RequestFingerprint),
}

/// The view as of a log entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ViewUpdate {
    /// Index of the last log entry that the update reflects.
    pub revision: LogIndex,
    /// The complete view, or the changes to it.
    pub content: ViewContent,
}

/// The content of a view update.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ViewContent {
    /// The complete view.
    Whole(SiteView),
    /// The changed parts; empty if only the revision has advanced.
    Changes {
        /// The changes are those after this log index.
        since: LogIndex,
        /// Each changed part once, with its value as of the update's revision.
        changes: Vec<ViewChange>,
    },
}

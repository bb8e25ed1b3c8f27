//! The encoded welcome of gateways: hundreds of them connect within a moment after a change of
//! leaders, and all get the same bytes.

use std::sync::Arc;
use wingshore_coordination::{CoordinatorMessage, SiteView};
use wingshore_net::frame;
use wingshore_types::Epoch;

/// The welcome that was encoded last.
#[derive(Default)]
pub(super) struct Welcomes {
    last: Option<Encoded>,
}

struct Encoded {
    epoch: Epoch,
    view: SiteView,
    frame: Vec<u8>,
}

impl Encoded {
    /// Whether it holds this very view: the leader shares one between the gateways that connect
    /// before its next change.
    fn is_of(&self, epoch: Epoch, view: &SiteView) -> bool {
        let configuration = match (&self.view.configuration, &view.configuration) {
            (Some(known), Some(wanted)) => Arc::ptr_eq(known, wanted),
            (None, None) => true,
            _ => false,
        };
        self.epoch == epoch
            && configuration
            && Arc::ptr_eq(&self.view.servers, &view.servers)
            && self.view.fingerprint_key == view.fingerprint_key
            && Arc::ptr_eq(&self.view.suspects, &view.suspects)
    }
}

impl Welcomes {
    /// The frame that welcomes a gateway.
    ///
    /// # Errors
    /// When the codec cannot encode the view.
    pub(super) fn frame(&mut self, epoch: Epoch, view: SiteView) -> Result<&[u8], postcard::Error> {
        let known = self.last.take().filter(|last| last.is_of(epoch, &view));
        let encoded = match known {
            Some(encoded) => encoded,
            None => Encoded {
                epoch,
                frame: frame::encode(&CoordinatorMessage::Welcome {
                    epoch,
                    view: view.clone(),
                })?,
                view,
            },
        };
        Ok(&self.last.insert(encoded).frame)
    }
}

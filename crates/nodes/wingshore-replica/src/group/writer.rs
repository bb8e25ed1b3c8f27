//! The thread that makes a group's writes durable.

use super::kind::HostedLeader;
use super::port::{GroupEvent, Inbox};
use crate::metrics::GroupMetrics;
use crossbeam_channel::Receiver;
use std::sync::Arc;
use std::time::Instant;
use wingshore_storage::GroupStore;
use wingshore_types::log::WriteBatch;

/// One requested write.
pub(crate) struct WriteJob {
    /// Identifies the write in the event that confirms it.
    pub(crate) token: u64,
    /// Records to write.
    pub(crate) batch: WriteBatch,
}

/// Executes writes until the channel is closed or a write fails.
pub(crate) fn run<L: HostedLeader>(
    mut store: GroupStore,
    jobs: &Receiver<WriteJob>,
    inbox: &Inbox<L>,
    metrics: &Arc<GroupMetrics>,
) {
    for job in jobs {
        let start = Instant::now();
        match store.write(&job.batch) {
            Ok(()) => {
                metrics.write_seconds.observe(start.elapsed().as_secs_f64());
                inbox.event(GroupEvent::Persisted { token: job.token });
            }
            Err(error) => {
                inbox.event(GroupEvent::WriteFailed(error));
                return;
            }
        }
    }
}

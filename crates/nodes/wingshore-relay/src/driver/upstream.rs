//! The one watch upstream, on a thread of its own.

use super::run::Event;
use crossbeam_channel::{Receiver, Sender};
use slog::{Logger, debug};
use std::io;
use std::thread::{self, JoinHandle};
use std::time::Duration;
use wingshore_client::GroupClient;
use wingshore_types::GroupId;
use wingshore_types::protocol::control::{ControlReply, ControlRequest, WatchRequest};
use wingshore_types::protocol::wire::{GroupReply, GroupRequest};

/// Time for one watch beyond what it asks upstream to wait.
const CALL_MARGIN: Duration = Duration::from_millis(1500);

/// Sends each watch that comes by `watches` and hands what follows to the main loop.
pub(super) fn spawn(
    client: GroupClient,
    watches: Receiver<WatchRequest>,
    events: Sender<Event>,
    logger: Logger,
) -> io::Result<JoinHandle<()>> {
    thread::Builder::new()
        .name("relay-upstream".to_owned())
        .spawn(move || {
            for request in watches {
                let event = watch(&client, request, &logger);
                if events.send(event).is_err() {
                    return;
                }
            }
        })
}

fn watch(client: &GroupClient, request: WatchRequest, logger: &Logger) -> Event {
    let timeout = Duration::from_millis(request.wait_ms) + CALL_MARGIN;
    let body = GroupRequest::Control(ControlRequest::Watch(request));
    match client.call(GroupId::Control, body, timeout) {
        Ok(GroupReply::Control(ControlReply::Update { update, lease_ms })) => {
            let lease = Duration::from_millis(lease_ms);
            Event::UpstreamAnswered { update, lease }
        }
        Ok(other) => {
            debug!(logger, "upstream refused the watch"; "answer" => format!("{other:?}"));
            Event::UpstreamFailed
        }
        Err(error) => {
            debug!(logger, "no answer from upstream"; "error" => %error);
            Event::UpstreamFailed
        }
    }
}

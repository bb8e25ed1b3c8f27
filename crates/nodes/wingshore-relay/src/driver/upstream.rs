//! The one watch upstream, on a thread of its own.

use super::run::Event;
use crossbeam_channel::{Receiver, Sender};
use slog::{Logger, debug};
use std::io;
use std::thread::{self, JoinHandle};
use std::time::Duration;
use wingshore_client::GroupClient;
use wingshore_clock::Clock;
use wingshore_types::Instant;
use wingshore_types::protocol::control::WatchRequest;

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

/// Sends one watch. The lease of its answer counts from the sending of the attempt that was answered; the
/// main loop counts from its own, which lies before this call: what lies between is added.
fn watch(client: &GroupClient, request: WatchRequest, logger: &Logger) -> Event {
    let clock = Clock::start();
    match client.watch(request) {
        Ok(answer) => {
            let sent_after = clock.at(answer.sent_at).since(Instant::ZERO);
            Event::UpstreamAnswered {
                update: answer.update,
                lease: sent_after + Duration::from_millis(answer.lease_ms),
            }
        }
        Err(error) => {
            debug!(logger, "no answer from upstream"; "error" => %error);
            Event::UpstreamFailed
        }
    }
}

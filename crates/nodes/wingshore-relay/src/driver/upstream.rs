//! The thread that sends the relay's watches upstream, one at a time.

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

/// Starts the thread that sends each request from `watches` and passes the result to the main loop.
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

/// Sends one watch. The lease in the answer counts from when the answered attempt was sent, but the
/// main loop counts it from when it requested the watch, before this call; the time in between is
/// added to the lease.
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

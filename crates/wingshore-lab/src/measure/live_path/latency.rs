//! Latency that a node adds: the same request directly and through it, in turns.

use super::quantiles::Comparison;
use super::request::LiveRequest;
use crate::http_client::HttpClient;
use crate::measure::error::MeasureError;
use crate::measure::quiet_site::Addresses;
use std::time::{Duration, Instant};

/// Longest wait for one answer.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Pairs before the first that counts.
const WARM_UP: usize = 50;

/// Compares both ways for `length`.
///
/// # Errors
/// When a request is not answered with success.
pub fn compare(
    kind: LiveRequest,
    addresses: &Addresses,
    length: Duration,
) -> Result<Comparison, MeasureError> {
    let client = HttpClient::new(TIMEOUT);
    let servers = addresses.live_servers.iter().cycle();
    let (mut direct, mut through_node) = (Vec::new(), Vec::new());
    let mut end = None;
    for (pair, server) in servers.enumerate() {
        if pair == WARM_UP {
            direct.clear();
            through_node.clear();
            end = Some(Instant::now() + length);
        }
        if end.is_some_and(|end| Instant::now() >= end) {
            break;
        }
        // Neither side always follows the other.
        let node_first = pair % 2 == 0;
        if node_first {
            through_node.push(timed(|| kind.send_to_node(&client, addresses))?);
        }
        direct.push(timed(|| kind.send_directly(&client, *server))?);
        if !node_first {
            through_node.push(timed(|| kind.send_to_node(&client, addresses))?);
        }
    }
    Ok(Comparison::new(kind.name(), direct, through_node))
}

fn timed(send: impl FnOnce() -> Result<(), MeasureError>) -> Result<Duration, MeasureError> {
    let started = Instant::now();
    send()?;
    Ok(started.elapsed())
}

//! What a traced run prints of messages.

use super::replica;
use crate::process::Message;
use wingshore_types::Instant;

/// Most characters of a message.
const MAX_TRACED: usize = 300;

/// Prints a message that has arrived.
pub fn print(now: Instant, from: &str, to: &str, message: &Message) {
    let text = match message {
        Message::Consensus { message, .. } => replica::describe(message),
        other => format!("{other:?}"),
    };
    let text: String = text.chars().take(MAX_TRACED).collect();
    println!("{:>14} {from} -> {to}: {text}", now.0 / 1000);
}

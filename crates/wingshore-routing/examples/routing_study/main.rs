//! Simulated studies that the design note on routing rests on.
//!
//! `cargo run --release -p wingshore-routing --example routing_study -- queueing reserve`

mod queueing;
mod random;
mod reserve;
mod site;

fn main() {
    if std::env::args().any(|argument| argument == "queueing") {
        queueing::run();
    }
    if std::env::args().any(|argument| argument == "reserve") {
        reserve::run();
    }
}

//! Simulated studies that the design note on routing rests on.
//!
//! `cargo run --release -p wingshore-routing --example routing_study`

mod queueing;
mod random;
mod reserve;
mod site;

fn main() {
    queueing::run();
    reserve::run();
}

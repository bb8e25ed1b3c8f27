//! Entry point of the `wingshore` program.
fn main() {}

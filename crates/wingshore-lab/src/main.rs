//! Entry point of the `wingshore-lab` program.
fn main() {}

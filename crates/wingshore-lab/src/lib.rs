//! Proof harness: stand-ins, fleet, simulator, benchmarks.

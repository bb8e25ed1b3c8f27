//! An in-memory cluster of hosts for tests.

#![allow(dead_code, reason = "each test file uses its own part")]

pub mod cluster;
pub mod crash_site;
#[path = "../../../wingshore-consensus/tests/support/disk.rs"]
pub mod disk;
pub mod member;
pub mod numbers;

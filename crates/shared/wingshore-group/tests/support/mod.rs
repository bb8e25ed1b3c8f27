//! In-memory clusters of hosts for tests.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

pub mod cluster;
pub mod crash_site;
#[path = "../../../wingshore-consensus/tests/support/disk.rs"]
pub mod disk;
pub mod member;
pub mod numbers;

//! Hashes stand in logs, in stored state and in the choice of groups: another library, or another
//! release of one, has to give the same. The values are those of the published description of
//! FNV-1a with 64 bits.

use googletest::prelude::*;
use wingshore_lab::hashing::hash_bytes;
use wingshore_lab::sim::history::HistoryHash;

#[gtest]
fn hashes_are_those_of_the_published_description() {
    expect_that!(hash_bytes(b""), eq(0xcbf2_9ce4_8422_2325));
    expect_that!(hash_bytes(b"a"), eq(0xaf63_dc4c_8601_ec8c));
    expect_that!(hash_bytes(b"foobar"), eq(0x8594_4171_f739_67e8));
}

#[gtest]
fn a_history_in_parts_is_the_history_as_a_whole() {
    let mut history = HistoryHash::default();
    history.bytes(b"foo");
    history.bytes(b"bar");
    expect_that!(history.value(), eq(hash_bytes(b"foobar")));
}

//! The identity of a data folder: it is bound to one replica and never reused after a disk loss.

use googletest::prelude::*;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use wingshore_storage::memory::{Faults, MemoryFileSystem};
use wingshore_storage::{DataFolder, FileSystem, GroupStore, RealFileSystem, StorageError};
use wingshore_types::protocol::membership::{Member, Membership};
use wingshore_types::{GroupId, ReplicaId};

const SITE: &str = "farewind";
const FOLDER: &str = "/data";

fn founding() -> Membership {
    Membership {
        voters: vec![Member {
            id: ReplicaId(1),
            address: SocketAddr::from(([127, 0, 0, 1], 7000)),
        }],
        learners: Vec::new(),
    }
}

fn memory() -> (MemoryFileSystem, Arc<dyn FileSystem>) {
    let disk = MemoryFileSystem::new();
    let fs: Arc<dyn FileSystem> = Arc::new(disk.clone());
    (disk, fs)
}

fn format(fs: &Arc<dyn FileSystem>) -> std::result::Result<DataFolder, StorageError> {
    DataFolder::format(fs, Path::new(FOLDER), SITE, ReplicaId(1), founding())
}

fn open(
    fs: &Arc<dyn FileSystem>,
    site: &str,
    random: u64,
) -> std::result::Result<DataFolder, StorageError> {
    DataFolder::open_or_join(fs, Path::new(FOLDER), site, random)
}

fn message<T>(result: std::result::Result<T, StorageError>) -> String {
    result
        .err()
        .map_or("no error".to_owned(), |error| error.to_string())
}

#[gtest]
fn formatted_identity_survives_a_power_loss() -> Result<()> {
    let (disk, fs) = memory();
    drop(format(&fs).or_fail()?);
    disk.restart(1);
    let folder = open(&fs, SITE, 99).or_fail()?;
    expect_that!(folder.identity().replica, eq(ReplicaId(1)));
    expect_that!(folder.identity().founding, some(eq(&founding())));
    Ok(())
}

#[gtest]
fn empty_folder_gets_a_permanent_new_identity() -> Result<()> {
    for (random, expected) in [
        (0, 1 << 32),
        (u64::from(u32::MAX), (1 << 33) - 1),
        (1 << 32, 1 << 32),
        (u64::MAX, u64::MAX),
    ] {
        let (disk, fs) = memory();
        let joined = open(&fs, SITE, random).or_fail()?;
        expect_that!(joined.identity().replica, eq(ReplicaId(expected)));
        expect_that!(joined.identity().founding, none());
        drop(joined);
        disk.restart(random);
        let again = open(&fs, SITE, 12_345).or_fail()?;
        expect_that!(again.identity().replica, eq(ReplicaId(expected)));
    }
    Ok(())
}

#[gtest]
fn lost_disk_gets_a_new_identity() -> Result<()> {
    let (disk, fs) = memory();
    drop(format(&fs).or_fail()?);
    disk.lose_disk();
    let folder = open(&fs, SITE, 7).or_fail()?;
    expect_that!(
        folder.identity().replica,
        gt(ReplicaId(u64::from(u32::MAX)))
    );
    Ok(())
}

#[gtest]
fn folder_of_another_site_is_rejected() -> Result<()> {
    let (_, fs) = memory();
    drop(format(&fs).or_fail()?);
    let refused = message(open(&fs, "roster", 1));
    expect_that!(refused, contains_substring("belongs to site `farewind`"));
    Ok(())
}

#[gtest]
fn non_empty_folder_is_not_formatted() -> Result<()> {
    let (_, fs) = memory();
    drop(format(&fs).or_fail()?);
    expect_that!(message(format(&fs)), contains_substring("is not empty"));
    Ok(())
}

#[gtest]
fn groups_without_an_identity_are_rejected() -> Result<()> {
    let (disk, fs) = memory();
    let folder = format(&fs).or_fail()?;
    let directory = folder.group_directory(GroupId::Ledger(0));
    GroupStore::open(Arc::clone(&fs), &directory).or_fail()?;
    drop(folder);
    disk.restart(0);
    fs.remove(&Path::new(FOLDER).join("identity")).or_fail()?;
    let refused = message(open(&fs, SITE, 1));
    expect_that!(refused, contains_substring("`ledger-0` and no identity"));
    Ok(())
}

#[gtest]
fn damaged_identity_is_rejected() -> Result<()> {
    let (disk, fs) = memory();
    drop(format(&fs).or_fail()?);
    let path = Path::new(FOLDER).join("identity");
    disk.damage(&path, |bytes| bytes[20] ^= 1).or_fail()?;
    let refused = message(open(&fs, SITE, 1));
    expect_that!(refused, contains_substring("/data/identity is damaged"));
    Ok(())
}

#[gtest]
fn crash_while_joining_leaves_no_identity_or_a_complete_one() -> Result<()> {
    let (probe, fs) = memory();
    drop(open(&fs, SITE, 5).or_fail()?);
    for crash_at in 1..=probe.calls() {
        for seed in 0..20 {
            let (disk, fs) = memory();
            disk.set_faults(Faults {
                crash_at: Some(crash_at),
                ..Faults::default()
            });
            let used = open(&fs, SITE, 5).is_ok();
            disk.restart(seed);
            let again = open(&fs, SITE, 6).or_fail()?;
            let known = again.identity().replica.0 & 0xff;
            expect_that!(known, any![eq(5), eq(6)]);
            expect_that!(used, eq(false));
        }
    }
    Ok(())
}

#[gtest]
fn two_processes_cannot_share_a_folder() -> Result<()> {
    let directory = tempfile::tempdir()?;
    let real: Arc<dyn FileSystem> = Arc::new(RealFileSystem);
    let (_, memory) = memory();
    for (fs, path) in [(real, directory.path()), (memory, Path::new(FOLDER))] {
        let first = DataFolder::open_or_join(&fs, path, SITE, 1).or_fail()?;
        let second = DataFolder::open_or_join(&fs, path, SITE, 1);
        expect_that!(message(second), contains_substring("in use"));
        drop(first);
        expect_that!(
            DataFolder::open_or_join(&fs, path, SITE, 1).is_ok(),
            eq(true)
        );
    }
    Ok(())
}

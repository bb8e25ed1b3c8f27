//! Who this member is: a founder of the site, or one that joins it.
//!
//! Question: does a data folder become that of a founder or of a joiner? Inputs: whether the folder
//! is empty, whether the site begins with this start, the seeds and this machine's address. Rule:
//! an empty folder of a seed at the first start of a site is a founder's, numbered by the order of
//! the addresses, the same at each seed; any other empty folder gets an identity drawn at random
//! and joins; a folder that is not empty keeps its identity. Why: a machine that lost its disk must
//! not vote as the member that it was.

use crate::settings::CoordinatorSettings;
use std::net::SocketAddr;
use std::sync::Arc;
use wingshore_storage::{DataFolder, FileSystem, StorageError};
use wingshore_types::ReplicaId;
use wingshore_types::protocol::membership::{Member, Membership};

/// Name that data folders are bound to.
const SITE: &str = "coordination";

/// Opens the data folder. An empty one becomes that of a founder, if the site begins with this
/// start and the seeds name this machine; else that of a new member.
pub(crate) fn open(
    fs: &Arc<dyn FileSystem>,
    settings: &CoordinatorSettings,
) -> Result<DataFolder, StorageError> {
    let own = settings.internal_address();
    let seeds = settings.seed_addresses();
    let position = seeds.iter().position(|seed| *seed == own);
    if let Some(position) = position.filter(|_| settings.founding) {
        let founding = founding(&seeds);
        let id = founding.voters[position].id;
        match DataFolder::format(fs, &settings.data, SITE, id, founding) {
            Ok(folder) => return Ok(folder),
            Err(StorageError::NotEmpty { .. }) => {}
            Err(error) => return Err(error),
        }
    }
    DataFolder::open_or_join(fs, &settings.data, SITE, rand::random())
}

/// The founders: the seeds in ascending order, numbered from 1.
fn founding(seeds: &[SocketAddr]) -> Membership {
    let voters = (1_u64..)
        .zip(seeds)
        .map(|(number, address)| Member {
            id: ReplicaId(number),
            address: *address,
        })
        .collect();
    Membership {
        voters,
        learners: Vec::new(),
    }
}

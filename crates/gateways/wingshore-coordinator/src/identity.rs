//! Identity of this member: a founder of the site, or a member that joins it.
//!
//! Question: does a data folder become that of a founder or of a joining member? Inputs: whether
//! the folder is empty, whether the site is founded with this start, the seeds and the address of
//! this machine. Rule: an empty folder of a seed at the first start of a site becomes a founder's,
//! numbered by the order of the seed addresses, which is the same at each seed. Any other empty
//! folder gets a random identity and joins. A folder that is not empty keeps its identity. Why: a
//! machine that lost its disk must not vote under its former identity.

use crate::settings::CoordinatorSettings;
use std::net::SocketAddr;
use std::sync::Arc;
use wingshore_storage::{DataFolder, FileSystem, StorageError};
use wingshore_types::ReplicaId;
use wingshore_types::protocol::membership::{Member, Membership};

/// Site name to which data folders are bound.
const SITE: &str = "coordination";

/// Opens the data folder. An empty folder becomes that of a founder if the site is founded with
/// this start and the seeds contain this machine, otherwise that of a joining member.
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

/// Returns the membership of the founders: the seeds in ascending order, numbered from 1.
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

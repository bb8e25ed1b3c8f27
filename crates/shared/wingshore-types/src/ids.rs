//! Identifiers as newtypes, so that the compiler rejects a mix-up of two kinds.

use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;
use std::sync::Arc;

/// Declares a name type that is chosen by operators and cheap to clone.
macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Wraps a name without validating it; the settings parser does that.
            pub fn new(name: &str) -> Self {
                Self(Arc::from(name))
            }

            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> Self {
                Self::new(name)
            }
        }
    };
}

/// Declares a numeric identifier.
macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{}", self.0)
            }
        }
    };
}

name_type! {
    /// A node process, which runs beside one caller.
    NodeId
}
name_type! {
    /// A back-end server: a model engine or a live server.
    ServerId
}
name_type! {
    /// A zone: machines that share a building or a failure domain.
    ZoneId
}
name_type! {
    /// A rollout pool: a model with its engines, trainer and limits.
    PoolId
}
name_type! {
    /// A service: a set of interchangeable back-end servers.
    ServiceId
}
name_type! {
    /// The trainer of a pool.
    TrainerId
}

number_type! {
    /// A member of the replicated groups, bound permanently to one data folder. Formatted members
    /// are numbered from 1; a member that joins later draws a random id above `u32::MAX`.
    ReplicaId(u64)
}
number_type! {
    /// Index of an entry in a replicated log, from 1; 0 is the position before the first entry.
    LogIndex(u64)
}
number_type! {
    /// The number of a sample, chosen by the trainer and unique within the pool.
    SampleNumber(u64)
}
number_type! {
    /// A training step, numbered consecutively from 0.
    StepId(u64)
}
number_type! {
    /// A published weight version; increases with each publication in a pool.
    WeightVersion(u64)
}
number_type! {
    /// A revision of the configuration: the number of committed changes.
    Revision(u64)
}
number_type! {
    /// The consensus term of a leader of the control group.
    Epoch(u64)
}
number_type! {
    /// Sequence number of an order within an epoch.
    OrderSequence(u64)
}
number_type! {
    /// The number of a plan, assigned by the control group.
    PlanId(u64)
}
number_type! {
    /// A lease of one sample to one node; also the fencing token for the node's reports.
    LeaseId(u64)
}
number_type! {
    /// The id of a request between wingshore processes, unique on the connection.
    RequestId(u64)
}

/// Idempotency id of an intent: 128 random bits drawn by the client; a retry carries the same id.
///
/// In JSON it is a string of 32 hexadecimal digits, since few parsers preserve 128-bit numbers.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IntentId(pub u128);

impl IntentId {
    /// Returns the intent id of a publication. It depends only on the pool and the version, so a
    /// repeated publication has no further effect.
    pub fn of_publication(pool: &PoolId, version: WeightVersion) -> Self {
        /// Offset basis of 128-bit FNV-1a.
        const OFFSET: u128 = 0x6c62_272e_07bb_0142_62b8_2175_6295_c58d;
        /// Prime of 128-bit FNV-1a.
        const PRIME: u128 = 0x0000_0000_0100_0000_0000_0000_0000_013b;
        let bytes = b"publish\0"
            .iter()
            .copied()
            .chain(pool.as_str().bytes())
            .chain([0])
            .chain(version.0.to_le_bytes());
        Self(bytes.fold(OFFSET, |hash, byte| {
            (hash ^ u128::from(byte)).wrapping_mul(PRIME)
        }))
    }

    /// Parses 1 to 32 hexadecimal digits.
    pub fn from_hex(text: &str) -> Option<Self> {
        u128::from_str_radix(text, 16).ok().map(Self)
    }
}

impl Serialize for IntentId {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            serializer.collect_str(self)
        } else {
            self.0.serialize(serializer)
        }
    }
}

impl<'de> Deserialize<'de> for IntentId {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            let text = String::deserialize(deserializer)?;
            Self::from_hex(&text)
                .ok_or_else(|| D::Error::custom("an intent is 1 to 32 hexadecimal digits"))
        } else {
            u128::deserialize(deserializer).map(Self)
        }
    }
}

impl fmt::Display for IntentId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

impl fmt::Debug for IntentId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "IntentId({self})")
    }
}

/// A replicated group, with its own log, leader and members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum GroupId {
    /// The control group: configuration, plans, orders and epochs.
    Control,
    /// A ledger group: samples of one pool or of one shard of a pool.
    Ledger(u16),
    /// A claims group: idempotency keys, sharded by the hash of the key.
    Claims(u16),
}

impl GroupId {
    /// Returns all groups of a site; ledger and claims groups are numbered from 1.
    pub fn all(ledger_groups: u16, claims_groups: u16) -> Vec<Self> {
        let ledgers = (1..=ledger_groups).map(Self::Ledger);
        let claims = (1..=claims_groups).map(Self::Claims);
        std::iter::once(Self::Control)
            .chain(ledgers)
            .chain(claims)
            .collect()
    }

    /// Returns the claims group for the hash of a key, among `claims_groups` groups (at least 1).
    pub fn claims_for(hash: u64, claims_groups: u16) -> Self {
        let shard = hash % u64::from(claims_groups.max(1));
        Self::Claims(1 + shard as u16)
    }
}

impl fmt::Display for GroupId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Control => formatter.write_str("control"),
            Self::Ledger(shard) => write!(formatter, "ledger-{shard}"),
            Self::Claims(shard) => write!(formatter, "claims-{shard}"),
        }
    }
}

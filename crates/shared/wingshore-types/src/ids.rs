//! Identifiers as newtypes, so that one kind is never taken for another.

use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;
use std::sync::Arc;

/// Declares a cheap-to-clone name chosen by people.
macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Wraps a name as it is; the settings parser checks its spelling.
            pub fn new(name: &str) -> Self {
                Self(Arc::from(name))
            }

            /// The name as text.
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

/// Declares a number that identifies one thing.
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
    /// A node process, beside one caller.
    NodeId
}
name_type! {
    /// A back end: a model engine or a live server.
    ServerId
}
name_type! {
    /// A zone: machines that share a building or a fault.
    ZoneId
}
name_type! {
    /// A rollout pool: a model, its engines, its trainer and its bounds.
    PoolId
}
name_type! {
    /// A set of interchangeable back ends.
    ServiceId
}
name_type! {
    /// A trainer bound to a pool.
    TrainerId
}

number_type! {
    /// One member of replicated groups, bound to one data folder for life.
    /// Formatted members are numbered from 1; a member that joins later draws a random
    /// identity above `u32::MAX`.
    ReplicaId(u64)
}
number_type! {
    /// Position of an entry in a replicated log, from 1; 0 is "before the first".
    LogIndex(u64)
}
number_type! {
    /// A sample's number, chosen by the trainer, unique within its pool.
    SampleNumber(u64)
}
number_type! {
    /// A trainer's step, from 0, grows by one.
    StepId(u64)
}
number_type! {
    /// A published weight version; grows with each publication of a pool.
    WeightVersion(u64)
}
number_type! {
    /// The number of committed configuration changes; one per change.
    Revision(u64)
}
number_type! {
    /// One leadership of the control group (its consensus term).
    Epoch(u64)
}
number_type! {
    /// Position of an order within an epoch.
    OrderSequence(u64)
}
number_type! {
    /// A plan, numbered by the control group.
    PlanId(u64)
}
number_type! {
    /// One grant of one sample to one node; also the fence for its reports.
    LeaseId(u64)
}
number_type! {
    /// A request between wingshore processes, unique on its connection.
    RequestId(u64)
}

/// A client-drawn identity of an intent (128 random bits); a resend carries the same.
///
/// In JSON it is 32 hexadecimal digits, since few readers keep 128 bits of a number.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IntentId(pub u128);

impl IntentId {
    /// The intent of a publication: always the same, so that a resend changes nothing.
    pub fn of_publication(pool: &PoolId, version: WeightVersion) -> Self {
        /// Offset basis of FNV-1a with 128 bits.
        const OFFSET: u128 = 0x6c62_272e_07bb_0142_62b8_2175_6295_c58d;
        /// Prime of FNV-1a with 128 bits.
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

/// A replicated group. Each has its own log, leader and members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum GroupId {
    /// Configuration, plans, orders and epochs.
    Control,
    /// Samples of one pool (or of one shard of a pool).
    Ledger(u16),
    /// Idempotency keys, sharded by hash of the key.
    Claims(u16),
}

impl GroupId {
    /// All groups of a site, ledger and claims groups numbered from 1.
    pub fn all(ledger_groups: u16, claims_groups: u16) -> Vec<Self> {
        let ledgers = (1..=ledger_groups).map(Self::Ledger);
        let claims = (1..=claims_groups).map(Self::Claims);
        std::iter::once(Self::Control)
            .chain(ledgers)
            .chain(claims)
            .collect()
    }

    /// The claims group that holds the key with this hash, of `claims_groups` (at least 1).
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

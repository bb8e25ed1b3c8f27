//! Identifiers.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// Declares a cheap-to-clone text identifier.
macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(Arc::from(text))
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(Arc::from(text))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    };
}

text_id! {
    /// One run of a server process; a restarted server has another one.
    InstanceId
}
text_id! {
    /// A service: a set of servers that stand in for each other.
    ServiceName
}
text_id! {
    /// A model that engines serve.
    ModelName
}
text_id! {
    /// A batch job; chosen by the caller that submits it.
    JobId
}
text_id! {
    /// An item of a batch job; chosen by the caller, unique within its job.
    ItemId
}

/// One run of a gateway process; drawn at random at its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct GatewayId(pub u64);

/// An item by its job and its place in the submission.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ItemKey {
    /// The job.
    pub job: JobId,
    /// The item's place in the submission, from 0.
    pub index: u32,
}

//! Identifiers of servers, services, models, jobs, items, tenants, gateways and attempts.
//!
//! Each is a type of its own, cheap to clone. Those with an optional second part are encoded as one
//! text: the first part alone where there is no second one, which is what earlier releases wrote.

use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;
use std::sync::Arc;
use wingshore_types::Epoch;

/// Separates the parts of an encoded identifier. Names of servers and jobs come from targets of
/// requests, whose reader takes no control characters; those of tenants are checked.
const SEPARATOR: char = '\n';

/// The name of an encoded identifier, and what follows it.
fn split_encoded(text: &str) -> (&str, Option<&str>) {
    match text.split_once(SEPARATOR) {
        Some((name, rest)) => (name, Some(rest)),
        None => (text, None),
    }
}

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
    /// What a server calls itself. It may start again under the same name.
    ServerName
}
text_id! {
    /// A tenant: callers that share their keys.
    TenantName
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
    /// An item of a batch job; chosen by the caller, unique within its job.
    ItemId
}

/// One incarnation of a gateway process; drawn at random at its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct GatewayId(pub u64);

/// A batch job. Its name is chosen by the caller that submits it, and belongs to the caller's
/// tenant: the same name of another tenant is another job.
///
/// Encoded as one text, the name alone where it belongs to nobody: as releases before wrote it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId {
    tenant: Option<TenantName>,
    name: Arc<str>,
}

impl JobId {
    /// The job of this name that belongs to a tenant, or to nobody.
    #[must_use]
    pub fn of_tenant(self, tenant: Option<TenantName>) -> Self {
        Self {
            tenant,
            name: self.name,
        }
    }

    /// Whose job it is; `None` where callers are not distinguished.
    pub fn tenant(&self) -> Option<&TenantName> {
        self.tenant.as_ref()
    }
}

impl Serialize for JobId {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match &self.tenant {
            Some(tenant) => {
                serializer.collect_str(&format_args!("{}{SEPARATOR}{tenant}", self.name))
            }
            None => serializer.serialize_str(&self.name),
        }
    }
}

impl<'de> Deserialize<'de> for JobId {
    fn deserialize<D: Deserializer<'de>>(source: D) -> Result<Self, D::Error> {
        let text = String::deserialize(source)?;
        let (name, tenant) = split_encoded(&text);
        Ok(Self::from(name).of_tenant(tenant.map(TenantName::from)))
    }
}

impl From<&str> for JobId {
    fn from(name: &str) -> Self {
        Self {
            tenant: None,
            name: Arc::from(name),
        }
    }
}

impl From<String> for JobId {
    fn from(name: String) -> Self {
        Self::from(name.as_str())
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.name)
    }
}

/// An item by its job and its place in the submission.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ItemKey {
    /// The job.
    pub job: JobId,
    /// The item's place in the submission, from 0.
    pub index: u32,
}

/// Names one attempt at an item, or one scoring, over all leaderships.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AssignmentId {
    /// The leadership that made it.
    pub epoch: Epoch,
    /// Its number within the leadership.
    pub number: u64,
}

/// When a server started, as it reports itself: milliseconds since the start of 1970.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StartTime(pub u64);

/// One incarnation of a server: the life of its process. A server that starts again under its name is
/// another incarnation: it holds nothing that the one before held, and its counts start anew.
///
/// Incarnations of one name are in the order of their starts; one that does not report its start comes
/// before all that do.
///
/// Encoded as one text, the name alone where there is no start: as releases before wrote it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InstanceId {
    name: ServerName,
    start_time: Option<StartTime>,
}

impl InstanceId {
    /// The incarnation of `name` that started at `born`; `None` where servers do not report that, and
    /// have a name of its own for each incarnation.
    pub fn new(name: ServerName, start_time: Option<StartTime>) -> Self {
        Self { name, start_time }
    }

    /// What the server calls itself; requests address servers by this name.
    pub fn name(&self) -> &ServerName {
        &self.name
    }

    /// When it started.
    pub fn start_time(&self) -> Option<StartTime> {
        self.start_time
    }
}

impl Serialize for InstanceId {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match self.start_time {
            Some(start_time) => {
                serializer.collect_str(&format_args!("{}{SEPARATOR}{}", self.name, start_time.0))
            }
            None => serializer.serialize_str(self.name.as_str()),
        }
    }
}

impl<'de> Deserialize<'de> for InstanceId {
    fn deserialize<D: Deserializer<'de>>(source: D) -> Result<Self, D::Error> {
        let text = String::deserialize(source)?;
        let (name, start_time) = split_encoded(&text);
        let start_time = start_time
            .map(str::parse)
            .transpose()
            .map_err(D::Error::custom)?;
        Ok(Self::new(ServerName::from(name), start_time.map(StartTime)))
    }
}

impl From<&str> for InstanceId {
    fn from(name: &str) -> Self {
        Self::new(ServerName::from(name), None)
    }
}

impl From<String> for InstanceId {
    fn from(name: String) -> Self {
        Self::new(ServerName::from(name), None)
    }
}

impl fmt::Display for InstanceId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.start_time {
            Some(start_time) => write!(formatter, "{}@{}", self.name, start_time.0),
            None => write!(formatter, "{}", self.name),
        }
    }
}

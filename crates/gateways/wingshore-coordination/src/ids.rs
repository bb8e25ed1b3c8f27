//! Identifiers of servers, services, models, jobs, items, tenants, gateways and attempts.
//!
//! Each identifier is a separate type that is cheap to clone. Identifiers with an optional second
//! part are encoded as one string: the first part alone if there is no second one, as earlier
//! releases wrote it.

use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;
use std::sync::Arc;
use wingshore_types::Epoch;

/// Separator between the parts of an encoded identifier. Server and job names come from request
/// targets, whose parser rejects control characters; tenant names are validated.
const SEPARATOR: char = '\n';

/// Splits an encoded identifier into its name and the optional second part.
fn split_encoded(text: &str) -> (&str, Option<&str>) {
    match text.split_once(SEPARATOR) {
        Some((name, rest)) => (name, Some(rest)),
        None => (text, None),
    }
}

/// Declares a string identifier that is cheap to clone.
macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the identifier as a string.
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
    /// Name of a server, chosen by the server. It may restart under the same name.
    ServerName
}
text_id! {
    /// A tenant: the callers that share a set of keys.
    TenantName
}
text_id! {
    /// A service: a set of interchangeable servers.
    ServiceName
}
text_id! {
    /// A model that engines serve.
    ModelName
}
text_id! {
    /// An item of a batch job; the identifier is chosen by the caller and unique within its job.
    ItemId
}

/// One incarnation of a gateway process; drawn at random at process start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct GatewayId(pub u64);

/// A batch job. The name is chosen by the caller that submits the job and is scoped to the caller's
/// tenant: the same name of another tenant is another job.
///
/// Encoded as one string: the name alone if the job belongs to no tenant, as earlier releases wrote
/// it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId {
    tenant: Option<TenantName>,
    name: Arc<str>,
}

impl JobId {
    /// Returns the job of the same name that belongs to `tenant`, or to no tenant.
    #[must_use]
    pub fn of_tenant(self, tenant: Option<TenantName>) -> Self {
        Self {
            tenant,
            name: self.name,
        }
    }

    /// Returns the owning tenant; `None` if callers are not distinguished.
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

/// An item, identified by its job and its index in the submission.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ItemKey {
    /// The job.
    pub job: JobId,
    /// Index of the item in the submission, from 0.
    pub index: u32,
}

/// Identifies one attempt at an item, or one scoring, across all leaderships.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AssignmentId {
    /// Epoch of the leadership that created it.
    pub epoch: Epoch,
    /// Sequence number within the leadership.
    pub number: u64,
}

/// Start time of a server as it reports it: milliseconds since the Unix epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StartTime(pub u64);

/// One incarnation of a server, that is, one run of its process. A server that restarts under its
/// name is another incarnation: it holds no state of the previous one, and its counters start
/// again.
///
/// Incarnations of one name are ordered by start time; one that does not report its start time
/// sorts before all others.
///
/// Encoded as one string: the name alone if there is no start time, as earlier releases wrote it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InstanceId {
    name: ServerName,
    start_time: Option<StartTime>,
}

impl InstanceId {
    /// Creates the identifier of the incarnation of `name` that started at `start_time`; `None` for
    /// servers that do not report a start time and use a new name for each incarnation.
    pub fn new(name: ServerName, start_time: Option<StartTime>) -> Self {
        Self { name, start_time }
    }

    /// Returns the name of the server; requests address servers by this name.
    pub fn name(&self) -> &ServerName {
        &self.name
    }

    /// Returns the start time of this incarnation.
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

//! Tenants: who calls, known by the keys that the configuration gives them.
//!
//! Owns the check of tenants, the table by which gateways look keys up, and the ranks of tenants. Keys
//! never appear in debug output.

use crate::ids::TenantName;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::collections::{HashMap, HashSet};
use std::fmt;
use std::sync::Arc;

/// The key by which a caller names its tenant. It is a secret: it is in no log, no metric and no
/// error, and is sent to no server.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ApiKey(Arc<str>);

impl From<&str> for ApiKey {
    fn from(text: &str) -> Self {
        Self(Arc::from(text))
    }
}

impl From<String> for ApiKey {
    fn from(text: String) -> Self {
        Self(Arc::from(text))
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("ApiKey(..)")
    }
}

/// Callers that share their keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tenant {
    /// Its name, as it is sent to servers.
    pub name: TenantName,
    /// Keys that open for it; a tenant without any is shut out.
    pub keys: Vec<ApiKey>,
    /// Its rank, which replaces that of a route; 0 is the most urgent. `None` where it has none.
    pub priority: Option<u8>,
}

/// Why tenants cannot be in force.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum TenantError {
    /// One key would open for two.
    #[snafu(display(
        "tenants `{first}` and `{second}` share a key; allowed is a key of one tenant only"
    ))]
    SharedKey {
        /// One tenant.
        first: TenantName,
        /// The other.
        second: TenantName,
    },
    /// Two tenants of one name.
    #[snafu(display("tenant `{tenant}` stands twice; allowed is once"))]
    DuplicateTenant {
        /// The tenant.
        tenant: TenantName,
    },
    /// A name that cannot be sent to servers.
    #[snafu(display(
        "tenant {tenant:?}: its name; allowed is text that is not empty, without control characters"
    ))]
    InvalidName {
        /// The name.
        tenant: String,
    },
    /// A tenant has an empty key.
    #[snafu(display("tenant `{tenant}`: an empty key; allowed is text that is not empty"))]
    EmptyKey {
        /// The tenant.
        tenant: TenantName,
    },
}

/// Whether tenants can be in force.
///
/// # Errors
/// Says the first thing that is wrong, without any key.
pub(crate) fn check_tenants(tenants: &[Tenant]) -> Result<(), TenantError> {
    let mut names = HashSet::new();
    let mut owners: HashMap<&ApiKey, &TenantName> = HashMap::new();
    for tenant in tenants {
        let name = &tenant.name;
        if name.as_str().is_empty() || name.as_str().chars().any(char::is_control) {
            return InvalidNameSnafu {
                tenant: name.as_str(),
            }
            .fail();
        }
        if !names.insert(name) {
            return DuplicateTenantSnafu {
                tenant: name.clone(),
            }
            .fail();
        }
        for key in &tenant.keys {
            if key.0.is_empty() {
                return EmptyKeySnafu {
                    tenant: name.clone(),
                }
                .fail();
            }
            let first = owners.insert(key, name).filter(|first| *first != name);
            if let Some(first) = first {
                return SharedKeySnafu {
                    first: first.clone(),
                    second: name.clone(),
                }
                .fail();
            }
        }
    }
    Ok(())
}

/// A caller whose key is in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Caller {
    /// Its tenant.
    pub tenant: TenantName,
    /// The rank of its tenant.
    pub priority: Option<u8>,
}

/// Ranks of the tenants that have one.
#[derive(Clone, Debug, Default)]
pub(crate) struct TenantRanks {
    ranks: HashMap<TenantName, u8>,
}

impl TenantRanks {
    /// The ranks of `tenants`.
    pub(crate) fn new(tenants: &[Tenant]) -> Self {
        let ranks = tenants.iter();
        let ranks = ranks.filter_map(|tenant| Some((tenant.name.clone(), tenant.priority?)));
        Self {
            ranks: ranks.collect(),
        }
    }

    /// Whether no tenant has one.
    pub(crate) fn is_empty(&self) -> bool {
        self.ranks.is_empty()
    }

    /// The rank of what a tenant asks on a route of the rank `of_route`; 0 is the most urgent.
    pub(crate) fn rank(&self, tenant: Option<&TenantName>, of_route: u8) -> u8 {
        let own = tenant.and_then(|tenant| self.ranks.get(tenant));
        own.copied().unwrap_or(of_route)
    }
}

/// The keys of one configuration.
///
/// They are looked up by the standard library's hash, whose key is drawn at random in each process:
/// a caller can neither choose keys that collide nor learn one from the time that a look-up takes.
#[derive(Clone, Debug, Default)]
pub struct KeyTable {
    callers: Vec<Caller>,
    keys: HashMap<ApiKey, u32>,
}

impl KeyTable {
    /// The keys of `tenants`.
    pub fn new(tenants: &[Tenant]) -> Self {
        let callers = tenants.iter().map(|tenant| Caller {
            tenant: tenant.name.clone(),
            priority: tenant.priority,
        });
        let numbered = (0_u32..).zip(tenants);
        let keys = numbered
            .flat_map(|(number, tenant)| tenant.keys.iter().map(move |key| (key.clone(), number)));
        Self {
            callers: callers.collect(),
            keys: keys.collect(),
        }
    }

    /// The caller that a key opens for.
    pub fn find(&self, key: &ApiKey) -> Option<&Caller> {
        let number = self.keys.get(key)?;
        self.callers.get(*number as usize)
    }
}

//! Tenants: the callers of a site, identified by the API keys of the configuration.
//!
//! Validates tenants, and provides the key table of the gateways and the priorities of tenants.
//! Keys never appear in debug output.

use crate::ids::TenantName;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::collections::{HashMap, HashSet};
use std::fmt;
use std::sync::Arc;

/// API key that identifies the tenant of a caller. It is a secret: it is in no log, metric or error
/// message, and is not forwarded to servers.
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

/// A tenant: the callers that share a set of keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tenant {
    /// Name of the tenant, as sent to servers.
    pub name: TenantName,
    /// Keys of the tenant; a tenant without keys has no access.
    pub keys: Vec<ApiKey>,
    /// Priority that replaces the one of a route; 0 is the most urgent. `None` to use the route's.
    pub priority: Option<u8>,
}

/// Reason why a list of tenants is refused.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum TenantError {
    /// Two tenants have the same key.
    #[snafu(display(
        "tenants `{first}` and `{second}` share a key; allowed is a key of one tenant only"
    ))]
    SharedKey {
        /// The first tenant.
        first: TenantName,
        /// The second tenant.
        second: TenantName,
    },
    /// Two tenants have the same name.
    #[snafu(display("tenant `{tenant}` stands twice; allowed is once"))]
    DuplicateTenant {
        /// The tenant.
        tenant: TenantName,
    },
    /// A tenant's name cannot be sent to servers.
    #[snafu(display(
        "tenant {tenant:?}: its name; allowed is text that is not empty, without control characters"
    ))]
    InvalidName {
        /// The invalid name.
        tenant: String,
    },
    /// A tenant has an empty key.
    #[snafu(display("tenant `{tenant}`: an empty key; allowed is text that is not empty"))]
    EmptyKey {
        /// The tenant.
        tenant: TenantName,
    },
}

/// Checks that a list of tenants is valid.
///
/// # Errors
/// Returns the first violation, without any key.
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

/// A caller with a valid key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Caller {
    /// Tenant of the caller.
    pub tenant: TenantName,
    /// Priority of the tenant; `None` to use the route's.
    pub priority: Option<u8>,
}

/// Priorities of the tenants that have one.
#[derive(Clone, Debug, Default)]
pub(crate) struct TenantPriorities {
    ranks: HashMap<TenantName, u8>,
}

impl TenantPriorities {
    /// Collects the priorities of `tenants`.
    pub(crate) fn new(tenants: &[Tenant]) -> Self {
        let ranks = tenants.iter();
        let ranks = ranks.filter_map(|tenant| Some((tenant.name.clone(), tenant.priority?)));
        Self {
            ranks: ranks.collect(),
        }
    }

    /// Returns whether no tenant has a priority.
    pub(crate) fn is_empty(&self) -> bool {
        self.ranks.is_empty()
    }

    /// Returns the priority of a tenant's request on a route with the priority `of_route`; 0 is the
    /// most urgent.
    pub(crate) fn priority_for(&self, tenant: Option<&TenantName>, of_route: u8) -> u8 {
        let own = tenant.and_then(|tenant| self.ranks.get(tenant));
        own.copied().unwrap_or(of_route)
    }
}

/// The API keys of one configuration, for lookup.
///
/// The map uses the standard library's hasher, whose key is random in each process: a caller can
/// neither choose colliding keys nor learn a key from the duration of a lookup.
#[derive(Clone, Debug, Default)]
pub struct KeyTable {
    callers: Vec<Caller>,
    keys: HashMap<ApiKey, u32>,
}

impl KeyTable {
    /// Builds the table from the keys of `tenants`.
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

    /// Returns the caller that a key identifies.
    pub fn find(&self, key: &ApiKey) -> Option<&Caller> {
        let number = self.keys.get(key)?;
        self.callers.get(*number as usize)
    }
}

//! Names of what a gateway has in hand, within one process.

/// Names one exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct ExchangeId(pub(crate) u64);

/// Names one call about batch jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct CallId(pub(crate) u64);

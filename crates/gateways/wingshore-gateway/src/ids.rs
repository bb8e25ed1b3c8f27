//! Names of what a gateway has in hand, within one process.

/// Names one exchange: a request of a client or of a scoring, through all attempts at servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct ExchangeId(pub(crate) u64);

/// Names one call about batch jobs, from its arrival to its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct CallId(pub(crate) u64);

//! Identifiers of a gateway's unfinished work, unique within one process.

/// Identifies one exchange: a request of a client or of a scoring, across all attempts at servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct ExchangeId(pub(crate) u64);

/// Identifies one call about batch jobs, from its arrival to its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct CallId(pub(crate) u64);

//! Ledger groups: samples and idempotency claims.

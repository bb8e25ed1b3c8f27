//! Control group: configuration, plans and orders.

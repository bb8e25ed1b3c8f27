//! Log ring in memory and its dump.

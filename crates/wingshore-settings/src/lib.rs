//! Settings files: parsing and checking.

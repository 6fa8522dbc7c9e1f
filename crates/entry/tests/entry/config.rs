//! Cases.

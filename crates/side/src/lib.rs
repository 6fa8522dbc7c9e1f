//! The process beside an upstream: its orders, its queue, its residency, its at-most-once decisions.

//! At-most-once decisions for calls that may not be repeated, from the order of records in the log.

//! Settings, numbered log events, metrics, the admin listener and graceful stop.

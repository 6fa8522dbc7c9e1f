//! The platform as traits and over HTTP: log service, weight store, VM list.

//! Protocols of a connection.

/// Bytes of one HTTP/2 stream that may wait for its reader.
pub(crate) const STREAM_WINDOW: u32 = 64 * 1024;

/// Bytes of all streams of one connection that may wait: no limit beside the streams' own, so that
/// slow readers don't hold others up.
pub(crate) const CONNECTION_WINDOW: u32 = i32::MAX as u32;

/// Protocol of a connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Protocol {
    /// One exchange at a time; towards callers, upstreams and the platform.
    #[default]
    Http1,
    /// Many exchanges on one connection, without TLS; between processes of this system.
    Http2,
}

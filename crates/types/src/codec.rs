//! `MessagePack` encoding by `rmp-serde`. Structs are encoded as maps with field names, so that a
//! field can be added without upgrading all processes at once.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

/// Input that is not an encoding of the expected message.
#[derive(Debug, Snafu)]
#[snafu(display("step decode, {bytes} bytes: {source}"))]
pub struct CodecError {
    /// Length of the input, bytes.
    pub bytes: usize,
    source: rmp_serde::decode::Error,
}

/// Encodes a message.
///
/// # Panics
/// Never for the messages of this crate: none holds a map of unknown length.
#[must_use]
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    rmp_serde::to_vec_named(value).expect("messages of this crate always encode")
}

/// Decodes a message that takes up all of `bytes` and may borrow from them.
///
/// # Errors
/// [`CodecError`] if `bytes` is not an encoding of `T`.
pub fn decode<'b, T: Deserialize<'b>>(bytes: &'b [u8]) -> Result<T, CodecError> {
    rmp_serde::from_slice(bytes).context(CodecSnafu { bytes: bytes.len() })
}

/// Decodes the message at the start of `bytes` and returns it with its length in bytes, or `None` if
/// it is incomplete.
///
/// # Errors
/// [`CodecError`] if `bytes` is not the start of an encoding of `T`.
pub fn decode_prefix<T: DeserializeOwned>(bytes: &[u8]) -> Result<Option<(T, usize)>, CodecError> {
    let mut rest = std::io::Cursor::new(bytes);
    let mut reader = rmp_serde::Deserializer::new(&mut rest);
    match T::deserialize(&mut reader) {
        Ok(value) => {
            let used = usize::try_from(rest.position()).unwrap_or(bytes.len());
            Ok(Some((value, used)))
        }
        Err(e) if is_incomplete(&e) => Ok(None),
        Err(e) => Err(e).context(CodecSnafu { bytes: bytes.len() }),
    }
}

/// Whether decoding failed only because the input ended too early.
fn is_incomplete(e: &rmp_serde::decode::Error) -> bool {
    use rmp_serde::decode::Error::{InvalidDataRead, InvalidMarkerRead};
    match e {
        InvalidMarkerRead(io) | InvalidDataRead(io) => {
            io.kind() == std::io::ErrorKind::UnexpectedEof
        }
        _ => false,
    }
}

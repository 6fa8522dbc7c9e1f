//! `MessagePack` by `rmp-serde`, with field names, so that a field can be added without a flag day.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

/// Bytes that are not the message expected.
#[derive(Debug, Snafu)]
#[snafu(display("step decode, {bytes} bytes: {source}"))]
pub struct CodecError {
    /// Length of the input.
    pub bytes: usize,
    source: rmp_serde::decode::Error,
}

/// Bytes of a message.
///
/// # Panics
/// Never for this crate's messages: they hold no map with unknown length.
#[must_use]
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    rmp_serde::to_vec_named(value).expect("messages of this crate always encode")
}

/// Message from all of `bytes`, from which it may borrow.
///
/// # Errors
/// [`CodecError`] if the bytes are not such a message.
pub fn decode<'b, T: Deserialize<'b>>(bytes: &'b [u8]) -> Result<T, CodecError> {
    rmp_serde::from_slice(bytes).context(CodecSnafu { bytes: bytes.len() })
}

/// First message in `bytes` and the bytes it took, or `None` if it is not all there yet.
///
/// # Errors
/// [`CodecError`] if the bytes can't become such a message.
pub fn decode_prefix<T: DeserializeOwned>(bytes: &[u8]) -> Result<Option<(T, usize)>, CodecError> {
    let mut rest = std::io::Cursor::new(bytes);
    let mut reader = rmp_serde::Deserializer::new(&mut rest);
    match T::deserialize(&mut reader) {
        Ok(value) => {
            let used = usize::try_from(rest.position()).unwrap_or(bytes.len());
            Ok(Some((value, used)))
        }
        Err(e) if is_short(&e) => Ok(None),
        Err(e) => Err(e).context(CodecSnafu { bytes: bytes.len() }),
    }
}

fn is_short(e: &rmp_serde::decode::Error) -> bool {
    use rmp_serde::decode::Error::{InvalidDataRead, InvalidMarkerRead};
    match e {
        InvalidMarkerRead(io) | InvalidDataRead(io) => {
            io.kind() == std::io::ErrorKind::UnexpectedEof
        }
        _ => false,
    }
}

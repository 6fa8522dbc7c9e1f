//! Idempotency keys, with a namespace per caller.
//!
//! A UUIDv7 key contains its creation time; any other text is opaque.

use std::fmt;
use std::sync::Arc;

use pumicecleat_types::{CallerId, Millis};
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use snafu::{Snafu, ensure};
use uuid::Uuid;

/// Maximum length of a key.
pub const MAX_KEY_BYTES: usize = 255;

/// UUID version with a Unix timestamp.
const TIMESTAMP_VERSION: usize = 7;

/// Text that is not a valid key.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum KeyError {
    /// The text is empty, or only a pair of quotes.
    #[snafu(display("step key, caller {caller}: empty"))]
    Empty {
        /// Caller.
        caller: CallerId,
    },
    /// The text is too long.
    #[snafu(display("step key, caller {caller}: {bytes} bytes, at most {MAX_KEY_BYTES}"))]
    TooLong {
        /// Caller.
        caller: CallerId,
        /// Length of the text in bytes.
        bytes: usize,
    },
    /// The text contains a character other than visible ASCII, or a double quote.
    #[snafu(display("step key, caller {caller}: character {found:?}"))]
    InvalidCharacter {
        /// Caller.
        caller: CallerId,
        /// First such character.
        found: char,
    },
}

/// Idempotency key of a caller.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "Raw", into = "Raw")]
pub struct Key {
    caller: CallerId,
    text: Arc<str>,
    minted: Option<Millis>,
}

impl Key {
    /// Parses the text of a header, with or without the quotes of a structured field.
    ///
    /// # Errors
    /// [`KeyError`] for a text that is empty, too long or not visible ASCII.
    pub fn parse(caller: &CallerId, text: &str) -> Result<Self, KeyError> {
        let text = unquote(text);
        ensure!(
            !text.is_empty(),
            EmptySnafu {
                caller: caller.clone()
            }
        );
        let bytes = text.len();
        ensure!(
            bytes <= MAX_KEY_BYTES,
            TooLongSnafu {
                caller: caller.clone(),
                bytes
            }
        );
        if let Some(found) = text.chars().find(|c| !is_allowed(*c)) {
            return InvalidCharacterSnafu {
                caller: caller.clone(),
                found,
            }
            .fail();
        }
        Ok(Self {
            caller: caller.clone(),
            text: text.into(),
            minted: parse_timestamp(text),
        })
    }

    /// Caller.
    #[must_use]
    pub fn caller(&self) -> &CallerId {
        &self.caller
    }

    /// Text without quotes.
    #[must_use]
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Creation time in a UUIDv7 key, milliseconds since 1970; `None` for an opaque key.
    #[must_use]
    pub fn minted(&self) -> Option<Millis> {
        self.minted
    }

    /// The same key with a shared copy of its caller's name.
    pub(crate) fn with_caller(&self, caller: CallerId) -> Self {
        Self {
            caller,
            text: Arc::clone(&self.text),
            minted: self.minted,
        }
    }

    /// Index of the key's partition, from 0, if the service's keys are divided into `partitions`.
    ///
    /// The hash must be the same in all processes and versions: with another one, keys in use would
    /// be looked up in another partition and their calls could run again.
    #[must_use]
    pub fn partition(&self, partitions: u32) -> u32 {
        let caller = self.caller.as_str();
        let mut hash = Sha256::new();
        hash.update((caller.len() as u64).to_be_bytes());
        hash.update(caller);
        hash.update(self.text.as_bytes());
        let hash: [u8; 32] = hash.finalize().into();
        let prefix = hash.first_chunk().copied().unwrap_or_default();
        // The remainder of a division by a `u32` fits a `u32`.
        u32::try_from(u64::from_be_bytes(prefix) % u64::from(partitions.max(1))).unwrap_or_default()
    }

    /// Bytes of its text and its caller's name.
    pub(crate) fn heap_bytes(&self) -> usize {
        self.text.len() + self.caller.as_str().len()
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.caller, self.text)
    }
}

#[derive(Serialize, Deserialize)]
struct Raw {
    caller: CallerId,
    text: String,
}

impl TryFrom<Raw> for Key {
    type Error = KeyError;

    fn try_from(raw: Raw) -> Result<Self, KeyError> {
        Self::parse(&raw.caller, &raw.text)
    }
}

impl From<Key> for Raw {
    fn from(key: Key) -> Self {
        Self {
            caller: key.caller,
            text: key.text.to_string(),
        }
    }
}

fn unquote(text: &str) -> &str {
    text.strip_prefix('"')
        .and_then(|t| t.strip_suffix('"'))
        .unwrap_or(text)
}

fn is_allowed(c: char) -> bool {
    c.is_ascii_graphic() && c != '"'
}

fn parse_timestamp(text: &str) -> Option<Millis> {
    let id = Uuid::try_parse(text).ok()?;
    if id.get_version_num() != TIMESTAMP_VERSION {
        return None;
    }
    let (secs, nanos) = id.get_timestamp()?.to_unix();
    Some(Millis(secs * 1_000 + u64::from(nanos / 1_000_000)))
}

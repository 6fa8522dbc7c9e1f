//! Idempotency keys, and bearer keys.

use std::collections::BTreeSet;

use pumicecleat_config::model::{Caller, Config};
use pumicecleat_config::{KeyIndex, hash_key};
use pumicecleat_ledger::{Key, MAX_KEY_BYTES};
use pumicecleat_types::{CallerId, decode, encode};

use super::{Broken, Target, require};

const BEARER: &str = "demo-key";

/// Text of a key.
pub(super) struct KeyText;

impl Target for KeyText {
    fn name(&self) -> &'static str {
        "key"
    }

    fn samples(&self) -> Vec<Vec<u8>> {
        let texts = [
            "seat-41",
            "\"seat-41\"",
            "01936f5c-4e7a-7000-8000-000000000001",
            "urn:uuid:01936f5c-4e7a-7000-8000-000000000001",
            BEARER,
        ];
        texts.iter().map(|t| t.as_bytes().to_vec()).collect()
    }

    fn check(&self, input: &[u8]) -> Result<bool, Broken> {
        let text = String::from_utf8_lossy(input);
        check_bearer(&text)?;
        check_key(&text)
    }
}

fn check_key(text: &str) -> Result<bool, Broken> {
    let caller = CallerId::from("front-desk");
    let Ok(key) = Key::parse(&caller, text) else {
        return Ok(false);
    };
    require(key.caller() == &caller, "a key of another caller")?;
    let kept = key.text();
    require((1..=MAX_KEY_BYTES).contains(&kept.len()), "a key's length")?;
    let visible = kept.bytes().all(|b| b.is_ascii_graphic() && b != b'"');
    require(visible, "a key with a character not allowed")?;
    let again = Key::parse(&caller, kept).ok();
    require(again.as_ref() == Some(&key), "a key read twice differs")?;
    let sent = decode::<Key>(&encode(&key)).ok();
    require(sent.as_ref() == Some(&key), "a key changes on its way")?;
    let other = Key::parse(&CallerId::from("grower"), text).ok();
    require(other.is_some_and(|o| o != key), "two callers share a key")?;
    Ok(true)
}

/// The index finds who the comparison of all keys finds, and no other text opens it.
fn check_bearer(text: &str) -> Result<(), Broken> {
    let config = config();
    let index = KeyIndex::new(&config);
    let found = index.caller(text);
    require(
        found == config.caller_by_key(text),
        "index and comparison differ",
    )?;
    let holder = found.is_some();
    require(holder == (text == BEARER), "a wrong key opens")
}

fn config() -> Config {
    let caller = Caller {
        keys: BTreeSet::from([hash_key(BEARER)]),
        ..Caller::default()
    };
    let mut config = Config::default();
    config.callers.insert("front-desk".into(), caller);
    config
}

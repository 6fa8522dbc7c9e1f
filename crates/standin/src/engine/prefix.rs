//! Cache of prompt prefixes in limited memory: whole messages, the least recently used goes first.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::ChatMessage;

/// Prefixes that the cache holds.
const LIMIT: usize = 4096;

/// Cache of prefixes.
#[derive(Default)]
pub(crate) struct Prefixes {
    used: u64,
    by_hash: BTreeMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
}

impl Prefixes {
    /// Words of the longest prefix of `messages` in the cache; all its prefixes are kept then.
    pub(crate) fn visit(&mut self, lora: &str, messages: &[ChatMessage]) -> u64 {
        let mut hash = xxh3_64_with_seed(lora.as_bytes(), 0);
        let mut found = 0;
        let mut words = 0;
        for message in messages {
            for text in message.texts() {
                hash = xxh3_64_with_seed(text.as_bytes(), hash);
            }
            words += message.words();
            if self.touch(hash) {
                found = words;
            }
        }
        found
    }

    /// Empties the cache.
    pub(crate) fn clear(&mut self) {
        self.by_hash.clear();
        self.by_use.clear();
    }

    /// Marks a prefix as used now; tells whether it was there.
    fn touch(&mut self, hash: u64) -> bool {
        self.used += 1;
        let before = self.by_hash.insert(hash, self.used);
        self.by_use.insert(self.used, hash);
        if let Some(before) = before {
            self.by_use.remove(&before);
        }
        if self.by_hash.len() > LIMIT
            && let Some((_, oldest)) = self.by_use.pop_first()
        {
            self.by_hash.remove(&oldest);
        }
        before.is_some()
    }
}

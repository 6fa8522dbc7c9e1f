//! Cache of prompt prefixes in limited memory: whole messages, the least recently used goes first.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::ChatMessage;

/// Words of a message with the prefix that it ends, and when it was used.
#[derive(Clone, Copy)]
struct Held {
    words: u64,
    used: u64,
}

/// Cache of prefixes.
pub(crate) struct Prefixes {
    limit: u64,
    words: u64,
    used: u64,
    by_hash: BTreeMap<u64, Held>,
    by_use: BTreeMap<u64, u64>,
}

impl Prefixes {
    /// Empty cache of `limit` words.
    pub(crate) fn new(limit: u64) -> Self {
        Self {
            limit,
            words: 0,
            used: 0,
            by_hash: BTreeMap::new(),
            by_use: BTreeMap::new(),
        }
    }

    /// Words of the longest prefix of `messages` in the cache; all its prefixes are kept then.
    pub(crate) fn visit(&mut self, lora: &str, messages: &[ChatMessage]) -> u64 {
        let prefixes = prefixes(lora, messages);
        let known = prefixes.iter().take_while(|(hash, _)| self.holds(*hash));
        let found = known.map(|(_, words)| words).sum();
        // The end of a prompt goes before its beginning.
        for (hash, words) in prefixes.into_iter().rev() {
            self.touch(hash, words);
        }
        while self.words > self.limit {
            self.evict();
        }
        found
    }

    /// Empties the cache.
    pub(crate) fn clear(&mut self) {
        *self = Self::new(self.limit);
    }

    fn holds(&self, hash: u64) -> bool {
        self.by_hash.contains_key(&hash)
    }

    /// Marks a prefix as used now.
    fn touch(&mut self, hash: u64, words: u64) {
        self.used += 1;
        let used = self.used;
        let before = self.by_hash.insert(hash, Held { words, used });
        self.by_use.insert(used, hash);
        match before {
            Some(before) => drop(self.by_use.remove(&before.used)),
            None => self.words += words,
        }
    }

    fn evict(&mut self) {
        let oldest = self.by_use.pop_first();
        let held = oldest.and_then(|(_, hash)| self.by_hash.remove(&hash));
        self.words -= held.map_or(self.words, |held| held.words);
    }
}

/// Hash of each prefix of a LoRA's prompt, and the words of its last message.
fn prefixes(lora: &str, messages: &[ChatMessage]) -> Vec<(u64, u64)> {
    let mut hash = xxh3_64_with_seed(lora.as_bytes(), 0);
    let prefix = |message: &ChatMessage| {
        for text in message.texts() {
            hash = xxh3_64_with_seed(text.as_bytes(), hash);
        }
        (hash, message.words())
    };
    messages.iter().map(prefix).collect()
}

//! An engine's prefix cache: limited memory, the least recently used goes first.

use std::collections::BTreeMap;

use crate::policy::talk::Talk;

/// Tokens of a block: only whole ones are found.
const BLOCK: u32 = 16;

#[derive(Clone, Copy, Debug)]
struct Held {
    tokens: u32,
    used: u64,
}

/// Prefix cache of one engine.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    limit: u32,
    tokens: u32,
    uses: u64,
    held: BTreeMap<u64, Held>,
    by_use: BTreeMap<u64, u64>,
}

impl PrefixCache {
    pub(crate) fn new(limit: u32) -> Self {
        Self {
            limit,
            tokens: 0,
            uses: 0,
            held: BTreeMap::new(),
            by_use: BTreeMap::new(),
        }
    }

    /// Tokens of a prompt that are cached.
    pub(crate) fn cached(&self, talk: &Talk) -> u32 {
        if !self.held.contains_key(&talk.opening) {
            return 0;
        }
        let rest = self.held.get(&talk.root).map_or(0, |h| h.tokens);
        let found = (talk.shared + rest).min(talk.tokens - 1);
        found - found % BLOCK
    }

    /// Holds a prompt with so many tokens of its answer.
    pub(crate) fn keep(&mut self, talk: &Talk, answer: u32) {
        let rest = talk.tokens - talk.shared + answer;
        // The end of a prompt goes before its beginning.
        self.touch(talk.root, rest);
        self.touch(talk.opening, talk.shared);
        while self.tokens > self.limit {
            self.evict();
        }
    }

    pub(crate) fn clear(&mut self) {
        *self = Self::new(self.limit);
    }

    fn touch(&mut self, hash: u64, tokens: u32) {
        self.uses += 1;
        let used = self.uses;
        if let Some(before) = self.held.insert(hash, Held { tokens, used }) {
            self.by_use.remove(&before.used);
            self.tokens -= before.tokens;
        }
        self.by_use.insert(used, hash);
        self.tokens += tokens;
    }

    fn evict(&mut self) {
        let Some((_, hash)) = self.by_use.pop_first() else {
            return;
        };
        if let Some(held) = self.held.remove(&hash) {
            self.tokens -= held.tokens;
        }
    }
}

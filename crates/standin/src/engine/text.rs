//! Text of answers: token `i` follows from the LoRA's name, the user's messages and `i`.

use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

use super::ChatMessage;

const SYLLABLES: [&str; 16] = [
    "ka", "ta", "na", "ma", "ra", "la", "va", "sa", "ki", "ti", "ni", "mi", "ru", "lu", "vu", "su",
];
const WORD_SYLLABLES: usize = 6;
const SYLLABLE_BITS: usize = 4;

/// Source of one answer's tokens.
#[derive(Clone, Copy)]
pub(crate) struct Source {
    seed: u64,
}

impl Source {
    /// Source for a LoRA and the user's messages.
    pub(crate) fn new(lora_name: &str, messages: &[ChatMessage]) -> Self {
        let mut hash = Xxh3::new();
        update(&mut hash, lora_name);
        for message in messages.iter().filter(|m| m.is_user()) {
            for text in message.texts() {
                update(&mut hash, text);
            }
        }
        Self {
            seed: hash.digest(),
        }
    }

    /// Token `i`; all but the first begin with the space that parts them.
    pub(crate) fn token(self, i: u64) -> String {
        let hash = xxh3_64_with_seed(&i.to_le_bytes(), self.seed);
        let mut token = String::with_capacity(1 + 2 * WORD_SYLLABLES);
        if i > 0 {
            token.push(' ');
        }
        for n in 0..WORD_SYLLABLES {
            token.push_str(syllable(hash >> (n * SYLLABLE_BITS)));
        }
        token
    }
}

/// Tokens `from` to `from + count` of the answer that `lora_name` gives to `messages`.
#[must_use]
pub fn expected_tokens(
    lora_name: &str,
    messages: &[ChatMessage],
    from: u64,
    count: u64,
) -> Vec<String> {
    let source = Source::new(lora_name, messages);
    (from..from + count).map(|i| source.token(i)).collect()
}

/// Adds a text with its length, so that no two lists of texts run into one.
fn update(hash: &mut Xxh3, text: &str) {
    hash.update(&(text.len() as u64).to_le_bytes());
    hash.update(text.as_bytes());
}

fn syllable(bits: u64) -> &'static str {
    let mask = SYLLABLES.len() - 1;
    let low = usize::from(bits.to_le_bytes()[0]);
    SYLLABLES[low & mask]
}

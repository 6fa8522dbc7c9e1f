//! Conversations: prompts that share the adapter's first words and grow turn by turn.

use std::collections::BTreeMap;

use pumicecleat_policy::LoraIx;
use pumicecleat_types::Millis;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::trace::Ask;

/// Tokens that all prompts to an adapter share.
const SHARED: (u32, u32) = (350, 570);

/// Tokens of a caller's words in one turn.
const WORDS: (u32, u32) = (150, 400);

/// Tokens of a prompt at most.
const LONGEST: u32 = 2_400;

/// Part of requests that go on with a conversation, where their adapter has one.
const RETURNING: f64 = 0.6;

/// Time from a turn to the next at least, so that its answer is there, and at most.
const PAUSE: (Millis, Millis) = (Millis(20_000), Millis(180_000));

/// Separates the draws from the trace's own.
const SALT: u64 = 0x7461_6c6b;

/// One turn's prompt.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Talk {
    /// Hash of the adapter's first words.
    pub(super) opening: u64,
    /// Hash of the conversation.
    pub(super) root: u64,
    /// Tokens of the opening.
    pub(super) shared: u32,
    /// Tokens of the earlier turns, their answers included.
    pub(super) earlier: u32,
    /// Tokens of the prompt.
    pub(super) tokens: u32,
}

impl Talk {
    fn next(&self, answer: u32, words: u32) -> Option<Self> {
        let earlier = self.tokens + answer;
        let tokens = earlier + words;
        (tokens <= LONGEST).then_some(Self {
            earlier,
            tokens,
            ..*self
        })
    }
}

/// A conversation that may go on.
#[derive(Clone, Copy, Debug)]
struct Open {
    at: Millis,
    talk: Talk,
    answer: u32,
}

/// Gives each request its prompt; nothing else of the trace changes.
pub(super) fn draw(asks: &mut [Ask], seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ SALT);
    let mut open: BTreeMap<LoraIx, Vec<Open>> = BTreeMap::new();
    for (number, ask) in (0..).zip(asks) {
        let talks = open.entry(ask.lora).or_default();
        talks.retain(|o| ask.at.since(o.at) <= PAUSE.1);
        let words = rng.random_range(WORDS.0..=WORDS.1);
        let returns = rng.random::<f64>() < RETURNING;
        let ready = talks.iter().position(|o| ask.at.since(o.at) >= PAUSE.0);
        let before = ready.filter(|_| returns).map(|at| talks.remove(at));
        let next = before.and_then(|o| o.talk.next(o.answer, words));
        ask.talk = next.unwrap_or_else(|| begin(ask.lora, seed, number, words));
        talks.push(Open {
            at: ask.at,
            talk: ask.talk,
            answer: ask.tokens,
        });
    }
}

fn begin(lora: LoraIx, seed: u64, number: u64, words: u32) -> Talk {
    let opening = xxh3_64_with_seed(&lora.0.to_le_bytes(), seed);
    let wide = u64::from(SHARED.1 - SHARED.0 + 1);
    let more = u32::try_from(opening % wide).unwrap_or_default();
    let shared = SHARED.0 + more;
    Talk {
        opening,
        root: xxh3_64_with_seed(&number.to_le_bytes(), opening),
        shared,
        earlier: 0,
        tokens: shared + words,
    }
}

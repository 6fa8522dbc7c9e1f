//! What prompts take at engines, and what these keep of them.

use pumicecleat_policy::{JobId, PromptAffinity};
use pumicecleat_types::Millis;

use super::event::Call;
use super::{Try, World};
use crate::policy::shape::{LATENCY, PREFILL};

impl World<'_> {
    /// A call's prompt, where prompts are modelled.
    pub(super) fn prompt(&self, call: Call) -> Option<PromptAffinity> {
        let talk = &self.trace.asks[call.ask].talk;
        self.shape.prefix.map(|_| PromptAffinity {
            conversation_hash: talk.root,
            earlier_tokens: talk.earlier,
        })
    }

    /// Time that a prompt takes at its engine, where prompts are modelled.
    pub(super) fn read_prompt(&mut self, id: JobId) -> Option<Millis> {
        self.shape.prefix?;
        let attempt = self.tries.get(&id)?;
        let talk = self.trace.asks[attempt.call.ask].talk;
        let cache = &mut self.machines[attempt.up.0 as usize].cache;
        let cached = cache.cached(&talk);
        cache.keep(&talk, 0);
        let span = Millis(u64::from((talk.tokens - cached).div_ceil(PREFILL)));
        let tally = &mut self.tally;
        tally.prefill = tally.prefill + span;
        tally.prompted += u64::from(talk.tokens);
        tally.cached += u64::from(cached);
        Some(span)
    }

    /// A request got its first token.
    pub(super) fn begun(&mut self, id: JobId) {
        if let Some(attempt) = self.tries.get(&id) {
            let asked = self.trace.asks[attempt.call.ask].at;
            let first = (self.clock.now() + LATENCY).since(asked);
            self.tally.firsts.push(first);
        }
    }

    /// An answer was whole: the engine has cached it too.
    pub(super) fn keep_answer(&mut self, attempt: &Try) {
        if self.shape.prefix.is_some() {
            let ask = &self.trace.asks[attempt.call.ask];
            let cache = &mut self.machines[attempt.up.0 as usize].cache;
            cache.keep(&ask.talk, ask.tokens);
        }
    }
}

//! Affinity to cached prompt prefixes.
//!
//! Each conversation is assigned one of its adapter's holders by hash, so that its turns reach an
//! engine that has the earlier ones cached. Every entry computes the same holder, without stored
//! state or messages between entries. A wrong assignment only costs time.

use super::Router;
use super::upstream::Residency;
use crate::{LoraIx, PoolIx, UpstreamIx};

/// Most holders that are all compared by rendezvous hash; above it, the hash ring is searched.
const MAX_RENDEZVOUS_HOLDERS: usize = 128;

/// Properties of a chat prompt that prefix affinity depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptAffinity {
    /// Hash of the conversation's first messages and the adapter's version; the same for all its
    /// turns.
    pub conversation_hash: u64,
    /// Approximate number of tokens in the earlier turns; 0 in the first turn.
    pub earlier_tokens: u32,
}

/// Holder preferred for a cached prefix, and what it saves.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AffinityTarget {
    holder: Option<UpstreamIx>,
    /// Prefill time saved at the holder, microseconds.
    saved_us: u64,
}

impl AffinityTarget {
    /// Holder to add to the candidates.
    pub(super) fn holder(&self) -> Option<UpstreamIx> {
        self.holder
    }
}

impl Router {
    /// Holder that the turns of a conversation are assigned to, at every entry.
    #[must_use]
    pub fn affinity_holder(
        &self,
        pool: PoolIx,
        lora: LoraIx,
        conversation_hash: u64,
    ) -> Option<UpstreamIx> {
        let pool = self.pools.get(pool.0 as usize)?;
        let holders = pool.holders.of(lora);
        if holders.len() > MAX_RENDEZVOUS_HOLDERS {
            return pool.ring.first_holder_after(conversation_hash, holders);
        }
        let holders = holders.iter().copied();
        holders.max_by_key(|up| self.rendezvous_rank(*up, conversation_hash))
    }

    pub(super) fn affinity_target(
        &self,
        pool: PoolIx,
        lora: Option<LoraIx>,
        prompt: Option<PromptAffinity>,
    ) -> AffinityTarget {
        let (Some(lora), Some(prompt), Some(holder_tokens)) =
            (lora, prompt, self.options.affinity_tokens)
        else {
            return AffinityTarget::default();
        };
        let tokens = u64::from(prompt.earlier_tokens) + u64::from(holder_tokens);
        AffinityTarget {
            holder: self.affinity_holder(pool, lora, prompt.conversation_hash),
            saved_us: tokens * self.options.prefill_us,
        }
    }

    /// Prefill time saved by the prefix cached at an upstream, microseconds. It is 0 if the adapter
    /// is not resident or the batch has no room, so that no request waits for a load or in a queue
    /// because of a cached prefix.
    pub(super) fn prefix_saving_us(
        &self,
        up: UpstreamIx,
        residency: Residency,
        target: &AffinityTarget,
    ) -> u64 {
        let is_target = target.holder == Some(up) && residency == Residency::Resident;
        let has_room = self
            .upstreams
            .get(up.0 as usize)
            .is_some_and(|u| u.batch_room() > 0);
        if is_target && has_room {
            target.saved_us
        } else {
            0
        }
    }
}

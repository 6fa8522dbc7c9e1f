//! Affinity to cached prompt prefixes: the holder at which a conversation's turns meet.
//!
//! Among an adapter's holders each conversation has one by hash, the same at every entry, so that
//! nothing is kept or told. It only costs time where it is wrong.

use super::Router;
use super::upstream::Hold;
use crate::{LoraIx, PoolIx, UpstreamIx};

/// Holders up to which a conversation's own is found by comparing all.
const COMPARED: usize = 128;

/// A chat's prompt, as far as affinity goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptAffinity {
    /// Hash that all turns of a conversation share, of its first messages and the adapter's version.
    pub conversation_hash: u64,
    /// Tokens of its earlier turns, about; 0 in a first one.
    pub earlier_tokens: u32,
}

/// What a choice aims at beside a short wait.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Aim {
    meeting: Option<UpstreamIx>,
    /// Time that is saved there, microseconds.
    saved: u64,
}

impl Aim {
    /// Candidate.
    pub(super) fn meeting(&self) -> Option<UpstreamIx> {
        self.meeting
    }
}

impl Router {
    /// Holder at which the turns of a conversation meet, whatever entry they come to.
    #[must_use]
    pub fn affinity_holder(&self, pool: PoolIx, lora: LoraIx, root: u64) -> Option<UpstreamIx> {
        let pool = self.pools.get(pool.0 as usize)?;
        let holders = pool.holders.of(lora);
        if holders.len() > COMPARED {
            return pool.ring.first_of(root, holders);
        }
        let holders = holders.iter().copied();
        holders.max_by_key(|up| self.rank(*up, root))
    }

    pub(super) fn aim(
        &self,
        pool: PoolIx,
        lora: Option<LoraIx>,
        prompt: Option<PromptAffinity>,
    ) -> Aim {
        let (Some(lora), Some(prompt), Some(first)) = (lora, prompt, self.options.affinity_tokens)
        else {
            return Aim::default();
        };
        let tokens = u64::from(prompt.earlier_tokens) + u64::from(first);
        Aim {
            meeting: self.affinity_holder(pool, lora, prompt.conversation_hash),
            saved: tokens * self.options.prefill_us,
        }
    }

    /// Time saved at an upstream by what it has cached, microseconds. Nothing where the adapter is
    /// not resident or the batch has no room, so that no request waits for a load or in a queue for
    /// the sake of a prefix.
    pub(super) fn saved_us(&self, up: UpstreamIx, hold: Hold, aim: &Aim) -> u64 {
        let there = aim.meeting == Some(up) && hold == Hold::Resident;
        let room = self
            .upstreams
            .get(up.0 as usize)
            .is_some_and(|u| u.room() > 0);
        if there && room { aim.saved } else { 0 }
    }
}

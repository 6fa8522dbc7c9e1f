//! Naive choice: the upstream with the fewest requests, as last heard.

use std::collections::BTreeMap;

use pumicecleat_policy::{AttemptOutcome, LoraIx, UpstreamIx, UpstreamStatus};
use pumicecleat_types::{Millis, Reason};

use super::{Choose, Question, View};

/// Retry-After where no upstream is usable.
const RETRY: Millis = Millis(1_000);

#[derive(Clone, Copy, Debug, Default)]
struct Known {
    usable: bool,
    requests: u32,
}

/// Least loaded upstream, ties by turns.
pub(super) struct LeastLoaded {
    known: BTreeMap<UpstreamIx, Known>,
    turn: u32,
}

impl LeastLoaded {
    pub(super) fn new(entry: u32) -> Self {
        Self {
            known: BTreeMap::new(),
            turn: entry,
        }
    }
}

impl Choose for LeastLoaded {
    fn report(&mut self, up: UpstreamIx, state: &UpstreamStatus, _view: &View, _now: Millis) {
        let known = Known {
            usable: state.healthy && !state.leaving,
            requests: state.load.running + state.load.waiting,
        };
        self.known.insert(up, known);
    }

    fn choose(&mut self, question: &Question<'_>, _now: Millis) -> Result<UpstreamIx, Millis> {
        self.turn = self.turn.wrapping_add(1);
        let count = u32::try_from(self.known.len()).unwrap_or(u32::MAX).max(1);
        let turn = self.turn % count;
        let open = |up: &UpstreamIx| !question.tried.contains(up);
        self.known
            .iter()
            .filter(|(up, k)| k.usable && open(up))
            .min_by_key(|(up, k)| (k.requests, (up.0 + turn) % count))
            .map(|(up, _)| *up)
            .ok_or(RETRY)
    }

    fn sent(&mut self, up: UpstreamIx, _lora: LoraIx, _now: Millis) {
        if let Some(known) = self.known.get_mut(&up) {
            known.requests += 1;
        }
    }

    fn ended(&mut self, up: UpstreamIx, _lora: LoraIx, outcome: AttemptOutcome, _now: Millis) {
        let Some(known) = self.known.get_mut(&up) else {
            return;
        };
        known.requests = known.requests.saturating_sub(1);
        let gone = matches!(
            outcome,
            AttemptOutcome::Failed
                | AttemptOutcome::Refused(Reason::Leaving | Reason::UpstreamDown, _)
        );
        known.usable &= !gone;
    }
}

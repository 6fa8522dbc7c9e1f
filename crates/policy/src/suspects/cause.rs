//! Suspects that trials have shown to end upstreams.
//!
//! A suspect whose trial has shown that it ends upstreams is the cause of all ends at which it was in progress, so
//! these no longer count against those that were in progress beside it.
//!
//! Parts of prompts that were tried together in one request share the evidence: it blocks requests with all of them and
//! none of the parts alone. A part that is cleared or otherwise explained leaves the set; what remains is the cause.

use std::collections::BTreeSet;

use pumicecleat_types::{Millis, SuspectKey, SuspectKind};

use super::suspect::{End, Suspect};
use super::table::SUSPECT_TTL;
use super::{SuspectTable, min_failed_trials};

/// Number of other upstreams that end at the same time from which an end is taken for part of a larger loss.
const MIN_ENDS_OF_LOSS: usize = 2;

/// Number of suspects in a chain of explanations that are followed.
const EXPLANATION_DEPTH: usize = 2;

impl SuspectTable {
    /// Time until a suspect may be retried, if it alone is known to have caused an end.
    #[must_use]
    pub fn retry_after(&self, key: &SuspectKey, now: Millis) -> Option<Millis> {
        self.blocked_for(key, &[*key], now)
    }

    /// Suspect among the `keys` of a request that is known to end upstreams, or belongs to a set of parts of which one
    /// does and which the request contains as a whole; the one that is refused longest, with the time left.
    #[must_use]
    pub fn blocking_cause(&self, keys: &[SuspectKey], now: Millis) -> Option<(Millis, SuspectKey)> {
        // The one refused longest is looked for first, as a look at each part of a set costs as much.
        let known = keys
            .iter()
            .filter_map(|key| Some((self.suspects.get(key)?.last_activity, *key)));
        let mut by_activity: Vec<(Millis, SuspectKey)> = known.collect();
        by_activity.sort_unstable();
        let mut latest = by_activity.into_iter().rev();
        latest.find_map(|(_, key)| Some((self.blocked_for(&key, keys, now)?, key)))
    }

    /// Time for which requests with all of `keys` are refused because of `key`, one of them.
    fn blocked_for(&self, key: &SuspectKey, keys: &[SuspectKey], now: Millis) -> Option<Millis> {
        let suspect = self.suspects.get(key)?;
        let remaining = (suspect.last_activity + SUSPECT_TTL).since(now);
        let is_blocked = remaining > Millis(0) && self.is_cause_in(keys, key, suspect);
        is_blocked.then_some(remaining)
    }

    /// Whether trials have shown that the suspect, or another one of `keys` that was tried together with it, ends
    /// upstreams.
    fn is_cause_in(&self, keys: &[SuspectKey], key: &SuspectKey, suspect: &Suspect) -> bool {
        let shown = self.failed_trials(key, suspect);
        let shown = shown.filter(|end| self.is_caused_within(keys, *end));
        let needed = min_failed_trials(key.kind);
        shown.take(needed).count() == needed
    }

    /// Trials of the suspect under which an upstream ended and that nothing else explains.
    fn failed_trials(&self, key: &SuspectKey, suspect: &Suspect) -> impl Iterator<Item = u64> {
        let tried = suspect.open_ends().filter(|(_, end)| end.alone);
        let shown = tried.filter(move |(end, e)| {
            self.is_evidence(key, suspect, *end, e) && !self.is_explained(key, suspect, *end)
        });
        shown.map(|(end, _)| end)
    }

    /// Whether the end of an upstream, in a trial, shows that one of `keys` is the cause. Parts that were tried once only
    /// don't count, as the others were tried without them as well.
    fn is_caused_within(&self, keys: &[SuspectKey], end: u64) -> bool {
        let mut others = self.suspects_of(end);
        others.all(|(key, suspect)| {
            keys.contains(key) || self.is_explained(key, suspect, end) || {
                let needed = min_failed_trials(key.kind);
                self.failed_trials(key, suspect).take(needed).count() < needed
            }
        })
    }

    /// Parts of prompts that were tried together when this upstream ended and may have caused it.
    fn suspects_of(&self, end: u64) -> impl Iterator<Item = (&SuspectKey, &Suspect)> {
        let parts = self.tried_together.get(&end).into_iter().flatten();
        let known = parts.filter_map(|key| Some((key, self.suspects.get(key)?)));
        known.filter(move |(_, suspect)| suspect.may_have_caused(end))
    }

    /// Whether requests are refused that contain this part and all others of a set.
    pub(super) fn belongs_to_blocked_set(&self, key: &SuspectKey) -> bool {
        let suspect = self.suspects.get(key);
        let needed = min_failed_trials(key.kind);
        suspect.is_some_and(|s| self.failed_trials(key, s).take(needed).count() == needed)
    }

    /// Parts of prompts that were tried together with a suspect, and itself.
    pub(super) fn related_parts(&self, key: &SuspectKey) -> BTreeSet<SuspectKey> {
        let suspect = self.suspects.get(key);
        let tried = suspect.into_iter().flat_map(Suspect::open_ends);
        let together = tried.filter(|(_, end)| end.alone);
        let related = together.flat_map(|(end, _)| self.suspects_of(end));
        let related = related.map(|(key, _)| *key);
        related.chain([*key]).collect()
    }

    /// Whether an end at which the suspect was alone shows that it is the cause. It doesn't for parts of prompts if
    /// several upstreams ended at the same time at which one of the parts was not in progress.
    fn is_evidence(&self, key: &SuspectKey, suspect: &Suspect, end_key: u64, end: &End) -> bool {
        if !end.alone || key.kind == SuspectKind::Request {
            return end.alone;
        }
        let ends = || self.end_times.simultaneous(end.at);
        if ends().take(MIN_ENDS_OF_LOSS + 1).count() <= MIN_ENDS_OF_LOSS {
            return true;
        }
        let is_local = |part: &Suspect| {
            let elsewhere = ends().filter(|other| !part.was_present(*other));
            elsewhere.count() < MIN_ENDS_OF_LOSS
        };
        let mut together = self.suspects_of(end_key);
        is_local(suspect) && together.all(|(_, part)| is_local(part))
    }

    /// Whether another suspect is known to have caused this end.
    pub(super) fn is_explained(&self, key: &SuspectKey, suspect: &Suspect, end: u64) -> bool {
        self.is_explained_to(EXPLANATION_DEPTH, key, suspect, end)
    }

    /// Same, where the trials of the other suspect count only as far as no third one explains them, up to `depth`.
    fn is_explained_to(&self, depth: usize, key: &SuspectKey, suspect: &Suspect, end: u64) -> bool {
        let count = suspect.open_count();
        let fits_trials = suspect.tried_count() >= min_failed_trials(key.kind);
        let shares_trial = |end: u64| fits_trials && suspect.was_tried(end);
        let mut others = self.tried_alone.iter().filter(|other| *other != key);
        depth > 0
            && others.any(|other_key| {
                let other = self.suspects.get(other_key);
                let Some(other) = other.filter(|o| o.may_have_caused(end)) else {
                    return false;
                };
                // Of two suspects at the same ends, the one under which more upstreams ended is the cause, unless they
                // were tried together as often as it takes to show a cause.
                let has_more = other.open_count() > count;
                let is_other =
                    |shown: u64| !suspect.was_present(shown) || (has_more && !shares_trial(shown));
                let needed = min_failed_trials(other_key.kind);
                let tried = || {
                    let ends = other.open_ends();
                    ends.filter(|(shown, e)| e.alone && is_other(*shown))
                };
                if tried().take(needed).count() < needed {
                    return false;
                }
                let shown = tried().filter(|(shown, e)| {
                    self.is_evidence(other_key, other, *shown, e)
                        && self
                            .suspects_of(*shown)
                            .all(|(_, part)| part.may_have_caused(end))
                        && !self.is_explained_to(depth - 1, other_key, other, *shown)
                });
                shown.take(needed).count() == needed
            })
    }
}

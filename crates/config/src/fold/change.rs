//! Verdicts on changes.

use super::Fold;
use super::event::{FoldEvent, RefusalCause, Verdict, truncated};
use super::record::{Change, SettledChange};
use crate::model::ItemKey;
use crate::state::ApplyError;

impl Fold {
    /// Decides on a change, and remembers the verdict.
    pub(super) fn decide(&mut self, offset: u64, change: Change) -> FoldEvent {
        let id = change.id.clone();
        if self.window.verdict(&id).is_some() {
            return FoldEvent::AlreadySettled { id };
        }
        let result = self.try_apply(&change);
        let verdict = match &result {
            Ok(_) => {
                self.revision = offset.saturating_add(1);
                let revision = self.revision;
                Verdict::Accepted { revision }
            }
            Err(cause) => Verdict::Refused(cause.clone()),
        };
        let id = change.id;
        let settled = SettledChange {
            id: id.clone(),
            offset,
            verdict,
        };
        self.window.push(settled);
        let revision = self.revision;
        match result {
            Ok(touched) => {
                self.window.record_revision(revision, self.state.digest());
                FoldEvent::Accepted {
                    id,
                    revision,
                    touched,
                }
            }
            Err(cause) => FoldEvent::Refused { id, cause },
        }
    }

    fn try_apply(&mut self, change: &Change) -> Result<Vec<ItemKey>, RefusalCause> {
        if change.base != self.revision {
            return Err(RefusalCause::Stale {
                base: change.base,
                revision: self.revision,
            });
        }
        let result = self.state.apply(&change.delta, change.digest);
        result.map_err(|error| match error {
            ApplyError::Delta(error) => RefusalCause::Delta {
                detail: truncated(&error),
            },
            ApplyError::Faults(faults) => RefusalCause::faulty(&faults),
            ApplyError::Digest => RefusalCause::Digest,
        })
    }
}

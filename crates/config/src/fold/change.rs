//! Verdicts on changes.

use super::Fold;
use super::event::{FoldEvent, RefusalCause, Verdict, short};
use super::record::{Change, SettledChange};
use crate::model::ItemKey;
use crate::state::Denial;

impl Fold {
    pub(super) fn judge(&mut self, offset: u64, change: Change) -> FoldEvent {
        let id = change.id.clone();
        if self.window.verdict(&id).is_some() {
            return FoldEvent::AlreadySettled { id };
        }
        let result = self.try_change(&change);
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
                self.window.reach(revision, self.state.digest());
                FoldEvent::Accepted {
                    id,
                    revision,
                    touched,
                }
            }
            Err(cause) => FoldEvent::Refused { id, cause },
        }
    }

    fn try_change(&mut self, change: &Change) -> Result<Vec<ItemKey>, RefusalCause> {
        if change.base != self.revision {
            return Err(RefusalCause::Stale {
                base: change.base,
                revision: self.revision,
            });
        }
        let result = self.state.advance(&change.delta, change.digest);
        result.map_err(|denial| match denial {
            Denial::Delta(error) => RefusalCause::Delta {
                detail: short(&error),
            },
            Denial::Faults(faults) => RefusalCause::faulty(&faults),
            Denial::Digest => RefusalCause::Digest,
        })
    }
}

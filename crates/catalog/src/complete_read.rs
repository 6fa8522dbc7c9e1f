//! A read of the list to its end, as processes tell each other of it.

use std::cmp::Ordering;

use pumicecleat_types::{ListRead, Millis, Position};

/// A read of the list to its end.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Listed {
    /// Its end.
    pub(crate) end: Position,
    /// When the list was whole up to there.
    pub(crate) at: Millis,
}

impl Listed {
    /// What was told of a read, if this process ran then.
    pub(crate) fn heard(read: ListRead, now: Millis) -> Option<Self> {
        let at = Millis(now.0.checked_sub(read.age_ms)?);
        Some(Self { end: read.end, at })
    }

    pub(crate) fn told(self, now: Millis) -> ListRead {
        ListRead {
            end: self.end,
            age_ms: now.since(self.at).0,
        }
    }

    /// The later of two reads. Word of one and the same that took long on its way looks younger than it
    /// is; passed on again and again it would never age.
    pub(crate) fn join(self, other: Self) -> Self {
        match self.end.cmp(&other.end) {
            Ordering::Less => other,
            Ordering::Greater => self,
            Ordering::Equal => Self {
                at: self.at.min(other.at),
                ..self
            },
        }
    }
}

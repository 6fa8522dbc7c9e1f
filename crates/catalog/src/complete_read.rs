//! Complete reads of the list of upstreams and their form in messages between processes.

use std::cmp::Ordering;

use pumicecleat_types::{EndRead, Millis, Position};

/// A read of the list of upstreams up to its end.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CompleteRead {
    /// Position of the end that the read found.
    pub(crate) end: Position,
    /// Time as of which the read was complete.
    pub(crate) as_of: Millis,
}

impl CompleteRead {
    /// Converts a received message; `None` if the read is older than this process's clock.
    pub(crate) fn from_message(read: EndRead, now: Millis) -> Option<Self> {
        let as_of = Millis(now.0.checked_sub(read.age_ms)?);
        Some(Self {
            end: read.end,
            as_of,
        })
    }

    pub(crate) fn to_message(self, now: Millis) -> EndRead {
        EndRead {
            end: self.end,
            age_ms: now.since(self.as_of).0,
        }
    }

    /// Returns the later of two reads, or the earlier time of two messages about the same read. A message
    /// that was delayed in transit makes its read appear younger than it is; if the latest message counted,
    /// a read that processes keep passing on would never age.
    pub(crate) fn merge(self, other: Self) -> Self {
        match self.end.cmp(&other.end) {
            Ordering::Less => other,
            Ordering::Greater => self,
            Ordering::Equal => Self {
                as_of: self.as_of.min(other.as_of),
                ..self
            },
        }
    }
}

//! A request's place in the queue and at the upstream.

use async_channel::{Receiver, Sender};
use pumicecleat_policy::{GiveUp, JobId};
use pumicecleat_types::{Millis, Reason};

use super::Station;

/// The scheduler's word on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Word {
    /// Send it now.
    Go,
    /// Not run.
    Refused(GiveUp),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Waiting,
    Sent,
    Ended,
}

/// A request's place, given back when dropped.
pub(crate) struct Ticket {
    station: Station,
    id: JobId,
    word: Receiver<Word>,
    stage: Stage,
}

impl Ticket {
    pub(super) fn new(station: &Station, id: JobId) -> (Sender<Word>, Self) {
        let (sender, word) = async_channel::bounded(1);
        let ticket = Self {
            station: station.clone(),
            id,
            word,
            stage: Stage::Waiting,
        };
        (sender, ticket)
    }

    /// The scheduler's word, once it is given.
    pub(crate) async fn wait(&mut self) -> Word {
        let word = self.word.recv().await.unwrap_or(Word::Refused(GiveUp {
            reason: Reason::UpstreamDown,
            retry: Millis(1_000),
        }));
        self.stage = match word {
            Word::Go => Stage::Sent,
            Word::Refused(_) => Stage::Ended,
        };
        word
    }

    /// The answer ended, whole or by the upstream's own end of it.
    pub(crate) fn finish(&mut self, whole: bool) {
        if self.stage == Stage::Sent {
            self.stage = Stage::Ended;
            self.station.finish(self.id, whole);
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        match self.stage {
            Stage::Waiting => self.leave_queue(),
            Stage::Sent => self.station.finish_later(self.id),
            Stage::Ended => {}
        }
    }
}

impl Ticket {
    fn leave_queue(&self) {
        match self.word.try_recv() {
            // Sent between the word and this drop: nothing has gone to the upstream yet.
            Ok(Word::Go) => self.station.finish(self.id, false),
            Ok(Word::Refused(_)) => {}
            Err(_) => self.station.withdraw(self.id),
        }
    }
}

//! Appending what the stream lacks: outcomes and withdrawals, until they are read back.

use std::collections::BTreeMap;
use std::time::Duration;

use async_channel::Receiver;
use pumicecleat_infra::SubmitError;
use pumicecleat_ledger::{Attempt, Record};
use pumicecleat_ops::{events, field};
use pumicecleat_types::Millis;

use super::part::Part;

/// Time after which what is owed and not read back is appended again.
const AGAIN: Millis = Millis(1_000);

/// When each record owed was appended last.
type Appended = BTreeMap<Attempt, Millis>;

impl Part {
    /// Appends what is owed whenever there is something, until the part is closed.
    pub(super) async fn write(&self, due: Receiver<()>) {
        let mut appended = Appended::new();
        while !self.state.closed.get() {
            let span = Duration::from_millis(AGAIN.0);
            // Woken or not, what is owed is looked at.
            let _ = self.state.timer.within(span, due.recv()).await;
            let records = self.owed_now(&mut appended);
            if !records.is_empty() {
                let data = Record::encode_batch(&records);
                let written = self.state.appender.append(data).await;
                self.note_append(written.err().as_ref());
            }
        }
    }

    fn owed_now(&self, appended: &mut Appended) -> Vec<Record> {
        let mut records = Vec::new();
        let ledger = self.state.ledger.borrow();
        let now = self.state.timer.now();
        let mut kept = Appended::new();
        for record in ledger.pending_records() {
            let attempt = record.attempt();
            let last = appended.get(attempt).copied();
            let due = last.is_none_or(|at| now.since(at) >= AGAIN);
            if due {
                records.push(record.clone());
            }
            kept.insert(attempt.clone(), last.filter(|_| !due).unwrap_or(now));
        }
        *appended = kept;
        records
    }

    /// Logs an append without a word that it stands.
    pub(super) fn note_append(&self, error: Option<&SubmitError>) {
        let Some(error) = error else {
            return;
        };
        let fields = [
            field("stream", &self.state.stream),
            field("step", "append"),
            field("error", error),
        ];
        self.state.events.emit(&events::APPEND_UNSURE, &fields);
    }
}

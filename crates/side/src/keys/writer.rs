//! Appending intents and outcomes: many in one append, one append at a time.

use std::collections::BTreeMap;
use std::time::Duration;

use async_channel::Receiver;
use pumicecleat_ledger::{Attempt, Record};
use pumicecleat_ops::{events, field};
use pumicecleat_platform::AppendError;
use pumicecleat_types::Millis;

use super::Keys;

/// Shortest time between two appends: with some tens of sides they stay within the log's rate.
const PACE: Duration = Duration::from_millis(10);
/// Time after which what is owed and not read back is appended again.
const AGAIN: Millis = Millis(1_000);
const PAUSE: Duration = Duration::from_millis(200);

/// When each record owed was appended last.
type Appended = BTreeMap<Attempt, Millis>;

impl Keys {
    /// Appends whenever there is something to append; never ends.
    pub(super) async fn write(&self, due: Receiver<()>) {
        let mut appended = Appended::new();
        loop {
            let span = Duration::from_millis(AGAIN.0);
            // Woken or not, what is owed is looked at.
            let _ = self.state.timer.within(span, due.recv()).await;
            let records = self.collect(&mut appended);
            if !records.is_empty() {
                self.append_all(&records).await;
            }
            self.state.timer.sleep(PACE).await;
        }
    }

    fn collect(&self, appended: &mut Appended) -> Vec<Record> {
        let mut records = std::mem::take(&mut *self.state.outbox.borrow_mut());
        let ledger = self.state.ledger.borrow();
        let now = self.state.timer.now();
        let mut kept = Appended::new();
        for record in ledger.owed() {
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

    async fn append_all(&self, records: &[Record]) {
        let data = Record::encode_batch(records);
        let appended = self.state.log.append(&self.state.stream, vec![data]).await;
        let Err(error) = appended else {
            return;
        };
        let fields = [
            field("stream", &self.state.stream),
            field("step", "append"),
            field("error", &error),
        ];
        self.state.events.emit(&events::APPEND_UNSURE, &fields);
        if let AppendError::Refused { .. } = error {
            self.give_up(records);
        }
        self.state.timer.sleep(PAUSE).await;
    }

    /// Ends the wait of intents that the log refused; each claim makes its attempt void.
    fn give_up(&self, records: &[Record]) {
        let mut waiting = self.state.waiting.borrow_mut();
        for record in records {
            if let Record::Intent(intent) = record {
                waiting.remove(&intent.attempt);
            }
        }
    }
}

//! Appends the records that the stream lacks, outcomes and withdrawals, until they are read back.

use std::collections::BTreeMap;
use std::time::Duration;

use async_channel::Receiver;
use pumicecleat_infra::SubmitError;
use pumicecleat_ledger::{Attempt, Record};
use pumicecleat_ops::{events, field};
use pumicecleat_types::Millis;

use super::part::Part;

/// Time after which an owed record that has not been read back is appended again.
const REAPPEND_INTERVAL: Millis = Millis(1_000);

/// Time of the latest append of each owed record.
type AppendTimes = BTreeMap<Attempt, Millis>;

impl Part {
    /// Appends owed records as they become due, until the part is closed.
    pub(super) async fn write_owed(&self, woken: Receiver<()>) {
        let mut append_times = AppendTimes::new();
        while !self.state.closed.get() {
            let timeout = Duration::from_millis(REAPPEND_INTERVAL.0);
            // Owed records are checked both when woken and at each timeout.
            let _ = self.state.timer.within(timeout, woken.recv()).await;
            let records = self.due_records(&mut append_times);
            if !records.is_empty() {
                let data = Record::encode_batch(&records);
                let written = self.state.appender.append(data).await;
                self.log_append_error(written.err().as_ref());
            }
        }
    }

    fn due_records(&self, append_times: &mut AppendTimes) -> Vec<Record> {
        let mut records = Vec::new();
        let ledger = self.state.ledger.borrow();
        let now = self.state.timer.now();
        let mut current = AppendTimes::new();
        for record in ledger.pending_records() {
            let attempt = record.attempt();
            let last = append_times.get(attempt).copied();
            let due = last.is_none_or(|at| now.since(at) >= REAPPEND_INTERVAL);
            if due {
                records.push(record.clone());
            }
            current.insert(attempt.clone(), last.filter(|_| !due).unwrap_or(now));
        }
        *append_times = current;
        records
    }

    /// Logs an append that failed or is not known to have succeeded.
    pub(super) fn log_append_error(&self, error: Option<&SubmitError>) {
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

//! The author of changes: one adapter's new version at a time.

use std::sync::Arc;
use std::time::{Duration, Instant};

use pumicecleat_config::model::Config;
use pumicecleat_config::{Change, ChangeId, Fold, Record};
use pumicecleat_infra::{HttpLog, Log, Peers};
use pumicecleat_net::{Client, ClientOptions, Timer};

use super::Shared;
use crate::slopes::fleet::{adapter, adapter_name};

/// Stream of the configuration.
const STREAM: &str = "config";

/// Time between two changes: 39,000 a day.
const PACE: Duration = Duration::from_millis(2_215);

/// Records of one read.
const RECORDS: u32 = 256;

/// Longest wait for the log.
const SPAN: Duration = Duration::from_secs(20);

/// Author with what it knows of the configuration.
struct Author {
    records: HttpLog,
    fold: Fold,
    config: Config,
}

/// Appends changes to the log at `log` for a time, on a loop of its own.
pub(super) fn run_for(log: String, adapters: u32, span: Duration, shared: &Arc<Shared>) {
    let shared = Arc::clone(shared);
    let ended = pumicecleat_net::run(async move {
        let timer = Timer::start();
        let client = Client::new_ext(ClientOptions::default(), &timer);
        let records = HttpLog::new(&client, Peers::parse(&log), SPAN);
        let mut author = Author::start(records).await;
        let from = Instant::now();
        let mut version = 0;
        while from.elapsed() < span {
            let next = timer.now() + pumicecleat_types::Millis(millis(PACE));
            version += 1;
            author.change(version, adapters, &shared).await;
            timer.sleep_until(next).await;
        }
    });
    ended.expect("a loop starts where others have");
}

impl Author {
    /// Reads the first configuration.
    async fn start(records: HttpLog) -> Self {
        let mut author = Self {
            records,
            fold: Fold::new(),
            config: Config::default(),
        };
        author.read_on().await;
        author.config = author.fold.config().clone();
        author
    }

    /// Reads the log to its end: entries append snapshots to it.
    async fn read_on(&mut self) {
        loop {
            let from = self.fold.next();
            let read = self.records.read(STREAM, from, RECORDS, Duration::ZERO);
            let batch = read.await.expect("the log answers");
            for record in &batch.records {
                self.fold.apply(record).expect("in order");
            }
            if batch.records.is_empty() {
                return;
            }
        }
    }

    async fn change(&mut self, version: u32, adapters: u32, shared: &Shared) {
        let n = version * 7 % adapters;
        let declared = adapter(n, version);
        self.config
            .adapters
            .insert(adapter_name(n).into(), declared);
        let base = self.fold.revision();
        let id = ChangeId::try_from(format!("change-{version}")).expect("a short id");
        let change = Change::new(id, base, self.fold.config(), &self.config, "measure");
        let data = Record::Change(Box::new(change)).to_bytes();
        let guess = self.fold.next() + 1;
        let before = Instant::now();
        shared.note(guess, before);
        let appended = self.records.append(STREAM, vec![data]).await;
        let revision = appended.expect("the log takes a change").first + 1;
        if revision != guess {
            shared.forget(guess);
            shared.note(revision, before);
        }
        self.read_on().await;
        assert_eq!(self.fold.revision(), revision, "its change is accepted");
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

//! Configuration: changes take effect within seconds, outages of the log are survived, and an
//! older revision never replaces a newer one.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use pumicecleat_config::{Fold, FoldEvent, Record};
use pumicecleat_entry::{Entry, EntryContext};
use pumicecleat_infra::{AppendError, Appended, Batch, Local, Log, ReadError};
use pumicecleat_standin::LogFaults;
use pumicecleat_types::{ConfigCall, ConfigReply};

use crate::caller::post;
use crate::fixture::{Fixture, MODEL_POOL, StartedEntry, config_with, default_config, run_test};
use crate::script::completion_script;

const ADDED_ADAPTER: &str = "[adapter.moon]
base = 'magyar-7b'
version.v1.path = 'moon/v1'";

fn log_down() -> LogFaults {
    LogFaults {
        down: true,
        ..LogFaults::default()
    }
}

#[test]
fn applies_new_revisions_from_the_log() {
    run_test(|| async {
        let mut fixture = Fixture::with_empty_log();
        let started = fixture.start(&[]);
        // By then the first read, which waits two seconds for a record, has ended on an empty log.
        fixture.timer.sleep(Duration::from_millis(2_300)).await;
        let response = fixture.caller(&started).chat(false).await;
        assert_eq!(response.error(), ("not_ready".into(), "no".into()));
        assert!(response.header("retry-after").is_some());

        let first = fixture.apply_config(&default_config()).await;
        fixture.wait_until(|| started.entry.is_ready()).await;
        assert_eq!(started.entry.revision(), first);

        let from = fixture.timer.now();
        let second = fixture.apply_config(&config_with(ADDED_ADAPTER)).await;
        fixture
            .wait_until(|| started.entry.revision() == second)
            .await;
        let elapsed = fixture.timer.now().since(from);
        assert!(elapsed.0 < 5_000, "{elapsed:?}");
    });
}

#[test]
fn starts_from_a_snapshot_where_the_log_is_trimmed() {
    run_test(|| async {
        let mut fixture = Fixture::new().await;
        let revision = fixture.apply_config(&config_with(ADDED_ADAPTER)).await;
        fixture.append_snapshot().await;
        let mut faults = LogFaults::default();
        // What remains is a change that cannot be applied on its own, and the snapshot after it.
        faults
            .trim_before
            .insert("config".to_owned(), fixture.next_offset() - 2);
        fixture.log.set_faults(faults);
        let started = fixture.start_ready(&[]).await;
        assert_eq!(started.entry.revision(), revision);
    });
}

/// A snapshot must be in the log before the records that it covers are trimmed.
#[test]
fn appends_a_snapshot_when_one_is_due() {
    run_test(|| async {
        let fixture = Fixture::new().await;
        let _started = fixture.start_ready(&["--retention", "2s"]).await;
        let from = fixture.next_offset();
        let wait = Duration::from_secs(5);
        let log_service = fixture.log_service();
        let batch = log_service.read("config", from, 1, wait).await.unwrap();
        let record = Record::from_bytes(&batch.records[0].data).unwrap();
        assert!(matches!(record, Record::Snapshot(s) if s.next == from));
    });
}

#[test]
fn serves_on_during_an_outage() {
    run_test(|| async {
        let fixture = Fixture::new().await;
        let started = fixture.start_ready(&[]).await;
        fixture
            .start_sides(&started, MODEL_POOL, 1, &[completion_script("Jó")])
            .await;
        fixture.log.set_faults(log_down());
        fixture.timer.sleep(Duration::from_secs(6)).await;
        assert_eq!(fixture.caller(&started).chat(false).await.status, 200);
        assert!(started.entry.is_ready());
    });
}

#[test]
fn starts_from_a_peer_during_an_outage() {
    run_test(|| async {
        let mut fixture = Fixture::new().await;
        let first = fixture.start_ready(&[]).await;
        fixture.log.set_faults(log_down());
        let without_peers = fixture.start(&[]);
        let peer = first.entry.addresses().peers.to_string();
        let second = fixture.start_ready(&["--peers", &peer]).await;
        assert_eq!(second.entry.revision(), first.entry.revision());
        fixture.timer.sleep(Duration::from_millis(500)).await;
        assert!(
            !without_peers.entry.is_ready(),
            "ready without a log or peers"
        );

        fixture.log.inject(|_| {});
        let newer = fixture.apply_config(&config_with(ADDED_ADAPTER)).await;
        let all = [&first, &without_peers, &second];
        fixture
            .wait_until(|| all.iter().all(|s| s.entry.revision() == newer))
            .await;
    });
}

/// A change that an operator made from an older revision is refused, and nothing is reverted.
#[test]
fn ignores_a_change_made_from_an_older_revision() {
    run_test(|| async {
        let mut fixture = Fixture::new().await;
        let started = fixture.start_ready(&[]).await;
        let mut concurrent_author = fixture.concurrent_author();
        let newer = fixture.apply_config(&config_with(ADDED_ADAPTER)).await;
        concurrent_author.apply_config(&default_config()).await;
        fixture.timer.sleep(Duration::from_millis(300)).await;
        assert_eq!(started.entry.revision(), newer);
    });
}

/// A log whose long polls never end while it is stalled, so that an entry sees no new records
/// unless it reads without waiting.
struct StallingLog {
    log: Rc<dyn Log>,
    stalled: Cell<bool>,
}

impl Log for StallingLog {
    fn append<'a>(
        &'a self,
        stream: &'a str,
        records: Vec<Vec<u8>>,
    ) -> Local<'a, Result<Appended, AppendError>> {
        self.log.append(stream, records)
    }

    fn read<'a>(
        &'a self,
        stream: &'a str,
        from: u64,
        max: u32,
        wait: Duration,
    ) -> Local<'a, Result<Batch, ReadError>> {
        if self.stalled.get() && wait > Duration::ZERO {
            return Box::pin(std::future::pending());
        }
        self.log.read(stream, from, max, wait)
    }
}

async fn start_with_stalling_log(fixture: &Fixture) -> (StartedEntry, Rc<StallingLog>) {
    let log = Rc::new(StallingLog {
        log: fixture.log_service(),
        stalled: Cell::new(false),
    });
    let context = EntryContext {
        log_service: log.clone(),
        vm_list: None,
    };
    let started = fixture.start_with_context(&[], &context);
    fixture.wait_until(|| started.entry.is_ready()).await;
    (started, log)
}

/// A report with a newer revision than the entry's makes the entry read the log.
#[test]
fn reads_the_log_when_a_side_reports_a_newer_revision() {
    run_test(|| async {
        let mut fixture = Fixture::new().await;
        let (started, log) = start_with_stalling_log(&fixture).await;
        let sides = fixture
            .start_sides(&started, MODEL_POOL, 1, &[completion_script("Jó")])
            .await;
        log.stalled.set(true);
        fixture.timer.sleep(Duration::from_millis(2_200)).await;
        let newer = fixture.apply_config(&config_with(ADDED_ADAPTER)).await;
        fixture.timer.sleep(Duration::from_millis(300)).await;
        assert_ne!(started.entry.revision(), newer);
        sides[0].set_revision(newer);
        fixture
            .wait_until(|| started.entry.revision() == newer)
            .await;
    });
}

/// A process that has not read the log for long, as after it was suspended, reads it before it
/// decides on a request.
#[test]
fn reads_before_it_decides_after_a_pause() {
    run_test(|| async {
        let mut fixture = Fixture::new().await;
        let (started, log) = start_with_stalling_log(&fixture).await;
        log.stalled.set(true);
        fixture.timer.sleep(Duration::from_millis(2_200)).await;
        let without_tour = default_config().replace("adapters = ['*']", "adapters = ['brief']");
        let newer = fixture.apply_config(&without_tour).await;
        fixture.timer.sleep(Duration::from_millis(5_100)).await;
        assert_ne!(started.entry.revision(), newer);
        let response = fixture.caller(&started).chat(false).await;
        assert_eq!(response.error().0, "model_not_found");
        assert_eq!(started.entry.revision(), newer);
    });
}

/// Sides and starting entries fetch the configuration from an entry.
#[test]
fn serves_records_and_snapshots_to_peers() {
    run_test(|| async {
        let mut fixture = Fixture::with_empty_log();
        let started = fixture.start(&[]);
        assert_eq!(
            request_config(&fixture, &started.entry, None).await,
            ConfigReply::NotReady
        );
        fixture.apply_config(&default_config()).await;
        fixture.apply_config(&config_with(ADDED_ADAPTER)).await;
        let next = fixture.next_offset();
        fixture
            .wait_until(|| started.entry.revision() == next)
            .await;
        let rows = [
            (Some(0), 2),
            (Some(1), 1),
            (Some(next), 0),
            (Some(next + 5), 0),
        ];
        for (from, count) in rows {
            match request_config(&fixture, &started.entry, from).await {
                ConfigReply::Records(records) => assert_eq!(records.len(), count),
                other => panic!("{from:?}: {other:?}"),
            }
        }
        let snapshot = request_config(&fixture, &started.entry, None).await;
        // For a snapshot record, peers get only the digest, which their fold confirms.
        fixture.append_snapshot().await;
        let confirmation = loop {
            match request_config(&fixture, &started.entry, Some(next)).await {
                ConfigReply::Records(records) if records.is_empty() => {}
                ConfigReply::Records(records) => break records,
                other => panic!("{other:?}"),
            }
            fixture.timer.sleep(Duration::from_millis(20)).await;
        };
        let ConfigReply::Snapshot(bytes) = snapshot else {
            panic!("{snapshot:?}");
        };
        assert!(
            confirmation[0].data.len() < bytes.len(),
            "{}",
            confirmation[0].data.len()
        );
        let mut fold = Fold::from_snapshot(&bytes).unwrap();
        assert_eq!(fold.apply(&confirmation[0]), Ok(FoldEvent::Confirmed));
        assert_eq!(
            fixture
                .caller(&started)
                .call(post("/nowhere", ""))
                .await
                .status,
            404
        );
    });
}

#[test]
fn serves_a_snapshot_in_place_of_a_record_too_large_to_keep() {
    run_test(|| async {
        let mut fixture = Fixture::new().await;
        let started = fixture.start(&[]);
        fixture.wait_until(|| started.entry.is_ready()).await;
        let path = "p".repeat(1_000);
        let large = (0..2_400)
            .map(|n| format!("[adapter.l{n}]\nbase = 'magyar-7b'\nversion.v1.path = '{path}'\n"));
        let revision = fixture
            .apply_config(&config_with(&large.collect::<String>()))
            .await;
        fixture
            .wait_until(|| started.entry.revision() == revision)
            .await;

        let behind = request_config(&fixture, &started.entry, Some(revision - 1)).await;
        assert!(matches!(behind, ConfigReply::Snapshot(_)));
        let up_to_date = request_config(&fixture, &started.entry, Some(revision)).await;
        assert_eq!(up_to_date, ConfigReply::Records(Vec::new()));
        let next = fixture.apply_config(&default_config()).await;
        fixture
            .wait_until(|| started.entry.revision() == next)
            .await;
        let next_record = request_config(&fixture, &started.entry, Some(revision)).await;
        assert!(matches!(next_record, ConfigReply::Records(records) if records.len() == 1));
    });
}

async fn request_config(fixture: &Fixture, entry: &Entry, from: Option<u64>) -> ConfigReply {
    let peer = entry.addresses().peers.to_string();
    let request = ConfigCall { from };
    let timeout = Duration::from_secs(1);
    pumicecleat_net::post(&fixture.client, &peer, "/peer/v1/config", &request, timeout)
        .await
        .unwrap()
}

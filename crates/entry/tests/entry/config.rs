//! The configuration: in force within seconds, through outages, and never back.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use pumicecleat_config::{Fold, FoldEvent, Record};
use pumicecleat_entry::{Entry, EntryContext};
use pumicecleat_infra::{AppendError, Appended, Batch, Local, Log, ReadError};
use pumicecleat_standin::LogFaults;
use pumicecleat_types::{ConfigCall, ConfigReply};

use crate::caller::post;
use crate::script::whole;
use crate::world::{POOL, Started, World, case, config_with, usual_config};

const MORE: &str = "[adapter.moon]
base = 'magyar-7b'
version.v1.path = 'moon/v1'";

fn down() -> LogFaults {
    LogFaults {
        down: true,
        ..LogFaults::default()
    }
}

#[test]
fn follows_the_log() {
    case(|| async {
        let mut world = World::bare();
        let started = world.start(&[]);
        // The first read has ended, which waits two seconds for a record, and the log holds nothing.
        world.timer.sleep(Duration::from_millis(2_300)).await;
        let told = world.caller(&started).chat(false).await;
        assert_eq!(told.error(), ("not_ready".into(), "no".into()));
        assert!(told.header("retry-after").is_some());

        let first = world.apply(&usual_config()).await;
        world.until(|| started.entry.is_ready()).await;
        assert_eq!(started.entry.revision(), first);

        let from = world.timer.now();
        let second = world.apply(&config_with(MORE)).await;
        world.until(|| started.entry.revision() == second).await;
        let took = world.timer.now().since(from);
        assert!(took.0 < 5_000, "{took:?}");
    });
}

#[test]
fn starts_from_a_snapshot_where_the_log_is_trimmed() {
    case(|| async {
        let mut world = World::new().await;
        let revision = world.apply(&config_with(MORE)).await;
        world.append_snapshot().await;
        let mut faults = LogFaults::default();
        // Kept are a change that can't be judged alone, and the snapshot after it.
        faults
            .trim_before
            .insert("config".to_owned(), world.next() - 2);
        world.log.set_faults(faults);
        let started = world.start_ready(&[]).await;
        assert_eq!(started.entry.revision(), revision);
    });
}

/// A snapshot stands in the log before what it covers is trimmed.
#[test]
fn appends_a_snapshot_when_one_is_due() {
    case(|| async {
        let world = World::new().await;
        let _started = world.start_ready(&["--retention", "2s"]).await;
        let from = world.next();
        let wait = Duration::from_secs(5);
        let records = world.records();
        let batch = records.read("config", from, 1, wait).await.unwrap();
        let record = Record::from_bytes(&batch.records[0].data).unwrap();
        assert!(matches!(record, Record::Snapshot(s) if s.next == from));
    });
}

#[test]
fn serves_on_during_an_outage() {
    case(|| async {
        let world = World::new().await;
        let started = world.start_ready(&[]).await;
        world.sides(&started, POOL, 1, &[whole("Jó")]).await;
        world.log.set_faults(down());
        world.timer.sleep(Duration::from_secs(6)).await;
        assert_eq!(world.caller(&started).chat(false).await.status, 200);
        assert!(started.entry.is_ready());
    });
}

#[test]
fn starts_from_a_peer_during_an_outage() {
    case(|| async {
        let mut world = World::new().await;
        let first = world.start_ready(&[]).await;
        world.log.set_faults(down());
        let alone = world.start(&[]);
        let peer = first.entry.addresses().peers.to_string();
        let second = world.start_ready(&["--peers", &peer]).await;
        assert_eq!(second.entry.revision(), first.entry.revision());
        world.timer.sleep(Duration::from_millis(500)).await;
        assert!(
            !alone.entry.is_ready(),
            "without log and peers it must not guess"
        );

        world.log.inject(|_| {});
        let newer = world.apply(&config_with(MORE)).await;
        let all = [&first, &alone, &second];
        world
            .until(|| all.iter().all(|s| s.entry.revision() == newer))
            .await;
    });
}

/// An operator whose change was made from an older revision is refused, and nothing goes back.
#[test]
fn keeps_the_winner_of_a_race() {
    case(|| async {
        let mut world = World::new().await;
        let started = world.start_ready(&[]).await;
        let mut loser = world.rival();
        let winner = world.apply(&config_with(MORE)).await;
        loser.apply(&usual_config()).await;
        world.timer.sleep(Duration::from_millis(300)).await;
        assert_eq!(started.entry.revision(), winner);
    });
}

/// A log whose long polls never end: this process sees nothing by itself.
struct Deaf {
    log: Rc<dyn Log>,
    deaf: Cell<bool>,
}

impl Log for Deaf {
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
        if self.deaf.get() && wait > Duration::ZERO {
            return Box::pin(std::future::pending());
        }
        self.log.read(stream, from, max, wait)
    }
}

async fn start_deaf(world: &World) -> (Started, Rc<Deaf>) {
    let deaf = Rc::new(Deaf {
        log: world.records(),
        deaf: Cell::new(false),
    });
    let parts = EntryContext {
        log_service: deaf.clone(),
        vm_list: None,
    };
    let started = world.start_with(&[], &parts);
    world.until(|| started.entry.is_ready()).await;
    (started, deaf)
}

/// A side that holds a newer revision makes the entry read.
#[test]
fn reads_when_a_side_is_ahead() {
    case(|| async {
        let mut world = World::new().await;
        let (started, deaf) = start_deaf(&world).await;
        let sides = world.sides(&started, POOL, 1, &[whole("Jó")]).await;
        deaf.deaf.set(true);
        world.timer.sleep(Duration::from_millis(2_200)).await;
        let newer = world.apply(&config_with(MORE)).await;
        world.timer.sleep(Duration::from_millis(300)).await;
        assert_ne!(started.entry.revision(), newer);
        sides[0].set_revision(newer);
        world.until(|| started.entry.revision() == newer).await;
    });
}

/// A process that has not read for long, as after a pause, reads before it decides.
#[test]
fn reads_before_it_decides_after_a_pause() {
    case(|| async {
        let mut world = World::new().await;
        let (started, deaf) = start_deaf(&world).await;
        deaf.deaf.set(true);
        world.timer.sleep(Duration::from_millis(2_200)).await;
        let without_tour = usual_config().replace("adapters = ['*']", "adapters = ['brief']");
        let newer = world.apply(&without_tour).await;
        world.timer.sleep(Duration::from_millis(5_100)).await;
        assert_ne!(started.entry.revision(), newer);
        let told = world.caller(&started).chat(false).await;
        assert_eq!(told.error().0, "model_not_found");
        assert_eq!(started.entry.revision(), newer);
    });
}

/// What sides and starting entries get.
#[test]
fn tells_peers() {
    case(|| async {
        let mut world = World::bare();
        let started = world.start(&[]);
        assert_eq!(
            ask(&world, &started.entry, None).await,
            ConfigReply::NotReady
        );
        world.apply(&usual_config()).await;
        world.apply(&config_with(MORE)).await;
        let next = world.next();
        world.until(|| started.entry.revision() == next).await;
        let rows = [
            (Some(0), 2),
            (Some(1), 1),
            (Some(next), 0),
            (Some(next + 5), 0),
        ];
        for (from, count) in rows {
            match ask(&world, &started.entry, from).await {
                ConfigReply::Records(records) => assert_eq!(records.len(), count),
                other => panic!("{from:?}: {other:?}"),
            }
        }
        let snapshot = ask(&world, &started.entry, None).await;
        // Of a snapshot record they get the digest only, which their fold confirms.
        world.append_snapshot().await;
        let told = loop {
            match ask(&world, &started.entry, Some(next)).await {
                ConfigReply::Records(records) if records.is_empty() => {}
                ConfigReply::Records(records) => break records,
                other => panic!("{other:?}"),
            }
            world.timer.sleep(Duration::from_millis(20)).await;
        };
        let ConfigReply::Snapshot(bytes) = snapshot else {
            panic!("{snapshot:?}");
        };
        assert!(told[0].data.len() < bytes.len(), "{}", told[0].data.len());
        let mut fold = Fold::from_snapshot(&bytes).unwrap();
        assert_eq!(fold.apply(&told[0]), Ok(FoldEvent::Confirmed));
        assert_eq!(
            world
                .caller(&started)
                .ask(post("/nowhere", ""))
                .await
                .status,
            404
        );
    });
}

#[test]
fn serves_a_snapshot_in_place_of_a_record_too_large_to_keep() {
    case(|| async {
        let mut world = World::new().await;
        let started = world.start(&[]);
        world.until(|| started.entry.is_ready()).await;
        let path = "p".repeat(1_000);
        let large = (0..2_400)
            .map(|n| format!("[adapter.l{n}]\nbase = 'magyar-7b'\nversion.v1.path = '{path}'\n"));
        let revision = world.apply(&config_with(&large.collect::<String>())).await;
        world.until(|| started.entry.revision() == revision).await;

        let behind = ask(&world, &started.entry, Some(revision - 1)).await;
        assert!(matches!(behind, ConfigReply::Snapshot(_)));
        let level = ask(&world, &started.entry, Some(revision)).await;
        assert_eq!(level, ConfigReply::Records(Vec::new()));
        let next = world.apply(&usual_config()).await;
        world.until(|| started.entry.revision() == next).await;
        let one = ask(&world, &started.entry, Some(revision)).await;
        assert!(matches!(one, ConfigReply::Records(records) if records.len() == 1));
    });
}

async fn ask(world: &World, entry: &Entry, from: Option<u64>) -> ConfigReply {
    let peer = entry.addresses().peers.to_string();
    let ask = ConfigCall { from };
    let span = Duration::from_secs(1);
    pumicecleat_net::post(&world.client, &peer, "/peer/v1/config", &ask, span)
        .await
        .unwrap()
}

//! Reports, the order of loads, the VM list, and the dump that shows them.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use pumicecleat_entry::{EntryContext, EntryDump};
use pumicecleat_infra::{Local, VmList, Vms, VmsError};
use pumicecleat_net::post;
use pumicecleat_types::{
    LoadBid, LoadFigures, LoadTurn, Report, ReportReply, VmEntry, VmRole, VmState,
};

use crate::script::whole;
use crate::world::{POOL, Started, World, case};

fn report(vm: &str, incarnation: u64, seq: u64) -> Report {
    Report {
        vm: vm.into(),
        incarnation,
        seq,
        address: "127.0.0.1:9".to_owned(),
        pool: POOL.into(),
        centre: "bp-a".into(),
        region: "hu-central".into(),
        leaving: false,
        healthy: true,
        load: LoadFigures::default(),
        resident: None,
        loading: None,
        revision: 1,
    }
}

async fn tell(world: &World, started: &Started, report: &Report) -> ReportReply {
    let peer = started.entry.addresses().peers.to_string();
    let span = Duration::from_secs(1);
    post(&world.client, &peer, "/peer/v1/report", report, span)
        .await
        .unwrap()
}

async fn dump(world: &World, started: &Started) -> EntryDump {
    serde_json::from_str(&world.admin(started, "/dump").await).unwrap()
}

#[test]
fn takes_the_newest_report() {
    case(|| async {
        let world = World::new().await;
        let started = world.start_ready(&[]).await;
        let first = report("side-1", 7, 5);
        let reply = tell(&world, &started, &first).await;
        assert!(
            reply.needs_full_report,
            "nothing is known of what is resident"
        );
        assert_eq!(reply.revision, started.entry.revision());
        assert!((500..=7_000).contains(&reply.next_ms));

        let whole = Report {
            resident: Some(vec!["tour@v1".into(), "brief@v1".into()]),
            ..report("side-1", 7, 6)
        };
        assert!(!tell(&world, &started, &whole).await.needs_full_report);
        assert!(
            !tell(&world, &started, &report("side-1", 7, 8))
                .await
                .needs_full_report
        );

        let rows = [("overtaken", 7, 7), ("of an older incarnation", 6, 90)];
        for (name, incarnation, seq) in rows {
            let old = Report {
                resident: Some(Vec::new()),
                ..report("side-1", incarnation, seq)
            };
            tell(&world, &started, &old).await;
            let sides = dump(&world, &started).await.sides;
            assert_eq!(sides[0].resident, ["tour@v1", "brief@v1"], "{name}");
            assert_eq!(sides[0].incarnation, 7, "{name}");
        }
        assert!(
            tell(&world, &started, &report("side-1", 8, 1))
                .await
                .needs_full_report
        );
    });
}

/// All reports together stay under a rate.
#[test]
fn paces_reports() {
    case(|| async {
        let world = World::new().await;
        let started = world.start_ready(&["--report-rate", "2KiB"]).await;
        let mut next = 0;
        for n in 0..20 {
            let name = format!("side-{n}");
            next = tell(&world, &started, &report(&name, 1, 1)).await.next_ms;
        }
        // Twenty reports of some 300 bytes each at 2,048 bytes a second.
        assert!((2_000..=5_000).contains(&next), "{next}");
    });
}

#[test]
fn gives_turns_one_at_a_time() {
    case(|| async {
        let world = World::new().await;
        let started = world.start_ready(&[]).await;
        let bid = |vm: &str, lora: Option<&str>| LoadBid {
            vm: vm.into(),
            lora: lora.map(str::to_owned),
            waiting: 3,
            time_left_ms: 1_000,
            waited_ms: 10,
        };
        let rows = [
            ("first", bid("side-1", Some("tour@v1")), true),
            ("second", bid("side-2", Some("brief@v1")), false),
            ("given back", bid("side-1", None), false),
            ("second again", bid("side-2", Some("brief@v1")), true),
        ];
        let peer = started.entry.addresses().peers.to_string();
        for (name, bid, goes) in rows {
            let span = Duration::from_secs(1);
            let turn = post(&world.client, &peer, "/peer/v1/load", &bid, span).await;
            let turn: LoadTurn = turn.unwrap();
            assert_eq!(matches!(turn, LoadTurn::Granted { .. }), goes, "{name}");
        }
        assert!(dump(&world, &started).await.order.held);
    });
}

/// A list that the test changes.
#[derive(Default)]
struct Listing(RefCell<Vec<VmEntry>>);

impl Vms for Listing {
    fn list<'a>(&'a self, _: Option<&'a str>) -> Local<'a, Result<Rc<VmList>, VmsError>> {
        let vms = self.0.borrow().clone();
        Box::pin(std::future::ready(Ok(Rc::new(VmList { vms, version: 1 }))))
    }
}

fn upstream(vm: &str, state: VmState) -> VmEntry {
    VmEntry {
        vm: vm.into(),
        role: VmRole::Upstream,
        state,
        address: "127.0.0.1:9".to_owned(),
        centre: "bp-a".into(),
        region: "hu-central".into(),
        pool: Some(POOL.into()),
    }
}

/// A VM that leaves by the list gets no work within seconds; one that is gone is forgotten.
#[test]
fn follows_the_vm_list() {
    case(|| async {
        let world = World::new().await;
        let list = Rc::new(Listing::default());
        list.0.borrow_mut().push(upstream("side-1", VmState::Live));
        let parts = EntryContext {
            log_service: world.records(),
            vm_list: Some(list.clone()),
        };
        let started = world.start_with(&[], &parts);
        world.until(|| started.entry.is_ready()).await;
        let sides = world.sides(&started, POOL, 1, &[whole("Jó")]).await;
        let caller = world.caller(&started);
        assert_eq!(caller.chat(false).await.status, 200);

        // The list's word alone must do.
        sides[0].stop_reports();
        list.0.borrow_mut()[0].state = VmState::Leaving;
        world.timer.sleep(Duration::from_millis(1_500)).await;
        assert_eq!(caller.chat(false).await.error().0, "no_upstream");
        assert_eq!(sides[0].seen().len(), 1);

        list.0.borrow_mut().clear();
        world.timer.sleep(Duration::from_secs(3)).await;
        assert!(dump(&world, &started).await.sides.is_empty());
    });
}

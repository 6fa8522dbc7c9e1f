//! Reports, load turns, the VM list, and the dump that shows their state.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use pumicecleat_entry::{EntryContext, EntryDump};
use pumicecleat_infra::{Local, VmList, Vms, VmsError};
use pumicecleat_net::post;
use pumicecleat_types::{
    LoadBid, LoadFigures, LoadTurn, Report, ReportReply, VmEntry, VmRole, VmState,
};

use crate::fixture::{Fixture, MODEL_POOL, StartedEntry, run_test};
use crate::script::completion_script;

fn report(vm: &str, incarnation: u64, seq: u64) -> Report {
    Report {
        vm: vm.into(),
        incarnation,
        seq,
        address: "127.0.0.1:9".to_owned(),
        pool: MODEL_POOL.into(),
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

async fn send_report(fixture: &Fixture, started: &StartedEntry, report: &Report) -> ReportReply {
    let peer = started.entry.addresses().peers.to_string();
    let timeout = Duration::from_secs(1);
    post(&fixture.client, &peer, "/peer/v1/report", report, timeout)
        .await
        .unwrap()
}

async fn dump(fixture: &Fixture, started: &StartedEntry) -> EntryDump {
    serde_json::from_str(&fixture.get_admin(started, "/dump").await).unwrap()
}

#[test]
fn applies_only_the_newest_report() {
    run_test(|| async {
        let fixture = Fixture::new().await;
        let started = fixture.start_ready(&[]).await;
        let first = report("side-1", 7, 5);
        let reply = send_report(&fixture, &started, &first).await;
        assert!(
            reply.needs_full_report,
            "resident adapters are not known yet"
        );
        assert_eq!(reply.revision, started.entry.revision());
        assert!((500..=7_000).contains(&reply.next_ms));

        let full_report = Report {
            resident: Some(vec!["tour@v1".into(), "brief@v1".into()]),
            ..report("side-1", 7, 6)
        };
        assert!(
            !send_report(&fixture, &started, &full_report)
                .await
                .needs_full_report
        );
        assert!(
            !send_report(&fixture, &started, &report("side-1", 7, 8))
                .await
                .needs_full_report
        );

        let rows = [("overtaken", 7, 7), ("of an older incarnation", 6, 90)];
        for (name, incarnation, seq) in rows {
            let old = Report {
                resident: Some(Vec::new()),
                ..report("side-1", incarnation, seq)
            };
            send_report(&fixture, &started, &old).await;
            let sides = dump(&fixture, &started).await.sides;
            assert_eq!(sides[0].resident, ["tour@v1", "brief@v1"], "{name}");
            assert_eq!(sides[0].incarnation, 7, "{name}");
        }
        assert!(
            send_report(&fixture, &started, &report("side-1", 8, 1))
                .await
                .needs_full_report
        );
    });
}

/// Report intervals keep all reports together under the configured rate.
#[test]
fn paces_reports() {
    run_test(|| async {
        let fixture = Fixture::new().await;
        let started = fixture.start_ready(&["--report-rate", "2KiB"]).await;
        let mut next = 0;
        for n in 0..20 {
            let name = format!("side-{n}");
            next = send_report(&fixture, &started, &report(&name, 1, 1))
                .await
                .next_ms;
        }
        // Twenty reports of some 300 bytes each at 2,048 bytes a second.
        assert!((2_000..=5_000).contains(&next), "{next}");
    });
}

#[test]
fn grants_load_turns_one_at_a_time() {
    run_test(|| async {
        let fixture = Fixture::new().await;
        let started = fixture.start_ready(&[]).await;
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
            ("released", bid("side-1", None), false),
            ("second again", bid("side-2", Some("brief@v1")), true),
        ];
        let peer = started.entry.addresses().peers.to_string();
        for (name, bid, granted) in rows {
            let timeout = Duration::from_secs(1);
            let turn = post(&fixture.client, &peer, "/peer/v1/load", &bid, timeout).await;
            let turn: LoadTurn = turn.unwrap();
            assert_eq!(matches!(turn, LoadTurn::Granted { .. }), granted, "{name}");
        }
        assert!(dump(&fixture, &started).await.order.held);
    });
}

/// VM list that a test edits.
#[derive(Default)]
struct EditableVmList(RefCell<Vec<VmEntry>>);

impl Vms for EditableVmList {
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
        pool: Some(MODEL_POOL.into()),
    }
}

/// A VM that is listed as leaving gets no work within seconds. One that is no longer listed is
/// removed.
#[test]
fn follows_the_vm_list() {
    run_test(|| async {
        let fixture = Fixture::new().await;
        let list = Rc::new(EditableVmList::default());
        list.0.borrow_mut().push(upstream("side-1", VmState::Live));
        let context = EntryContext {
            log_service: fixture.log_service(),
            vm_list: Some(list.clone()),
        };
        let started = fixture.start_with_context(&[], &context);
        fixture.wait_until(|| started.entry.is_ready()).await;
        let sides = fixture
            .start_sides(&started, MODEL_POOL, 1, &[completion_script("Jó")])
            .await;
        let caller = fixture.caller(&started);
        assert_eq!(caller.chat(false).await.status, 200);

        // The list alone must be enough, without reports.
        sides[0].stop_reports();
        list.0.borrow_mut()[0].state = VmState::Leaving;
        fixture.timer.sleep(Duration::from_millis(1_500)).await;
        assert_eq!(caller.chat(false).await.error().0, "no_upstream");
        assert_eq!(sides[0].attempts().len(), 1);

        list.0.borrow_mut().clear();
        fixture.timer.sleep(Duration::from_secs(3)).await;
        assert!(dump(&fixture, &started).await.sides.is_empty());
    });
}

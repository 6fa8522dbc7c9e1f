//! The VM list takes precedence over what a side reports of itself.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use pumicecleat_entry::EntryContext;
use pumicecleat_infra::{HttpVms, Peers};
use pumicecleat_standin::{VmList, VmListOptions};
use pumicecleat_types::{VmEntry, VmRole, VmState};

use crate::fixture::{Fixture, MODEL_POOL, run_test};
use crate::script::completion_script;

const VM: &str = "side-1";
const LIST_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which a VM that is listed as leaving gets no more work.
const MAX_LEAVING_DELAY: Duration = Duration::from_secs(3);

struct Case {
    name: &'static str,
    /// State in the VM list when the side first reports.
    initial_state: VmState,
    /// Whether the side reports on after its first report.
    keeps_reporting: bool,
}

const CASES: [Case; 3] = [
    Case {
        name: "listed before its first report",
        initial_state: VmState::Leaving,
        keeps_reporting: true,
    },
    Case {
        name: "listed later",
        initial_state: VmState::Live,
        keeps_reporting: true,
    },
    Case {
        name: "listed later, and silent",
        initial_state: VmState::Live,
        keeps_reporting: false,
    },
];

fn vm_entry(state: VmState) -> VmEntry {
    VmEntry {
        vm: VM.into(),
        role: VmRole::Upstream,
        state,
        address: "127.0.0.1:1".to_owned(),
        centre: "bp-a".into(),
        region: "hu-central".into(),
        pool: Some(MODEL_POOL.into()),
    }
}

async fn set_listed_state(fixture: &Fixture, peer: &str, state: VmState) {
    let body = serde_json::to_vec(&vm_entry(state)).unwrap();
    let request = http::Request::post(format!("/v1/vms/{VM}"));
    let request = request.body(Bytes::from(body)).unwrap();
    let response = fixture
        .client
        .send(peer, request, LIST_TIMEOUT)
        .await
        .unwrap();
    assert_eq!(response.status(), 200);
}

#[test]
fn a_side_that_the_list_calls_leaving_gets_no_work() {
    for row in CASES {
        run_test(|| async {
            let name = row.name;
            let fixture = Fixture::new().await;
            let options = VmListOptions {
                vms: vec![vm_entry(row.initial_state)],
                ..VmListOptions::default()
            };
            let list = VmList::start(options, &fixture.timer).unwrap();
            let peer = list.address.to_string();
            let vms = HttpVms::new(&fixture.client, Peers::parse(&peer), LIST_TIMEOUT);
            let context = EntryContext {
                log_service: fixture.log_service(),
                vm_list: Some(Rc::new(vms)),
            };
            let started = fixture.start_with_context(&[], &context);
            fixture.wait_until(|| started.entry.is_ready()).await;
            fixture.timer.sleep(LIST_TIMEOUT).await;
            let scripts = vec![completion_script("Jó"); 12];
            let sides = fixture.start_sides(&started, MODEL_POOL, 1, &scripts).await;
            let caller = fixture.caller(&started);
            if row.initial_state == VmState::Live {
                assert_eq!(caller.chat(false).await.status, 200, "{name}");
                if !row.keeps_reporting {
                    sides[0].stop_reports();
                }
                set_listed_state(&fixture, &peer, VmState::Leaving).await;
            }
            fixture.timer.sleep(MAX_LEAVING_DELAY).await;
            let before = sides[0].attempts().len();
            for _ in 0..5 {
                let response = caller.chat(false).await;
                let refused = ("no_upstream".to_owned(), "no".to_owned());
                assert_eq!(response.error(), refused, "{name}");
                assert!(response.header("retry-after").is_some(), "{name}");
            }
            assert_eq!(sides[0].attempts().len(), before, "{name}");
        });
    }
}

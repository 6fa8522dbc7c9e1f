//! What the VM list says of a side holds, whatever the side itself says of it.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use pumicecleat_entry::EntryContext;
use pumicecleat_infra::{HttpVms, Peers};
use pumicecleat_standin::{VmList, VmListOptions};
use pumicecleat_types::{VmEntry, VmRole, VmState};

use crate::script::whole;
use crate::world::{POOL, World, case};

const VM: &str = "side-1";
const SPAN: Duration = Duration::from_secs(1);

/// A leaving VM gets no work from then on.
const LONGEST: Duration = Duration::from_secs(3);

struct Case {
    name: &'static str,
    /// State by the list when the side joins.
    first: VmState,
    /// The side reports on after it has joined.
    reports: bool,
}

const CASES: [Case; 3] = [
    Case {
        name: "listed before it joins",
        first: VmState::Leaving,
        reports: true,
    },
    Case {
        name: "listed later",
        first: VmState::Live,
        reports: true,
    },
    Case {
        name: "listed later, and silent",
        first: VmState::Live,
        reports: false,
    },
];

fn side(state: VmState) -> VmEntry {
    VmEntry {
        vm: VM.into(),
        role: VmRole::Upstream,
        state,
        address: "127.0.0.1:1".to_owned(),
        centre: "bp-a".into(),
        region: "hu-central".into(),
        pool: Some(POOL.into()),
    }
}

async fn list_as(world: &World, peer: &str, state: VmState) {
    let body = serde_json::to_vec(&side(state)).unwrap();
    let request = http::Request::post(format!("/v1/vms/{VM}"));
    let request = request.body(Bytes::from(body)).unwrap();
    let answer = world.client.send(peer, request, SPAN).await.unwrap();
    assert_eq!(answer.status(), 200);
}

#[test]
fn a_side_that_the_list_calls_leaving_gets_no_work() {
    for row in CASES {
        case(|| async {
            let name = row.name;
            let world = World::new().await;
            let options = VmListOptions {
                vms: vec![side(row.first)],
                ..VmListOptions::default()
            };
            let list = VmList::start(options, &world.timer).unwrap();
            let peer = list.address.to_string();
            let vms = HttpVms::new(&world.client, Peers::parse(&peer), SPAN);
            let parts = EntryContext {
                log_service: world.records(),
                vm_list: Some(Rc::new(vms)),
            };
            let started = world.start_with(&[], &parts);
            world.until(|| started.entry.is_ready()).await;
            world.timer.sleep(SPAN).await;
            let scripts = vec![whole("Jó"); 12];
            let sides = world.sides(&started, POOL, 1, &scripts).await;
            let caller = world.caller(&started);
            if row.first == VmState::Live {
                assert_eq!(caller.chat(false).await.status, 200, "{name}");
                if !row.reports {
                    sides[0].stop_reports();
                }
                list_as(&world, &peer, VmState::Leaving).await;
            }
            world.timer.sleep(LONGEST).await;
            let before = sides[0].seen().len();
            for _ in 0..5 {
                let told = caller.chat(false).await;
                let refused = ("no_upstream".to_owned(), "no".to_owned());
                assert_eq!(told.error(), refused, "{name}");
                assert!(told.header("retry-after").is_some(), "{name}");
            }
            assert_eq!(sides[0].seen().len(), before, "{name}");
        });
    }
}

//! The VM list.

use std::time::{Duration, Instant};

use http::Method;
use pumicecleat_standin::{VmFaults, VmList, VmListOptions};
use pumicecleat_types::{VmEntry, VmRole, VmState};
use serde_json::{Value, json};

use crate::bench::{Peer, ms, test};

fn entry(vm: &str, region: &str) -> VmEntry {
    VmEntry {
        vm: vm.into(),
        role: VmRole::Upstream,
        state: VmState::Live,
        address: "127.0.0.1:9".into(),
        centre: "bp-a".into(),
        region: region.into(),
        pool: Some("models".into()),
    }
}

struct Case {
    method: Method,
    path: &'static str,
    body: Value,
    status: u16,
    /// VMs of region `hu` afterwards.
    vms: &'static [&'static str],
    version: u64,
}

fn changes() -> Vec<Case> {
    let case = |method, path, body, status, vms, version| Case {
        method,
        path,
        body,
        status,
        vms,
        version,
    };
    let (post, put) = (Method::POST, Method::PUT);
    let (list, one, other) = ("/v1/vms", "/v1/vms/c", "/v1/vms/a");
    let c = |region| json!(entry("c", region));
    let x = json!(entry("x", "hu"));
    let whole = json!({"vms": [entry("d", "hu"), entry("e", "in")]});
    vec![
        case(post.clone(), one, c("hu"), 200, &["a", "c"], 1),
        case(post.clone(), one, x, 400, &["a", "c"], 1),
        case(post, one, c("in"), 200, &["a"], 2),
        case(Method::DELETE, other, Value::Null, 200, &[], 3),
        case(put.clone(), list, whole, 200, &["d"], 4),
        case(put, list, json!([]), 400, &["d"], 4),
    ]
}

#[test]
fn changes_make_versions() {
    test(|timer| async move {
        let options = VmListOptions {
            vms: vec![entry("a", "hu"), entry("b", "in")],
            ..VmListOptions::default()
        };
        let list = VmList::start(options, &timer).unwrap();
        let peer = Peer::new(list.address, &timer);
        for (n, case) in changes().into_iter().enumerate() {
            let answer = peer
                .ask(case.method, case.path, &[], &case.body)
                .await
                .unwrap();
            assert_eq!(answer.status, case.status, "change {n}");
            let shown = peer.get("/v1/vms?region=hu").await.json();
            assert_eq!(shown["version"], case.version, "change {n}");
            let vms: Vec<VmEntry> = serde_json::from_value(shown["vms"].clone()).unwrap();
            let names: Vec<&str> = vms.iter().map(|e| e.vm.as_str()).collect();
            assert_eq!(names, case.vms, "change {n}");
        }
    });
}

#[test]
fn changes_show_late() {
    test(|timer| async move {
        let options = VmListOptions {
            lag_ms: 400,
            ..VmListOptions::default()
        };
        let list = VmList::start(options, &timer).unwrap();
        let peer = Peer::new(list.address, &timer);
        let from = Instant::now();
        peer.post("/v1/vms/a", &json!(entry("a", "hu")))
            .await
            .unwrap();
        assert_eq!(
            peer.get("/v1/vms").await.json(),
            json!({"vms": [], "version": 0})
        );
        while peer.get("/v1/vms").await.json()["version"] != 1 {
            timer.sleep(Duration::from_millis(2)).await;
        }
        assert!(ms(from) >= 399, "{} ms", ms(from));
    });
}

#[test]
fn it_can_be_down_or_late() {
    test(|timer| async move {
        let list = VmList::start(VmListOptions::default(), &timer).unwrap();
        let peer = Peer::new(list.address, &timer);
        list.set_faults(VmFaults {
            down: true,
            delay_ms: 50,
        });
        let from = Instant::now();
        assert_eq!(peer.get("/v1/vms").await.status, 503);
        assert!(ms(from) >= 50, "{} ms", ms(from));
    });
}

//! Drain: requests in flight are completed, and new ones are refused as not run.

use std::time::Duration;

use futures_util::future::join;
use pumicecleat_entry::EntryContext;
use pumicecleat_infra::{HttpVms, Peers};
use pumicecleat_ops::DrainOutcome;
use pumicecleat_standin::{VmList, VmListOptions};
use pumicecleat_types::{VmEntry, VmRole, VmState};

use crate::caller::chat;
use crate::fixture::{Fixture, MODEL_POOL, StartedEntry, run_test};
use crate::script::Action;

fn slow_stream(pause: u64) -> Vec<Action> {
    let pause = Action::Pause(Duration::from_millis(pause));
    let head = [
        Action::Head,
        Action::Role,
        Action::Text("Jó"),
        pause,
        Action::Text(" ég"),
    ];
    let tail = [Action::Finish, Action::Done, Action::End];
    head.into_iter().chain(tail).collect()
}

#[test]
fn finishes_streams_and_refuses_new_requests() {
    run_test(|| async {
        let fixture = Fixture::new().await;
        let StartedEntry { entry, stop } = fixture.start_ready(&[]).await;
        let started = StartedEntry { entry, stop };
        let sides = fixture
            .start_sides(&started, MODEL_POOL, 1, &[slow_stream(600)])
            .await;
        let caller = fixture.caller(&started);
        let admin = started.entry.addresses().admin;
        let StartedEntry { entry, stop } = started;
        let requests = async {
            let stream = caller.chat(true);
            let stopping = async {
                fixture.wait_until(|| sides[0].attempts().len() == 1).await;
                fixture.timer.sleep(Duration::from_millis(100)).await;
                stop.request();
                fixture.timer.sleep(Duration::from_millis(50)).await;
                let refused = caller.chat(false).await;
                assert_eq!(refused.status, 503);
                assert_eq!(refused.error(), ("stopping".into(), "no".into()));
                assert!(refused.header("retry-after").is_some());
                assert_eq!(refused.header("connection"), Some("close"));
                let ready = fixture.get(admin, "/readyz").await;
                assert!(ready.contains("stopping"), "{ready}");
            };
            join(stream, stopping).await.0
        };
        let (end, response) = join(entry.run(), requests).await;
        assert_eq!(end, DrainOutcome::Finished);
        assert!(response.complete);
        assert_eq!(response.text(), "Jó ég");
        assert_eq!(sides[0].attempts().len(), 1);
    });
}

/// A second signal or the limit ends the drain, and the result names the requests that were cut.
#[test]
fn reports_requests_cut_at_the_end_of_the_drain() {
    run_test(|| async {
        for second_signal in [true, false] {
            let fixture = Fixture::new().await;
            let limit = if second_signal { "60s" } else { "300ms" };
            let started = fixture.start_ready(&["--drain-limit", limit]).await;
            let sides = fixture
                .start_sides(&started, MODEL_POOL, 1, &[vec![Action::Hang]])
                .await;
            let caller = fixture.caller(&started);
            monoio::spawn(async move { caller.send(chat(true)).await });
            fixture.wait_until(|| sides[0].attempts().len() == 1).await;
            let request = sides[0].attempts()[0].head.request.clone();
            started.stop.request();
            if second_signal {
                started.stop.request();
            }
            let end = started.entry.run().await;
            assert_eq!(end.aborted(), [request]);
            let interrupted = matches!(end, DrainOutcome::Interrupted(_));
            assert_eq!(interrupted, second_signal);
        }
    });
}

/// An entry drains when the VM list shows its own VM as leaving.
#[test]
fn drains_when_its_vm_is_listed_as_leaving() {
    run_test(|| async {
        let fixture = Fixture::new().await;
        let own_entry = VmEntry {
            vm: "entry-1".into(),
            role: VmRole::Entry,
            state: VmState::Leaving,
            address: "127.0.0.1:1".to_owned(),
            centre: "bp-a".into(),
            region: "hu-central".into(),
            pool: None,
        };
        let options = VmListOptions {
            vms: vec![own_entry],
            ..VmListOptions::default()
        };
        let list = VmList::start(options, &fixture.timer).unwrap();
        let peers = Peers::parse(&list.address.to_string());
        let vms = HttpVms::new(&fixture.client, peers, Duration::from_secs(1));
        let context = EntryContext {
            log_service: fixture.log_service(),
            vm_list: Some(std::rc::Rc::new(vms)),
        };
        let started = fixture.start_with_context(&[], &context);
        fixture.wait_until(|| started.stop.is_requested()).await;
        assert_eq!(started.entry.run().await, DrainOutcome::Finished);
    });
}

//! Graceful stop: no request is cut, and new ones are refused as not run.

use std::time::Duration;

use futures_util::future::join;
use pumicecleat_entry::EntryContext;
use pumicecleat_infra::{HttpVms, Peers};
use pumicecleat_ops::DrainOutcome;
use pumicecleat_standin::{VmList, VmListOptions};
use pumicecleat_types::{VmEntry, VmRole, VmState};

use crate::caller::chat;
use crate::script::Act;
use crate::world::{POOL, Started, World, case};

fn slow_stream(pause: u64) -> Vec<Act> {
    let pause = Act::Pause(Duration::from_millis(pause));
    let head = [
        Act::Head,
        Act::Role,
        Act::Text("Jó"),
        pause,
        Act::Text(" ég"),
    ];
    let tail = [Act::Finish, Act::Done, Act::End];
    head.into_iter().chain(tail).collect()
}

#[test]
fn finishes_streams_and_refuses_new_requests() {
    case(|| async {
        let world = World::new().await;
        let Started { entry, stop } = world.start_ready(&[]).await;
        let started = Started { entry, stop };
        let sides = world.sides(&started, POOL, 1, &[slow_stream(600)]).await;
        let caller = world.caller(&started);
        let admin = started.entry.addresses().admin;
        let Started { entry, stop } = started;
        let ends = async {
            let open = caller.chat(true);
            let stopping = async {
                world.until(|| sides[0].seen().len() == 1).await;
                world.timer.sleep(Duration::from_millis(100)).await;
                stop.request();
                world.timer.sleep(Duration::from_millis(50)).await;
                let refused = caller.chat(false).await;
                assert_eq!(refused.status, 503);
                assert_eq!(refused.error(), ("stopping".into(), "no".into()));
                assert!(refused.header("retry-after").is_some());
                assert_eq!(refused.header("connection"), Some("close"));
                let ready = world.get(admin, "/readyz").await;
                assert!(ready.contains("stopping"), "{ready}");
            };
            join(open, stopping).await.0
        };
        let (end, told) = join(entry.run(), ends).await;
        assert_eq!(end, DrainOutcome::Finished);
        assert!(told.whole);
        assert_eq!(told.text(), "Jó ég");
        assert_eq!(sides[0].seen().len(), 1);
    });
}

/// A second signal or the limit ends the stop, and names what it cut.
#[test]
fn names_what_it_cuts() {
    case(|| async {
        for second in [true, false] {
            let world = World::new().await;
            let limit = if second { "60s" } else { "300ms" };
            let started = world.start_ready(&["--drain-limit", limit]).await;
            let sides = world.sides(&started, POOL, 1, &[vec![Act::Hang]]).await;
            let caller = world.caller(&started);
            monoio::spawn(async move { caller.send(chat(true)).await });
            world.until(|| sides[0].seen().len() == 1).await;
            let request = sides[0].seen()[0].head.request.clone();
            started.stop.request();
            if second {
                started.stop.request();
            }
            let end = started.entry.run().await;
            assert_eq!(end.aborted(), [request]);
            let interrupted = matches!(end, DrainOutcome::Interrupted(_));
            assert_eq!(interrupted, second);
        }
    });
}

/// The list says that this VM leaves.
#[test]
fn stops_when_its_vm_leaves() {
    case(|| async {
        let world = World::new().await;
        let own = VmEntry {
            vm: "entry-1".into(),
            role: VmRole::Entry,
            state: VmState::Leaving,
            address: "127.0.0.1:1".to_owned(),
            centre: "bp-a".into(),
            region: "hu-central".into(),
            pool: None,
        };
        let options = VmListOptions {
            vms: vec![own],
            ..VmListOptions::default()
        };
        let list = VmList::start(options, &world.timer).unwrap();
        let peers = Peers::parse(&list.address.to_string());
        let vms = HttpVms::new(&world.client, peers, Duration::from_secs(1));
        let parts = EntryContext {
            log_service: world.records(),
            vm_list: Some(std::rc::Rc::new(vms)),
        };
        let started = world.start_with(&[], &parts);
        world.until(|| started.stop.is_requested()).await;
        assert_eq!(started.entry.run().await, DrainOutcome::Finished);
    });
}

//! Promises under kills, freezes, leaving VMs and stops, with real processes.

mod fleet;

use std::thread;
use std::time::{Duration, Instant};

use fleet::{Fleet, FleetOptions, expected_text, get, until};

const LONG: u32 = 150;

fn is_whole(answer: &fleet::Answer, lora: &str, tokens: u32) {
    assert!(answer.whole, "{answer:?}");
    assert!(answer.body.ends_with("data: [DONE]\n\n"), "{answer:?}");
    assert_eq!(answer.streamed(), expected_text(lora, u64::from(tokens)));
}

/// Fleet with the adapter resident on both engines, so that either can go on with a stream.
fn warm_fleet() -> Fleet {
    let fleet = Fleet::start(&FleetOptions::default());
    until("both engines hold the adapter", || {
        let streams: Vec<_> = (0..24).map(|_| fleet.stream(0, "sky-brief", 20)).collect();
        for stream in streams {
            is_whole(&stream.finish(), "sky-brief@v2", 20);
        }
        fleet.engines.iter().all(|e| {
            let models = get(&e.address, "/v1/models").body;
            models.contains("sky-brief@v2")
        })
    });
    fleet
}

struct Blow {
    name: &'static str,
    strike: fn(&mut Fleet, usize),
}

const fn blow(name: &'static str, strike: fn(&mut Fleet, usize)) -> Blow {
    Blow { name, strike }
}

const BLOWS: [Blow; 4] = [
    blow("engine killed", |f, n| f.engines[n].kill()),
    blow("engine frozen", |f, n| f.engines[n].signal("STOP")),
    blow("side killed", |f, n| f.engine_side(n).kill()),
    blow("side frozen", |f, n| f.engine_side(n).signal("STOP")),
];

#[test]
fn a_stream_goes_on_elsewhere_with_no_token_lost_or_doubled() {
    for blow in BLOWS {
        let mut fleet = warm_fleet();
        let mut live = fleet.stream(0, "sky-brief", LONG);
        live.read_events(5);
        let running = fleet.running();
        let [n] = running[..] else {
            panic!("{}: runs at {running:?}", blow.name);
        };
        (blow.strike)(&mut fleet, n);
        let answer = live.finish();
        assert!(answer.whole, "{}: {answer:?}", blow.name);
        is_whole(&answer, "sky-brief@v2", LONG);
    }
}

#[test]
fn a_stream_that_no_one_can_go_on_with_ends_visibly_broken() {
    for blow in BLOWS {
        let options = FleetOptions {
            engines: 1,
            ..FleetOptions::default()
        };
        let mut fleet = Fleet::start(&options);
        let mut live = fleet.stream(0, "sky-brief", LONG);
        live.read_events(5);
        (blow.strike)(&mut fleet, 0);
        // A peer that falls silent closes nothing: the entry must find out by itself.
        let answer = live.finish();
        assert!(!answer.whole, "{}: {answer:?}", blow.name);
        assert!(!answer.body.contains("[DONE]"), "{}: {answer:?}", blow.name);
        let told = answer.body.contains("\"error\"");
        assert!(told, "{}: {answer:?}", blow.name);
    }
}

#[test]
fn a_side_that_wakes_late_evicts_nothing_in_use() {
    let mut fleet = warm_fleet();
    let mut live = fleet.stream(0, "sky-brief", LONG);
    live.read_events(3);
    let running = fleet.running();
    fleet.engine_side(running[0]).signal("STOP");
    is_whole(&live.finish(), "sky-brief@v2", LONG);
    fleet.engine_side(running[0]).signal("CONT");
    for model in ["itinerary", "school-mail", "sky-brief@v1", "sky-brief"] {
        let answer = fleet.chat(0, model, 4);
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    assert_eq!(fleet.engine_count("evicted_in_use"), 0);
}

#[test]
fn a_restarted_side_takes_its_engine_over() {
    let mut fleet = warm_fleet();
    for n in 0..2 {
        fleet.engine_side(n).kill();
        fleet.start_engine_side(n);
    }
    fleet.until_ready();
    for model in ["sky-brief", "itinerary", "school-mail"] {
        assert_eq!(fleet.chat(0, model, 4).status, 200);
    }
    assert_eq!(fleet.engine_count("evicted_in_use"), 0);
}

#[test]
fn a_graceful_stop_cuts_no_request_short() {
    struct Case {
        name: &'static str,
        stop: fn(&mut Fleet, usize) -> std::process::ExitStatus,
    }
    fn stop(process: &mut fleet::Process) -> std::process::ExitStatus {
        process.signal("TERM");
        process.wait()
    }
    let cases = [
        Case {
            name: "entry",
            stop: |f, _| stop(&mut f.entries[0]),
        },
        Case {
            name: "side",
            stop: |f, n| stop(f.engine_side(n)),
        },
    ];
    for case in cases {
        let mut fleet = warm_fleet();
        let mut streams: Vec<_> = (0..6).map(|_| fleet.stream(0, "sky-brief", LONG)).collect();
        for live in &mut streams {
            live.read_events(3);
        }
        let n = fleet.running()[0];
        let readers: Vec<_> = streams
            .into_iter()
            .map(|s| thread::spawn(move || s.finish()))
            .collect();
        let status = (case.stop)(&mut fleet, n);
        for reader in readers {
            is_whole(&reader.join().unwrap(), "sky-brief@v2", LONG);
        }
        assert!(status.success(), "{}: {status:?}", case.name);
        assert_eq!(
            fleet.engine_count("aborted"),
            0,
            "{}: nothing was moved",
            case.name
        );
    }
}

#[test]
fn a_stopping_entry_refuses_new_work_as_not_run() {
    let mut fleet = Fleet::start(&FleetOptions::default());
    let mut live = fleet.stream(0, "sky-brief", LONG);
    live.read_events(3);
    fleet.entries[0].signal("TERM");
    let mut refused = None;
    until("it refuses", || {
        let answer = fleet.chat(0, "sky-brief", 1);
        // Once its listener is closed there is no answer at all.
        let stopped = answer.status == 0;
        if answer.status == 503 {
            refused = Some(answer);
        }
        stopped || refused.is_some()
    });
    if let Some(answer) = refused {
        assert_eq!(answer.ran(), "no");
        assert!(answer.has("retry-after"), "{answer:?}");
    }
    is_whole(&live.finish(), "sky-brief@v2", LONG);
    assert!(fleet.entries[0].wait().success());
}

#[test]
fn a_leaving_upstream_gets_no_new_work_after_three_seconds() {
    struct Case {
        name: &'static str,
        leave: fn(&mut Fleet),
    }
    let cases = [
        Case {
            name: "VM list",
            leave: |f| {
                let address = f.sides["engine-0"].address.clone();
                f.list_vm("engine-0", "upstream", "leaving", &address, Some("engines"));
            },
        },
        Case {
            name: "side's signal",
            leave: |f| f.sides["engine-0"].signal("TERM"),
        },
        Case {
            name: "side killed",
            leave: |f| f.engine_side(0).kill(),
        },
    ];
    for case in cases {
        let mut fleet = warm_fleet();
        (case.leave)(&mut fleet);
        thread::sleep(Duration::from_secs(3));
        let before = runs(&fleet, 0);
        for _ in 0..30 {
            assert_eq!(fleet.chat(0, "sky-brief", 1).status, 200, "{}", case.name);
        }
        assert_eq!(runs(&fleet, 0), before, "{}", case.name);
    }
}

fn runs(fleet: &Fleet, n: usize) -> usize {
    let effects = get(&fleet.engines[n].address, "/effects").json();
    effects["runs"].as_array().map_or(0, Vec::len)
}

#[test]
fn a_request_given_up_on_is_answered_at_once_with_when_to_come_back() {
    let options = FleetOptions {
        engines: 1,
        ..FleetOptions::default()
    };
    let mut fleet = Fleet::start(&options);
    fleet.engine_side(0).kill();
    thread::sleep(Duration::from_secs(3));
    let from = Instant::now();
    let answer = fleet.chat(0, "sky-brief", 4);
    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(answer.has("retry-after"), "{answer:?}");
    assert_eq!(answer.ran(), "no");
    assert!(
        from.elapsed() < Duration::from_secs(2),
        "{:?}",
        from.elapsed()
    );
}

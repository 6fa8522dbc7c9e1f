//! Requests under which upstreams end: what is remembered, passed on, tried and forgotten.

use pumicecleat_policy::{SuspectSync, SuspectTable, TRIAL_MIN_ENDS, Trials, end_key};
use pumicecleat_types::{Fingerprint, Millis, Seen, Trial};

/// Time for which a request is remembered.
const MEMORY: Millis = Millis(600_000);

fn request(n: u32) -> Fingerprint {
    let mut bytes = [0; 16];
    bytes[..4].copy_from_slice(&n.to_be_bytes());
    Fingerprint(bytes)
}

/// What becomes known to a process.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// An upstream ended.
    Ended(u64),
    /// The request was served.
    Served,
}

struct EndCase {
    name: &'static str,
    /// What three processes see, in this order, before they tell each other all.
    steps: &'static [(usize, Step)],
    /// Ends that count afterwards.
    ends: usize,
}

#[test]
fn ends_are_counted_once_and_a_served_request_is_cleared_whoever_tells_first() {
    use Step::{Ended, Served};
    let cases = [
        EndCase {
            name: "one end that all see",
            steps: &[(0, Ended(1)), (1, Ended(1)), (2, Ended(1))],
            ends: 1,
        },
        EndCase {
            name: "an end each",
            steps: &[(0, Ended(1)), (1, Ended(2)), (2, Ended(3))],
            ends: 3,
        },
        EndCase {
            name: "served where the end was seen",
            steps: &[(0, Ended(1)), (1, Ended(1)), (0, Served)],
            ends: 0,
        },
        EndCase {
            name: "served, then another end",
            steps: &[(0, Ended(1)), (0, Served), (1, Ended(2))],
            ends: 1,
        },
    ];
    for case in cases {
        for order in [[0, 1, 2], [2, 1, 0], [1, 0, 2], [1, 2, 0]] {
            let mut all: Vec<SuspectTable> = (1..4).map(SuspectTable::new).collect();
            for (at, step) in case.steps {
                match step {
                    Ended(key) => {
                        all[*at].record_end(request(1), *key, false, Millis(5));
                    }
                    Served => {
                        all[*at].record_served(&request(1));
                    }
                }
            }
            // Twice, so that old words come after new ones.
            for _ in 0..2 {
                for from in order {
                    let news = all[from].news(Seen::default(), Millis(9));
                    for to in &mut all {
                        to.merge(&news.words, Millis(9));
                    }
                }
            }
            for known in &all {
                let ends = known.end_count(&request(1), Millis(9));
                assert_eq!(ends, case.ends, "{} {order:?}", case.name);
            }
        }
    }
}

#[test]
fn each_call_tells_only_what_is_new_and_one_that_starts_again_hears_all() {
    let mut gateway = SuspectTable::new(1);
    let mut links = SuspectSync::default();
    let agent = "10.0.0.1:80".parse().unwrap();
    let now = Millis(5);
    let mut call = |gateway: &mut SuspectTable, side: &mut SuspectTable| {
        let call = links.outgoing_news(agent, gateway, now);
        side.merge(&call.news.words, now);
        let reply = side.news(call.news.seen, now);
        links.handle_reply(agent, call.sent_up_to, &reply, gateway, now);
        call.news.words.len()
    };
    let mut side = SuspectTable::new(2);
    gateway.record_end(request(1), 1, false, now);
    gateway.record_end(request(2), 1, false, now);
    assert_eq!(call(&mut gateway, &mut side), 2);
    assert_eq!(call(&mut gateway, &mut side), 0);
    side.record_end(request(3), 2, false, now);
    assert_eq!(call(&mut gateway, &mut side), 0);
    assert_eq!(gateway.end_count(&request(3), now), 1);
    let mut side = SuspectTable::new(3);
    call(&mut gateway, &mut side);
    assert_eq!(call(&mut gateway, &mut side), 3);
    assert_eq!(side.len(), 3);
}

#[test]
fn many_requests_are_told_of_in_several_calls() {
    let mut gateway = SuspectTable::new(1);
    for n in 0..300 {
        gateway.record_end(request(n), 1, false, Millis(5));
    }
    let mut side = SuspectTable::new(2);
    let mut seen = Seen::default();
    for _ in 0..4 {
        let news = gateway.news(seen, Millis(5));
        assert!(news.words.len() <= 128);
        side.merge(&news.words, Millis(5));
        seen = news.seen;
    }
    assert_eq!(side.len(), 300);
}

#[test]
fn a_flood_of_requests_keeps_those_with_more_ends_and_bounded_memory() {
    let mut known = SuspectTable::new(1);
    let (poison, now) = (request(u32::MAX), Millis(5));
    known.record_end(poison, 1, false, now);
    known.record_end(poison, 2, false, now);
    for n in 0..6_000 {
        known.record_end(request(n), 3, false, now);
    }
    assert!(known.len() <= 4_096);
    assert_eq!(known.end_count(&poison, now), 2);
    assert_eq!(known.end_count(&request(5_999), now), 1);
}

#[test]
fn a_request_that_comes_is_remembered_and_one_that_rests_is_forgotten_everywhere() {
    let mut known = SuspectTable::new(1);
    known.record_end(request(1), 1, false, Millis(0));
    known.record_end(request(2), 1, false, Millis(0));
    let half = Millis(MEMORY.0 / 2);
    known.touch(&request(1), half);
    let late = MEMORY + Millis(1);
    assert_eq!(known.end_count(&request(1), late), 1);
    assert_eq!(known.end_count(&request(2), late), 0);
    let mut other = SuspectTable::new(2);
    other.merge(&known.news(Seen::default(), late).words, late);
    assert_eq!(other.end_count(&request(1), late), 1);
    assert_eq!(other.end_count(&request(2), late), 0);
}

#[test]
fn another_start_of_an_upstream_under_its_name_is_another_end() {
    let keys = [
        end_key("i-1", None),
        end_key("i-1", Some(7)),
        end_key("i-1", Some(8)),
        end_key("i-2", None),
    ];
    for (n, key) in keys.iter().enumerate() {
        assert!(!keys[n + 1..].contains(key));
    }
}

struct TrialCase {
    name: &'static str,
    /// Time of an ask, ms, and ends known then.
    asks: &'static [(u64, usize)],
    /// What the last of them gets.
    last: Option<Trial>,
}

#[test]
fn a_suspect_is_sent_twice_more_at_most() {
    use Trial::{Alone, Shared};
    let cases = [
        TrialCase {
            name: "first",
            asks: &[(0, 2)],
            last: Some(Shared),
        },
        TrialCase {
            name: "while the first has no outcome",
            asks: &[(0, 2), (300, 2)],
            last: None,
        },
        TrialCase {
            name: "after the first ended an upstream",
            asks: &[(0, 2), (300, 3)],
            last: Some(Alone),
        },
        TrialCase {
            name: "after the first had no outcome",
            asks: &[(0, 2), (3_000, 2)],
            last: Some(Alone),
        },
        TrialCase {
            name: "after both",
            asks: &[(0, 2), (300, 3), (600, 4)],
            last: None,
        },
        TrialCase {
            name: "after both without an outcome",
            asks: &[(0, 2), (3_000, 2), (8_000, 2)],
            last: None,
        },
        TrialCase {
            name: "all upstreams ended at once",
            asks: &[(0, 9)],
            last: Some(Shared),
        },
        TrialCase {
            name: "long after both without an outcome",
            asks: &[(0, 2), (3_000, 2), (9_000, 2)],
            last: Some(Alone),
        },
        TrialCase {
            name: "rested",
            asks: &[(0, 2), (300, 3), (700_000, 2)],
            last: Some(Shared),
        },
    ];
    for case in cases {
        let mut trials = Trials::default();
        let asks = case.asks.iter();
        let outcomes = asks.map(|(at, ends)| trials.try_grant(request(1), *ends, Millis(*at)));
        let last = outcomes.last().unwrap();
        assert_eq!(last.ok(), case.last, "{}", case.name);
        assert!(
            last.is_ok() || last.unwrap_err() > Millis(0),
            "{}",
            case.name
        );
    }
}

#[test]
fn leave_that_was_not_used_can_be_had_again() {
    let mut trials = Trials::default();
    assert_eq!(
        trials.try_grant(request(1), 2, Millis(0)),
        Ok(Trial::Shared)
    );
    trials.give_back(&request(1));
    assert_eq!(
        trials.try_grant(request(1), 2, Millis(1)),
        Ok(Trial::Shared)
    );
    assert_eq!(trials.try_grant(request(1), 3, Millis(2)), Ok(Trial::Alone));
    trials.give_back(&request(1));
    assert_eq!(trials.try_grant(request(1), 3, Millis(3)), Ok(Trial::Alone));
}

/// Whether a request may be sent, and by which trial if it needs one.
fn ask(
    known: &SuspectTable,
    trials: &mut Trials,
    request: Fingerprint,
    now: Millis,
) -> Result<Option<Trial>, Millis> {
    let ends = known.end_count(&request, now);
    if ends < TRIAL_MIN_ENDS {
        return Ok(None);
    }
    if let Some(rest) = known.retry_after(&request, now) {
        return Err(rest);
    }
    trials.try_grant(request, ends, now).map(Some)
}

/// Plays a poison request among harmless ones: all of an engine's are there when it ends, and come again.
fn play(harmless: u32, engines: usize) -> (usize, u32) {
    let mut known = SuspectTable::new(1);
    let mut trials = Trials::default();
    let poison = request(0);
    let mut ended = 0;
    let mut waiting: Vec<u32> = (1..=harmless).collect();
    for round in 0..20_u64 {
        let now = Millis(round * 1_000);
        // The poison request is at the first engine, beside each one that goes there.
        let mut there = Vec::new();
        let mut refused = Vec::new();
        let permit = ask(&known, &mut trials, poison, now);
        let strikes = permit.is_ok();
        let alone = permit == Ok(Some(Trial::Alone));
        for (n, id) in waiting.drain(..).enumerate() {
            let Ok(own) = ask(&known, &mut trials, request(id), now) else {
                refused.push(id);
                continue;
            };
            let apart = own.is_some() && (alone || own == Some(Trial::Alone));
            if strikes && n % engines == 0 && !apart {
                there.push(id);
            } else {
                known.record_served(&request(id));
            }
        }
        if strikes {
            ended += 1;
            for id in there.iter().chain([&0]) {
                known.record_end(request(*id), round, alone && *id == 0, now);
            }
        }
        waiting = there;
        waiting.append(&mut refused);
    }
    (ended, u32::try_from(waiting.len()).unwrap())
}

struct SideBySide {
    harmless: u32,
    engines: usize,
}

#[test]
fn those_who_ran_beside_a_poison_request_are_all_served_and_four_engines_end() {
    let cases = [
        SideBySide {
            harmless: 1,
            engines: 1,
        },
        SideBySide {
            harmless: 8,
            engines: 1,
        },
        SideBySide {
            harmless: 64,
            engines: 1,
        },
        SideBySide {
            harmless: 64,
            engines: 8,
        },
    ];
    for case in cases {
        let (ended, left) = play(case.harmless, case.engines);
        assert_eq!(
            (ended, left),
            (4, 0),
            "{} at {}",
            case.harmless,
            case.engines
        );
    }
}

//! Requests in progress when upstreams end: storage, exchange between processes, trials and expiry.

use pumicecleat_policy::{SuspectSync, SuspectTable, Trials, end_key, min_ends};
use pumicecleat_types::{ChangeCursor, Fingerprint, Millis, SuspectKey, SuspectKind, Trial};

/// Time for which a request is stored.
const SUSPECT_TTL: Millis = Millis(600_000);

fn request(n: u32) -> SuspectKey {
    let mut bytes = [0; 16];
    bytes[..4].copy_from_slice(&n.to_be_bytes());
    SuspectKey::request(Fingerprint(bytes))
}

/// Event that a process observes.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The upstream with this key ended.
    Ended(u64),
    /// The request was served.
    Served,
}

struct EndCase {
    name: &'static str,
    /// Events that each of three processes observes, in this order, before they exchange everything.
    steps: &'static [(usize, Step)],
    /// Number of ends that the request may have caused afterwards.
    ends: usize,
}

/// Guards against counts that depend on the order of messages.
#[test]
fn ends_are_counted_once_and_a_served_request_is_cleared_whoever_tells_first() {
    use Step::{Ended, Served};
    let cases = [
        EndCase {
            name: "one end that all observe",
            steps: &[(0, Ended(1)), (1, Ended(1)), (2, Ended(1))],
            ends: 1,
        },
        EndCase {
            name: "one end observed by each",
            steps: &[(0, Ended(1)), (1, Ended(2)), (2, Ended(3))],
            ends: 3,
        },
        EndCase {
            name: "served by a process that observed the end",
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
            let mut processes: Vec<SuspectTable> = (1..4).map(SuspectTable::new).collect();
            for (process, step) in case.steps {
                match step {
                    Ended(key) => {
                        processes[*process].record_end(request(1), *key, false, Millis(5));
                    }
                    Served => {
                        processes[*process].record_served(&request(1));
                    }
                }
            }
            // Twice, so that older records arrive after newer ones.
            for _ in 0..2 {
                for from in order {
                    let news = processes[from].news(ChangeCursor::default(), Millis(9));
                    for to in &mut processes {
                        to.merge(&news.reports, Millis(9));
                    }
                }
            }
            for table in &processes {
                let ends = table.end_count(&request(1), Millis(9));
                assert_eq!(ends, case.ends, "{} {order:?}", case.name);
            }
        }
    }
}

/// Guards against calls that repeat what the peer has, and against a restarted peer that is never sent older changes.
#[test]
fn each_call_carries_only_new_changes_and_a_restarted_peer_gets_all() {
    let mut gateway = SuspectTable::new(1);
    let mut sync = SuspectSync::default();
    let agent = "10.0.0.1:80".parse().unwrap();
    let now = Millis(5);
    let mut call = |gateway: &mut SuspectTable, side: &mut SuspectTable| {
        let call = sync.outgoing_news(agent, gateway, now);
        side.merge(&call.news.reports, now);
        let reply = side.news(call.news.seen, now);
        sync.handle_reply(agent, call.sent_up_to, &reply, gateway, now);
        call.news.reports.len()
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

/// Guards against messages of unbounded size, and against losing the requests that do not fit in one.
#[test]
fn many_requests_are_sent_in_several_calls() {
    let mut gateway = SuspectTable::new(1);
    for n in 0..300 {
        gateway.record_end(request(n), 1, false, Millis(5));
    }
    let mut side = SuspectTable::new(2);
    let mut seen = ChangeCursor::default();
    for _ in 0..4 {
        let news = gateway.news(seen, Millis(5));
        assert!(news.reports.len() <= 128);
        side.merge(&news.reports, Millis(5));
        seen = news.seen;
    }
    assert_eq!(side.len(), 300);
}

/// Guards against a flood of requests that evicts a poison request or fills the memory.
#[test]
fn a_flood_of_requests_keeps_those_with_more_ends_and_bounded_memory() {
    let mut table = SuspectTable::new(1);
    let (poison, now) = (request(u32::MAX), Millis(5));
    table.record_end(poison, 1, false, now);
    table.record_end(poison, 2, false, now);
    for n in 0..6_000 {
        table.record_end(request(n), 3, false, now);
    }
    assert!(table.len() <= 4_096);
    assert_eq!(table.end_count(&poison, now), 2);
    assert_eq!(table.end_count(&request(5_999), now), 1);
}

/// Guards against a request that expires although its caller still sends it, and against one that never expires
/// because processes send it to each other.
#[test]
fn a_request_that_arrives_again_is_kept_and_one_that_does_not_expires_everywhere() {
    let mut table = SuspectTable::new(1);
    table.record_end(request(1), 1, false, Millis(0));
    table.record_end(request(2), 1, false, Millis(0));
    let half = Millis(SUSPECT_TTL.0 / 2);
    table.touch(&request(1), half);
    let late = SUSPECT_TTL + Millis(1);
    assert_eq!(table.end_count(&request(1), late), 1);
    assert_eq!(table.end_count(&request(2), late), 0);
    let mut other = SuspectTable::new(2);
    other.merge(&table.news(ChangeCursor::default(), late).reports, late);
    assert_eq!(other.end_count(&request(1), late), 1);
    assert_eq!(other.end_count(&request(2), late), 0);
}

/// Guards against counting the ends of an instance and of its successor of the same name as one.
#[test]
fn each_start_of_an_upstream_has_its_own_end_key() {
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
    /// Time of each attempt to get a trial, in milliseconds, and number of ends by then.
    attempts: &'static [(u64, usize)],
    /// Trial granted to the last of them.
    last: Option<Trial>,
}

/// Guards against a suspect that is sent again while its trial has no outcome, and against one that stays blocked after
/// a trial without an outcome.
#[test]
fn a_suspect_gets_one_shared_trial_and_then_trials_alone() {
    use Trial::{Exclusive, Shared};
    let cases = [
        TrialCase {
            name: "first attempt",
            attempts: &[(0, 2)],
            last: Some(Shared),
        },
        TrialCase {
            name: "while the first trial has no outcome",
            attempts: &[(0, 2), (300, 2)],
            last: None,
        },
        TrialCase {
            name: "after an upstream ended during the first trial",
            attempts: &[(0, 2), (300, 3)],
            last: Some(Exclusive),
        },
        TrialCase {
            name: "after the first trial timed out",
            attempts: &[(0, 2), (3_000, 2)],
            last: Some(Exclusive),
        },
        TrialCase {
            name: "after an upstream ended during both trials",
            attempts: &[(0, 2), (300, 3), (600, 4)],
            last: None,
        },
        TrialCase {
            name: "before the second trial has timed out",
            attempts: &[(0, 2), (3_000, 2), (8_000, 2)],
            last: None,
        },
        TrialCase {
            name: "first attempt after all upstreams ended at once",
            attempts: &[(0, 9)],
            last: Some(Shared),
        },
        TrialCase {
            name: "after both trials timed out",
            attempts: &[(0, 2), (3_000, 2), (9_000, 2)],
            last: Some(Exclusive),
        },
        TrialCase {
            name: "after the trials have expired",
            attempts: &[(0, 2), (300, 3), (700_000, 2)],
            last: Some(Shared),
        },
    ];
    for case in cases {
        let mut trials = Trials::default();
        let attempts = case.attempts.iter();
        let outcomes = attempts.map(|(at, ends)| trials.try_grant(request(1), *ends, Millis(*at)));
        let last = outcomes.last().unwrap();
        assert_eq!(last.ok(), case.last, "{}", case.name);
        assert!(
            last.is_ok() || last.unwrap_err() > Millis(0),
            "{}",
            case.name
        );
    }
}

/// Guards against losing a trial whose request is not sent.
#[test]
fn a_trial_that_is_given_back_is_granted_again() {
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
    assert_eq!(
        trials.try_grant(request(1), 3, Millis(2)),
        Ok(Trial::Exclusive)
    );
    trials.give_back(&request(1));
    assert_eq!(
        trials.try_grant(request(1), 3, Millis(3)),
        Ok(Trial::Exclusive)
    );
}

/// Decides whether a request may be sent, and in which trial if it needs one.
fn try_send(
    table: &SuspectTable,
    trials: &mut Trials,
    request: SuspectKey,
    now: Millis,
) -> Result<Option<Trial>, Millis> {
    let ends = table.end_count(&request, now);
    if ends < min_ends(SuspectKind::Request) {
        return Ok(None);
    }
    if let Some(retry_after) = table.retry_after(&request, now) {
        return Err(retry_after);
    }
    trials.try_grant(request, ends, now).map(Some)
}

/// Simulates a poison request among harmless ones: the requests in progress at an engine that ends are sent again.
/// Returns the number of ends and of requests not served.
fn simulate(harmless: u32, engines: usize) -> (usize, u32) {
    let mut table = SuspectTable::new(1);
    let mut trials = Trials::default();
    let poison = request(0);
    let mut ended = 0;
    let mut waiting: Vec<u32> = (1..=harmless).collect();
    for round in 0..20_u64 {
        let now = Millis(round * 1_000);
        // The poison request is sent to the first engine, where it runs together with all others sent there.
        let mut interrupted = Vec::new();
        let mut refused = Vec::new();
        let permit = try_send(&table, &mut trials, poison, now);
        let poison_sent = permit.is_ok();
        let alone = permit == Ok(Some(Trial::Exclusive));
        for (n, id) in waiting.drain(..).enumerate() {
            let Ok(own) = try_send(&table, &mut trials, request(id), now) else {
                refused.push(id);
                continue;
            };
            let separate = own.is_some() && (alone || own == Some(Trial::Exclusive));
            if poison_sent && n % engines == 0 && !separate {
                interrupted.push(id);
            } else {
                table.record_served(&request(id));
            }
        }
        if poison_sent {
            ended += 1;
            for id in interrupted.iter().chain([&0]) {
                table.record_end(request(*id), round, alone && *id == 0, now);
            }
        }
        waiting = interrupted;
        waiting.append(&mut refused);
    }
    (ended, u32::try_from(waiting.len()).unwrap())
}

struct Mix {
    harmless: u32,
    engines: usize,
}

/// Guards against harmless requests that stay refused after they ran together with a poison request, and against a
/// poison request that ends further engines.
#[test]
fn those_who_ran_beside_a_poison_request_are_all_served_and_four_engines_end() {
    let cases = [
        Mix {
            harmless: 1,
            engines: 1,
        },
        Mix {
            harmless: 8,
            engines: 1,
        },
        Mix {
            harmless: 64,
            engines: 1,
        },
        Mix {
            harmless: 64,
            engines: 8,
        },
    ];
    for case in cases {
        let (ended, unserved) = simulate(case.harmless, case.engines);
        assert_eq!(
            (ended, unserved),
            (4, 0),
            "{} on {}",
            case.harmless,
            case.engines
        );
    }
}

//! Rate limit of an upstream after a sequence of responses.

use std::collections::BTreeMap;

use pumicecleat_policy::{
    Admission, AllowanceDecision, AllowancePool, LimitSource, RateLimits, SlotQueue, limit_terms,
};
use pumicecleat_types::{LimitNews, Millis};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Send time of the request, arrival of the response, start of the upstream, and rate limit.
type Response = (u64, u64, Option<u64>, Option<u64>);

struct Case {
    name: &'static str,
    responses: &'static [Response],
    rate: Option<u64>,
}

const CASES: [Case; 10] = [
    Case {
        name: "no limit",
        responses: &[(0, 10, None, None)],
        rate: None,
    },
    Case {
        name: "first limit",
        responses: &[(0, 10, None, Some(1_100))],
        rate: Some(1_100),
    },
    Case {
        name: "a lower limit applies even if its request was sent earlier",
        responses: &[(5, 10, None, Some(1_100)), (0, 11, None, Some(500))],
        rate: Some(500),
    },
    Case {
        name: "a higher limit applies if its request was sent later",
        responses: &[(0, 10, None, Some(1_100)), (12, 20, None, Some(2_000))],
        rate: Some(2_000),
    },
    Case {
        name: "a higher limit is ignored if its request was sent earlier",
        responses: &[(5, 10, None, Some(1_100)), (0, 11, None, Some(2_000))],
        rate: Some(1_100),
    },
    Case {
        name: "a response without a limit clears it if its request was sent later",
        responses: &[(0, 10, None, Some(1_100)), (12, 20, None, None)],
        rate: None,
    },
    Case {
        name: "a response without a limit is ignored if its request was sent earlier",
        responses: &[(5, 10, None, Some(1_100)), (0, 11, None, None)],
        rate: Some(1_100),
    },
    Case {
        name: "a limit of 0 applies",
        responses: &[(0, 10, None, Some(0))],
        rate: Some(0),
    },
    Case {
        name: "a restart clears the limit",
        responses: &[(0, 10, Some(1), Some(1_100)), (5, 20, Some(2), None)],
        rate: None,
    },
    Case {
        name: "a late response from before a restart is ignored",
        responses: &[(0, 10, Some(2), Some(1_100)), (0, 20, Some(1), Some(500))],
        rate: Some(1_100),
    },
];

/// Guards against raising or clearing a limit on a response that arrives out of order.
#[test]
fn only_responses_to_later_requests_raise_or_clear_a_limit() {
    for case in &CASES {
        let mut limits = RateLimits::default();
        let mut last_born = None;
        for (sent_at, received_at, born, rate) in case.responses {
            let source = LimitSource {
                instance: "i-1",
                born: *born,
            };
            limits.update(source, *rate, Millis(*sent_at), Millis(*received_at));
            last_born = *born;
        }
        assert_eq!(limits.rate("i-1", last_born), case.rate, "{}", case.name);
    }
}

/// Guards against reporting every malformed limit of an upstream.
#[test]
fn a_malformed_limit_is_reported_once() {
    let mut limits = RateLimits::default();
    let reported = [limits.note_unreadable("i-1"), limits.note_unreadable("i-1")];
    assert_eq!(reported, [true, false]);
}

/// Processes that share a limit; each sends a request whenever it has a free slot.
struct SharedLimit {
    processes: u32,
    /// Requests per 1,000 seconds.
    rate: u64,
}

const SHARED_LIMITS: [SharedLimit; 8] = [
    SharedLimit {
        processes: 4,
        rate: 1_100,
    },
    SharedLimit {
        processes: 4,
        rate: 1_300,
    },
    SharedLimit {
        processes: 3,
        rate: 0,
    },
    SharedLimit {
        processes: 60,
        rate: 200,
    },
    SharedLimit {
        processes: 68,
        rate: 5_000,
    },
    SharedLimit {
        processes: 300,
        rate: 20_000,
    },
    SharedLimit {
        processes: 2,
        rate: 50_000,
    },
    SharedLimit {
        processes: 1,
        rate: 1_100,
    },
];

/// Duration of a simulation, ms.
const DURATION_MS: u64 = 120_000;

/// Length of the windows in which requests are counted, ms.
const WINDOW_MS: u64 = 4_000;

impl SharedLimit {
    /// Returns when requests were sent, in order.
    fn simulate(&self, rng: &mut ChaCha8Rng) -> Vec<u64> {
        let mut sent = Vec::new();
        let source = LimitSource {
            instance: "i-1",
            born: None,
        };
        for _ in 0..self.processes {
            let mut limits = RateLimits::new_ext(rng.random());
            limits.update(source, Some(self.rate), Millis(0), Millis(0));
            for now in 0..DURATION_MS {
                let admission = limits.reserve(source, self.processes, Millis(0), Millis(now));
                if matches!(admission, Admission::Reserved(_)) {
                    sent.push(now);
                }
            }
        }
        sent.sort_unstable();
        sent
    }

    /// Maximum number of requests in a window: 1.5 times the limit, plus 5.
    fn max_in_window(&self) -> u64 {
        self.rate * WINDOW_MS * 3 / 2_000_000 + 5
    }
}

/// Guards against processes that together exceed a limit, by rounding up small shares to whole requests or by
/// bursts when the limit starts.
#[test]
fn processes_that_share_a_limit_keep_it_together() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for shared in &SHARED_LIMITS {
        let sent = shared.simulate(&mut rng);
        let counts = sent.iter().map(|from| {
            let within = sent
                .iter()
                .filter(|at| (*from..from + WINDOW_MS).contains(at));
            within.count() as u64
        });
        let max = counts.max().unwrap_or_default();
        let name = (shared.processes, shared.rate);
        assert!(max <= shared.max_in_window(), "{name:?}: {max}");
        let min = shared.rate.max(250) * DURATION_MS / 1_000_000 / 2;
        assert!(sent.len() as u64 >= min, "{name:?}: {}", sent.len());
    }
}

/// Guards against losing the slot of a request that is not sent.
#[test]
fn a_slot_that_is_given_back_is_free_again() {
    let source = LimitSource {
        instance: "i-1",
        born: None,
    };
    let mut limits = RateLimits::new_ext(0.0);
    limits.update(source, Some(1_000), Millis(0), Millis(0));
    let mut reserve = |max_wait| limits.reserve(source, 1, Millis(max_wait), Millis(0));
    let Admission::Reserved(first) = reserve(0) else {
        panic!("the first slot must be free immediately");
    };
    assert_eq!(reserve(500), Admission::Refused(Millis(1_000)));
    let Admission::Reserved(second) = reserve(1_000) else {
        panic!("the second slot must be free within 1 s");
    };
    assert_eq!((first.wait, second.wait), (Millis(0), Millis(1_000)));
    limits.give_back("i-1", second);
    assert_eq!(limits.wait(source, 1, Millis(0)), Millis(1_000));
}

struct NewsCase {
    name: &'static str,
    /// Time of arrival, rate, and age of each item.
    news: &'static [(u64, Option<u64>, u64)],
    rate: Option<u64>,
}

/// Guards against older news of a limit replacing newer news.
#[test]
fn limit_news_is_ordered_by_the_time_of_its_response() {
    const CASES: [NewsCase; 4] = [
        NewsCase {
            name: "first news applies",
            news: &[(10, Some(1_100), 5)],
            rate: Some(1_100),
        },
        NewsCase {
            name: "older news that arrives later is ignored",
            news: &[(10, Some(1_100), 5), (20, Some(500), 18)],
            rate: Some(1_100),
        },
        NewsCase {
            name: "newer news clears the limit",
            news: &[(10, Some(1_100), 5), (20, None, 1)],
            rate: None,
        },
        NewsCase {
            name: "news from before the end of the limit is ignored",
            news: &[(10, Some(1_100), 5), (20, None, 1), (21, Some(1_100), 9)],
            rate: None,
        },
    ];
    for case in &CASES {
        let mut limits = RateLimits::new_ext(1.0);
        for (now, rate, age_ms) in case.news {
            let news = LimitNews {
                rate: *rate,
                age_ms: *age_ms,
            };
            limits.apply_news("i-1", news, Millis(*now));
        }
        assert_eq!(limits.rate("i-1", None), case.rate, "{}", case.name);
    }
}

/// Instance with a limit that several gateways send requests to.
const LIMITED: &str = "i-1";

/// Objective of the requests to it, which bounds their wait for a slot.
const OBJECTIVE: Millis = Millis(300);

/// Interval between two requests of a gateway with demand, ms.
const DEMAND_MS: u64 = 20;

/// Interval between the calls that attach a gateway to a pool, ms.
const ATTACH_MS: u64 = 300;

/// How gateways and pools decide.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sharing {
    /// Pools grant for the attached gateways, and own shares are equal.
    Pooled,
    /// A gateway without a pool takes the whole rate.
    AloneIsAll,
    /// A pool takes the gateways attached to it for all there are.
    ForgetsOthers,
    /// A gateway that loses its pool goes on with the slots that it had not used.
    KeepsSlots,
}

/// What happens to gateways and pools.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// No pool is reached by these gateways for a while.
    Cut(&'static [usize], u64),
    /// The first pool is lost for a while.
    PoolLost(u64),
    /// The first pool stands still for a while, and goes on with what it knew.
    PoolFrozen(u64),
    /// Every second gateway stands still for a while.
    GatewaysFrozen(u64),
    /// Every second gateway reaches only the second pool for a while.
    Divided(u64),
    /// All processes start anew.
    AllStart,
}

struct Crowd {
    name: &'static str,
    events: &'static [(u64, Event)],
    /// Whether the crowd's gateway reaches a pool and all others are attached to it, in the last seconds.
    is_whole: bool,
}

const CROWDS: [Crowd; 10] = [
    Crowd {
        name: "all reach one pool",
        events: &[],
        is_whole: true,
    },
    Crowd {
        name: "the pool is lost and returns",
        events: &[(8_000, Event::PoolLost(5_000))],
        is_whole: true,
    },
    Crowd {
        name: "pools are lost again and again",
        events: &[
            (8_000, Event::PoolLost(1_500)),
            (11_000, Event::PoolLost(1_500)),
            (14_000, Event::PoolLost(1_500)),
        ],
        is_whole: true,
    },
    Crowd {
        name: "the pool stands still",
        events: &[
            (8_000, Event::PoolFrozen(3_000)),
            (14_000, Event::PoolFrozen(500)),
        ],
        is_whole: true,
    },
    Crowd {
        name: "gateways stand still",
        events: &[
            (8_000, Event::GatewaysFrozen(3_000)),
            (14_000, Event::GatewaysFrozen(500)),
        ],
        is_whole: true,
    },
    Crowd {
        name: "the crowd's gateway is cut off",
        events: &[(8_000, Event::Cut(&[0], 20_000))],
        is_whole: false,
    },
    Crowd {
        name: "all are cut off and return",
        events: &[(8_000, Event::Cut(&[0, 1, 2, 3], 6_000))],
        is_whole: true,
    },
    Crowd {
        name: "two pools at once",
        events: &[(8_000, Event::Divided(20_000))],
        is_whole: false,
    },
    Crowd {
        name: "all start anew, with two pools",
        events: &[(8_000, Event::Divided(20_000)), (8_010, Event::AllStart)],
        is_whole: false,
    },
    Crowd {
        name: "all start anew",
        events: &[(8_000, Event::AllStart)],
        is_whole: true,
    },
];

/// End of a play, and start of its part in which the share is measured, ms.
const PLAY_MS: u64 = 26_000;
const MEASURED_FROM_MS: u64 = 20_000;

struct Sender {
    name: String,
    limits: RateLimits,
    queue: SlotQueue,
    /// Gateways that pools have told of.
    told: u32,
    cut_until: u64,
    frozen_until: u64,
    /// Times at which waiting requests ask, and until when they wait.
    waiting: BTreeMap<u64, Vec<Millis>>,
}

impl Sender {
    fn new(n: usize, rate: u64, now: u64, rng: &mut ChaCha8Rng) -> Self {
        let mut limits = RateLimits::new_ext(rng.random());
        limits.update(source(), Some(rate), Millis(now), Millis(now));
        Self {
            name: format!("gateway-{n}"),
            limits,
            queue: SlotQueue::default(),
            told: 0,
            cut_until: 0,
            frozen_until: 0,
            waiting: BTreeMap::new(),
        }
    }
}

fn source() -> LimitSource<'static> {
    LimitSource {
        instance: LIMITED,
        born: None,
    }
}

struct Play {
    rng: ChaCha8Rng,
    rate: u64,
    sharing: Sharing,
    pools: [AllowancePool; 2],
    lost_until: u64,
    divided_until: u64,
    senders: Vec<Sender>,
    /// Times and gateways of the requests that were sent.
    sent: Vec<(u64, usize)>,
}

impl Play {
    fn new(gateways: usize, rate: u64, sharing: Sharing, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let senders = (0..gateways).map(|n| Sender::new(n, rate, 0, &mut rng));
        Self {
            senders: senders.collect(),
            rng,
            rate,
            sharing,
            pools: Default::default(),
            lost_until: 0,
            divided_until: 0,
            sent: Vec::new(),
        }
    }

    fn apply(&mut self, event: Event, now: u64) {
        match event {
            Event::Cut(gateways, span) => {
                let is_all = gateways.len() > 1;
                for (n, sender) in self.senders.iter_mut().enumerate() {
                    if is_all || gateways.contains(&n) {
                        sender.cut_until = now + span;
                    }
                }
            }
            Event::PoolLost(span) => {
                self.lost_until = now + span;
                self.pools[0] = AllowancePool::default();
            }
            Event::PoolFrozen(span) => self.lost_until = now + span,
            Event::GatewaysFrozen(span) => {
                for sender in self.senders.iter_mut().step_by(2) {
                    sender.frozen_until = now + span;
                }
            }
            Event::Divided(span) => self.divided_until = now + span,
            Event::AllStart => {
                self.pools = Default::default();
                for n in 0..self.senders.len() {
                    self.senders[n] = Sender::new(n, self.rate, now, &mut self.rng);
                }
            }
        }
    }

    fn reached(&self, n: usize, now: u64) -> Option<usize> {
        if now < self.senders[n].cut_until {
            return None;
        }
        let is_far = now < self.divided_until && n % 2 == 1;
        Some(usize::from(is_far || now < self.lost_until))
    }

    /// Attaches gateway `n` to the pool that it reaches.
    fn attach(&mut self, n: usize, now: u64) -> Option<usize> {
        let pool = self.reached(n, now)?;
        let count = u32::try_from(self.senders.len()).unwrap();
        let at = Millis(now);
        let sender = &mut self.senders[n];
        let told = if self.sharing == Sharing::ForgetsOthers {
            0
        } else {
            sender.told.max(count)
        };
        self.pools[pool].attach(&sender.name, told, at);
        sender.told = sender.told.max(self.pools[pool].gateway_count(at));
        if self.sharing != Sharing::KeepsSlots {
            sender.limits.note_lent(LIMITED, at);
        }
        Some(pool)
    }

    /// One request of gateway `n` that may wait until `due`, and may already have waited.
    fn request(&mut self, n: usize, due: Millis, has_waited: bool, now: u64) {
        let at = Millis(now);
        let Some(pool) = self.attach(n, now) else {
            let alone = self.sharing == Sharing::AloneIsAll;
            let count = u32::try_from(self.senders.len()).unwrap();
            let sharers = if alone { 1 } else { count };
            let limits = &mut self.senders[n].limits;
            if let Admission::Reserved(slot) = limits.reserve(source(), sharers, due.since(at), at)
            {
                self.sent.push((now + slot.wait.0, n));
            }
            return;
        };
        let sender = &mut self.senders[n];
        let wait = sender.queue.wait(LIMITED, at);
        if wait > Millis(0) && !has_waited {
            self.await_slot(n, due, now);
            return;
        }
        match self.pools[pool].request(LIMITED, limit_terms(self.rate), 1, at) {
            AllowanceDecision::Granted => self.sent.push((now, n)),
            AllowanceDecision::Refused(wait) => {
                let sender = &mut self.senders[n];
                sender.queue.note_refused(LIMITED, wait, at);
                if !has_waited {
                    self.await_slot(n, due, now);
                } else if at + wait <= due {
                    sender.waiting.entry(now + wait.0).or_default().push(due);
                }
            }
        }
    }

    fn await_slot(&mut self, n: usize, due: Millis, now: u64) {
        let sender = &mut self.senders[n];
        if Millis(now) + sender.queue.wait(LIMITED, Millis(now)) <= due {
            let wait = sender.queue.enter(LIMITED, self.rate, Millis(now));
            sender.waiting.entry(now + wait.0).or_default().push(due);
        }
    }

    /// Plays `events` while the first `demanding` gateways send requests.
    fn run(mut self, events: &[(u64, Event)], demanding: usize) -> Vec<(u64, usize)> {
        for now in 0..PLAY_MS {
            for (at, event) in events {
                if *at == now {
                    self.apply(*event, now);
                }
            }
            for n in 0..self.senders.len() {
                if now < self.senders[n].frozen_until {
                    continue;
                }
                if (now + n as u64 * 7).is_multiple_of(ATTACH_MS) {
                    self.attach(n, now);
                }
                let later = self.senders[n].waiting.split_off(&(now + 1));
                let waiting = std::mem::replace(&mut self.senders[n].waiting, later);
                for due in waiting.into_values().flatten() {
                    self.request(n, due, true, now);
                }
                if n < demanding && (now + n as u64).is_multiple_of(DEMAND_MS) {
                    self.request(n, Millis(now) + OBJECTIVE, false, now);
                }
            }
        }
        self.sent.sort_unstable();
        self.sent
    }
}

/// Largest number of requests in a window.
fn most_in_window(sent: &[(u64, usize)]) -> u64 {
    let (mut most, mut first) = (0, 0);
    for (n, (at, _)) in sent.iter().enumerate() {
        while sent[first].0 + WINDOW_MS <= *at {
            first += 1;
        }
        most = most.max(n + 1 - first);
    }
    most as u64
}

/// Numbers of gateways and rates of the plays.
const FLEETS: [(usize, u64); 5] = [(4, 0), (4, 1_100), (4, 20_000), (29, 1_100), (29, 20_000)];

/// Plays all crowds over all fleets; returns those that send more than the bound, with what they sent.
fn exceeding(sharing: Sharing) -> impl Iterator<Item = String> {
    let fleets = |crowd: &'static Crowd| FLEETS.into_iter().map(move |fleet| (crowd, fleet));
    let plays = CROWDS.iter().flat_map(fleets);
    let plays = plays.flat_map(|(crowd, fleet)| [(crowd, fleet, 1), (crowd, fleet, fleet.0)]);
    plays.filter_map(move |(crowd, (gateways, rate), demanding)| {
        let play = Play::new(gateways, rate, sharing, demanding as u64);
        let most = most_in_window(&play.run(crowd.events, demanding));
        let bound = rate * WINDOW_MS * 3 / 2_000_000 + 5;
        let name = (crowd.name, gateways, demanding, rate);
        (most > bound).then(|| format!("{name:?}: {most} of {bound}"))
    })
}

/// Guards against gateways that together exceed a limit while pools and gateways are lost, divided or started.
#[test]
fn a_limit_that_pools_grant_is_kept_by_all_together() {
    let found: Vec<String> = exceeding(Sharing::Pooled).collect();
    assert!(found.is_empty(), "{found:#?}");
}

/// The plays find what breaks the sum.
#[test]
fn naive_shares_of_a_limit_exceed_it() {
    for sharing in [
        Sharing::AloneIsAll,
        Sharing::ForgetsOthers,
        Sharing::KeepsSlots,
    ] {
        let found = exceeding(sharing).next();
        println!("{sharing:?}: {found:?}");
        assert!(found.is_some(), "{sharing:?}");
    }
}

/// Guards against fixed shares: a gateway with all callers gets what all had.
#[test]
#[allow(clippy::cast_precision_loss, reason = "a few thousand requests")]
fn a_gateway_with_all_callers_gets_the_whole_limit() {
    for crowd in CROWDS.iter().filter(|c| c.is_whole) {
        for (gateways, rate) in FLEETS.into_iter().filter(|(_, rate)| *rate > 0) {
            let play = Play::new(gateways, rate, Sharing::Pooled, 1);
            let sent = play.run(crowd.events, 1);
            let sent = sent.iter().filter(|(at, _)| *at >= MEASURED_FROM_MS);
            let part =
                sent.count() as f64 * 1_000_000.0 / (rate * (PLAY_MS - MEASURED_FROM_MS)) as f64;
            let name = (crowd.name, gateways, rate);
            assert!(part >= 0.75, "{name:?}: {part:.2}");
        }
    }
}

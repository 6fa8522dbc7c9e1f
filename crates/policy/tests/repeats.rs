//! Limit on repeated sends, summed over all gateways and all their starts.

use std::collections::BTreeMap;

use pumicecleat_policy::{GatewayCount, RepeatLimit, RepeatOptions};
use pumicecleat_types::Millis;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const WINDOW_MS: usize = 10_000;
const RATIO: f64 = 0.2;
/// Longest time between the send of a repeat and its arrival.
const TRANSIT_MS: usize = 1_450;
/// Time between two steps.
const STEP_MS: usize = 10;
const STEPS: usize = 4_500;
const WINDOW_STEPS: usize = WINDOW_MS / STEP_MS;

/// Disturbances of a search.
#[derive(Clone, Copy, Debug)]
struct Disturbances {
    name: &'static str,
    /// Mean time between kills of some or all gateways; 0 for none.
    kills_ms: usize,
    /// Mean time between changes of how much each gateway gets.
    shifts_ms: usize,
    /// Mean time between cuts of some gateways and one agent from the others, one to four windows long; 0 for none.
    cuts_ms: usize,
    /// Mean time between losses that have many requests sent again at once.
    losses_ms: usize,
    /// Largest number of gateways.
    gateways: usize,
    /// Slack of all gateways together.
    slack: f64,
    /// Largest number of requests per step to all gateways.
    max_rate: f64,
}

const SEARCHES: [Disturbances; 8] = [
    Disturbances {
        name: "kills in quick succession",
        kills_ms: 800,
        shifts_ms: 20_000,
        cuts_ms: 0,
        losses_ms: 2_000,
        gateways: 8,
        slack: 56.0,
        max_rate: 1.5,
    },
    Disturbances {
        name: "kills a window apart",
        kills_ms: 9_000,
        shifts_ms: 20_000,
        cuts_ms: 0,
        losses_ms: 3_000,
        gateways: 8,
        slack: 56.0,
        max_rate: 1.5,
    },
    Disturbances {
        name: "requests move between gateways",
        kills_ms: 0,
        shifts_ms: 4_000,
        cuts_ms: 0,
        losses_ms: 4_000,
        gateways: 4,
        slack: 56.0,
        max_rate: 1.5,
    },
    Disturbances {
        name: "all at once",
        kills_ms: 3_000,
        shifts_ms: 2_500,
        cuts_ms: 0,
        losses_ms: 2_500,
        gateways: 8,
        slack: 56.0,
        max_rate: 1.5,
    },
    Disturbances {
        name: "one gateway",
        kills_ms: 4_000,
        shifts_ms: 3_000,
        cuts_ms: 0,
        losses_ms: 3_000,
        gateways: 1,
        slack: 56.0,
        max_rate: 1.5,
    },
    Disturbances {
        name: "less slack than gateways",
        kills_ms: 3_000,
        shifts_ms: 2_500,
        cuts_ms: 0,
        losses_ms: 2_500,
        gateways: 12,
        slack: 6.0,
        max_rate: 1.5,
    },
    Disturbances {
        name: "gateways are cut off from others",
        kills_ms: 0,
        shifts_ms: 5_000,
        cuts_ms: 2_000,
        losses_ms: 4_000,
        gateways: 30,
        slack: 56.0,
        max_rate: 0.2,
    },
    Disturbances {
        name: "many gateways",
        kills_ms: 2_000,
        shifts_ms: 2_500,
        cuts_ms: 0,
        losses_ms: 2_500,
        gateways: 60,
        slack: 100.0,
        max_rate: 1.5,
    },
];

/// Shares of the slack before the first report.
const MIN_SHARES: u32 = 8;
/// Steps between the reports of agents.
const REPORT_STEPS: usize = 20;

/// A gateway; `limit` is `None` while it is down.
struct Gateway {
    limit: Option<RepeatLimit>,
    count: GatewayCount,
    /// Side of the cut.
    side: usize,
    /// Reserved repeats, by the step at which each is sent or given up.
    reserved: BTreeMap<usize, u32>,
    /// Step at which it starts again.
    back_at: usize,
    /// Requests per step.
    rate: f64,
    due: f64,
}

struct Fleet {
    slack: f64,
    max_rate: f64,
    rng: ChaCha8Rng,
    gateways: Vec<Gateway>,
    /// For each of two agents, the step of its last contact with each gateway.
    contacts: [BTreeMap<usize, usize>; 2],
    cut_until: usize,
    /// Part of the requests that are sent again at once.
    failing: f64,
    requests: Vec<u32>,
    repeats: Vec<u32>,
}

impl Fleet {
    fn new(seed: u64, disturbances: Disturbances) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let count = rng.random_range(1..=disturbances.gateways);
        let gateways = (0..count).map(|_| Gateway {
            limit: None,
            count: new_count(),
            side: 0,
            reserved: BTreeMap::new(),
            back_at: 0,
            rate: 0.0,
            due: 0.0,
        });
        let mut fleet = Self {
            slack: disturbances.slack,
            max_rate: disturbances.max_rate,
            gateways: gateways.collect(),
            contacts: <[_; 2]>::default(),
            cut_until: 0,
            rng,
            failing: 0.0,
            requests: vec![0; STEPS],
            repeats: vec![0; STEPS],
        };
        fleet.shift();
        fleet
    }

    /// Gateways call the agents on their side of a cut, which report how many have called them.
    fn report(&mut self, step: usize) {
        let is_cut = step < self.cut_until;
        for (n, gateway) in self.gateways.iter_mut().enumerate() {
            let sides = if is_cut {
                gateway.side..gateway.side + 1
            } else {
                0..2
            };
            for contacts in &mut self.contacts[sides] {
                contacts.insert(n, step);
                contacts.retain(|_, at| step - *at < WINDOW_STEPS);
                let count = u32::try_from(contacts.len()).unwrap();
                gateway.count.record_report(count, at(step));
            }
        }
    }

    fn cut(&mut self, step: usize) {
        if step < self.cut_until {
            return;
        }
        self.cut_until = step + self.rng.random_range(WINDOW_STEPS..4 * WINDOW_STEPS);
        for gateway in &mut self.gateways {
            gateway.side = self.rng.random_range(0..2);
        }
    }

    /// Draws how many requests each gateway gets, and how many of them are sent again.
    fn shift(&mut self) {
        let total = self.rng.random_range(0.05..self.max_rate);
        let weights: Vec<f64> = self
            .gateways
            .iter()
            .map(|_| self.rng.random_range(0.0_f64..1.0).powi(3))
            .collect();
        let sum: f64 = weights.iter().sum();
        for (gateway, weight) in self.gateways.iter_mut().zip(weights) {
            gateway.rate = total * weight / sum;
        }
        self.failing = [0.0, 0.05, 1.0][self.rng.random_range(0..3)];
    }

    fn kill(&mut self, step: usize) {
        let part = [0.2, 0.6, 1.0][self.rng.random_range(0..3)];
        for gateway in &mut self.gateways {
            if self.rng.random_bool(part) {
                gateway.limit = None;
                gateway.count = new_count();
                gateway.reserved.clear();
                gateway.back_at = step + self.rng.random_range(1..60);
            }
        }
    }

    /// Many requests under way are to be sent again at once.
    fn lose(&mut self, step: usize) {
        for gateway in &mut self.gateways {
            let lost = self.rng.random_range(0..80);
            gateway.reserve(lost, step, &mut self.rng);
        }
    }

    fn step(&mut self, step: usize) {
        if step.is_multiple_of(REPORT_STEPS) {
            self.report(step);
        }
        for gateway in &mut self.gateways {
            let options = gateway.options(self.slack);
            if gateway.limit.is_none() && gateway.back_at <= step {
                gateway.limit = Some(RepeatLimit::new_ext(options, at(step)));
            }
            if let Some(limit) = &mut gateway.limit {
                limit.set_options(options);
            }
            gateway.due += gateway.rate;
            while gateway.due >= 1.0 {
                gateway.due -= 1.0;
                // Callers send to a gateway that is down as well.
                self.requests[step] += 1;
                if let Some(limit) = &mut gateway.limit {
                    limit.record_request(at(step));
                }
                if self.rng.random_bool(self.failing) {
                    gateway.reserve(1, step, &mut self.rng);
                }
            }
            for _ in 0..gateway.send_reserved(step, &mut self.rng) {
                let delay = [0, TRANSIT_MS / STEP_MS][self.rng.random_range(0..2)];
                if let Some(arrived) = self.repeats.get_mut(step + delay) {
                    *arrived += 1;
                }
            }
        }
    }

    fn play(mut self, disturbances: Disturbances) -> Self {
        for step in 0..STEPS {
            if happens(&mut self.rng, disturbances.shifts_ms) {
                self.shift();
            }
            if happens(&mut self.rng, disturbances.losses_ms) {
                self.lose(step);
            }
            if happens(&mut self.rng, disturbances.cuts_ms) {
                self.cut(step);
            }
            if happens(&mut self.rng, disturbances.kills_ms) {
                self.kill(step);
            }
            self.step(step);
        }
        self
    }

    /// Largest number of repeats in a window beyond what is allowed there.
    fn worst_excess(&self) -> f64 {
        let requests = sums(&self.requests);
        let repeats = sums(&self.repeats);
        let in_window = |sums: &[u32], start: usize| {
            f64::from(sums[(start + WINDOW_STEPS).min(STEPS)] - sums[start])
        };
        let excess = (0..STEPS).map(|start| {
            let earlier = [0, WINDOW_STEPS / 2, WINDOW_STEPS].map(|back| {
                let begun = start.checked_sub(back);
                let from = begun.unwrap_or_default();
                let until = (start + WINDOW_STEPS).saturating_sub(back).min(STEPS);
                f64::from(requests[until.max(from)] - requests[from])
            });
            let most = earlier.into_iter().fold(0.0, f64::max);
            in_window(&repeats, start) - (RATIO * most + self.slack)
        });
        excess.fold(f64::MIN, f64::max)
    }
}

impl Gateway {
    fn options(&self, slack: f64) -> RepeatOptions {
        RepeatOptions {
            window: Millis(WINDOW_MS as u64),
            transit: Millis(TRANSIT_MS as u64),
            ratio: RATIO,
            slack: slack / f64::from(self.count.slack_shares()),
        }
    }

    /// Reserves up to `wanted` repeats, which wait for upstreams for up to two seconds.
    fn reserve(&mut self, wanted: u32, step: usize, rng: &mut impl Rng) {
        let Some(limit) = &mut self.limit else {
            return;
        };
        for _ in 0..wanted {
            if limit.try_reserve(at(step)) {
                let wait = [0, rng.random_range(0..200)][rng.random_range(0..2)];
                *self.reserved.entry(step + wait).or_default() += 1;
            }
        }
    }

    /// Sends the repeats that are due, but for those that are given up; returns their number.
    fn send_reserved(&mut self, step: usize, rng: &mut impl Rng) -> u32 {
        let due = self.reserved.remove(&step).unwrap_or_default();
        let limit = self.limit.as_mut().filter(|_| due > 0);
        let Some(limit) = limit else {
            return 0;
        };
        let mut sent = 0;
        for _ in 0..due {
            if rng.random_bool(0.2) {
                limit.release(at(step));
            } else {
                limit.spend();
                sent += 1;
            }
        }
        sent
    }
}

fn new_count() -> GatewayCount {
    GatewayCount::new(MIN_SHARES, Millis(WINDOW_MS as u64))
}

fn at(step: usize) -> Millis {
    Millis((step * STEP_MS) as u64)
}

fn happens(rng: &mut impl Rng, mean_ms: usize) -> bool {
    mean_ms > 0 && rng.random_ratio(1, u32::try_from(mean_ms / STEP_MS).unwrap())
}

/// Sums of all values before each index.
fn sums(values: &[u32]) -> Vec<u32> {
    let mut sums = vec![0];
    for value in values {
        sums.push(sums[sums.len() - 1] + value);
    }
    sums
}

/// Guards against a limit that is kept by each process alone and exceeded by their sum.
#[test]
fn repeats_of_all_gateways_and_starts_keep_to_their_limit_together() {
    for disturbances in SEARCHES {
        for seed in 0..60 {
            let fleet = Fleet::new(seed, disturbances).play(disturbances);
            let excess = fleet.worst_excess();
            let name = disturbances.name;
            assert!(excess <= 0.0, "{name}, seed {seed}: {excess:.1} too many");
        }
    }
}

/// Guards against terms that sum up to more than the limit, for steady requests to all gateways.
#[test]
fn the_terms_of_a_window_sum_up_to_the_limit() {
    for gateways in [1, 5, 8, 12, 68, 340] {
        for slack in [0.0, 6.0, 54.0, 1_040.0] {
            for requests in [0_u16, 100, 10_000] {
                for ratio in [0.0, 0.05, 0.2] {
                    let count = f64::from(gateways);
                    let options = RepeatOptions {
                        window: Millis(WINDOW_MS as u64),
                        transit: Millis(TRANSIT_MS as u64),
                        ratio,
                        slack: slack / count,
                    };
                    let sent_window = options.window + options.transit;
                    let sent_windows = sent_window.as_secs() / options.window.as_secs();
                    let (each, all) = (f64::from(requests), count * f64::from(requests));
                    let saved = count * options.max_saved(usize::from(requests));
                    let accrued = count * options.accrued() * sent_windows;
                    let earned = all * options.earned() * sent_windows;
                    let (sum, limit) = (saved + accrued + earned, ratio * all + slack);
                    let case = format!("{gateways} gateways, {each} requests each");
                    assert!(sum <= limit + 1e-6, "{case}, {options:?}: {sum} of {limit}");
                }
            }
        }
    }
}

/// Smallest part of the ratio that a gateway uses where each request is to be sent again.
const USED_PART: f64 = 0.7;

struct Use {
    name: &'static str,
    slack: f64,
    /// Time between two requests, each of which is to be sent again.
    interval_ms: u64,
}

const USES: [Use; 4] = [
    Use {
        name: "a large share of the slack",
        slack: 7.0,
        interval_ms: 70,
    },
    Use {
        name: "a share of one repeat",
        slack: 1.0,
        interval_ms: 70,
    },
    Use {
        name: "less than one repeat",
        slack: 0.5,
        interval_ms: 70,
    },
    Use {
        name: "few requests",
        slack: 2.0,
        interval_ms: 3_000,
    },
];

/// Guards against shares that are too small for any repeat.
#[test]
fn a_gateway_with_a_small_share_still_sends_repeats() {
    for row in USES {
        let options = RepeatOptions {
            window: Millis(WINDOW_MS as u64),
            transit: Millis(0),
            ratio: RATIO,
            slack: row.slack,
        };
        let mut limit = RepeatLimit::new_ext(options, Millis(0));
        let (mut requests, mut repeats) = (0.0, 0.0);
        for n in 1..=60_000 / row.interval_ms {
            let now = Millis(n * row.interval_ms);
            limit.record_request(now);
            requests += 1.0;
            if limit.try_reserve(now) {
                limit.spend();
                repeats += 1.0;
            }
        }
        let least = USED_PART * RATIO * requests;
        assert!(repeats >= least, "{}: {repeats} of {least}", row.name);
    }
}

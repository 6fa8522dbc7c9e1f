//! How long responses take, as recent ones show it.

use std::collections::{BTreeMap, VecDeque};

use pumicecleat_types::Millis;

/// Number of recent responses that count.
const MAX_SAMPLES: usize = 64;

/// Number of responses from which on those of a route tell enough without others of its service.
const MIN_SAMPLES: usize = 8;

/// Maximum number of routes and services; all are forgotten beyond it.
const MAX_NAMES: usize = 1_024;

/// Recent responses of one route or service.
#[derive(Clone, Debug, Default)]
struct Samples(VecDeque<Millis>);

impl Samples {
    fn push(&mut self, took: Millis) {
        if self.0.len() == MAX_SAMPLES {
            self.0.pop_front();
        }
        self.0.push_back(took);
    }

    /// Time that `part` of the responses took at most; `None` without one.
    fn quantile(&self, part: f64) -> Option<Millis> {
        let mut sorted: Vec<Millis> = self.0.iter().copied().collect();
        sorted.sort_unstable();
        let slower = (1.0 - part) * f64::from(u32::try_from(sorted.len()).ok()?);
        sorted.into_iter().rev().nth(to_index(slower))
    }
}

/// Times of recent responses, by route and by service.
#[derive(Clone, Debug, Default)]
pub struct ResponseTimes {
    by_route: BTreeMap<String, Samples>,
    by_service: BTreeMap<String, Samples>,
}

impl ResponseTimes {
    /// Records that a request of `service` is sent.
    pub fn record_request(&mut self, service: &str) {
        samples_of(&mut self.by_service, service);
    }

    /// Whether a request of `service` was sent, whatever came of it.
    #[must_use]
    pub fn has_requests(&self, service: &str) -> bool {
        self.by_service.contains_key(service)
    }

    /// Records a response that took `took` from the first send of its request to its end.
    pub fn record(&mut self, route: &str, service: &str, took: Millis) {
        samples_of(&mut self.by_route, route).push(took);
        samples_of(&mut self.by_service, service).push(took);
    }

    /// Time that `part` of the recent responses of `route` took at most; `None` if neither it nor its service has had
    /// one.
    #[must_use]
    pub fn quantile(&self, route: &str, service: &str, part: f64) -> Option<Millis> {
        let of_route = self.by_route.get(route);
        let of_service = self.by_service.get(service);
        let samples = of_route
            .filter(|samples| samples.0.len() >= MIN_SAMPLES)
            .or(of_service);
        samples.and_then(|samples| samples.quantile(part))
    }
}

fn samples_of<'a>(all: &'a mut BTreeMap<String, Samples>, name: &str) -> &'a mut Samples {
    if !all.contains_key(name) && all.len() >= MAX_NAMES {
        all.clear();
    }
    all.entry(name.to_owned()).or_default()
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "casts from floats saturate"
)]
fn to_index(n: f64) -> usize {
    n as usize
}

//! Settings of a follower, and how they follow from the spans that a deployment promises.

use std::time::Duration;

use crate::{LeaveBudget, Topic};

/// Minimum interval between reads that are triggered by hints from other processes, for each process that follows the
/// stream. Without it, many upstreams that join or leave within a second would make every process read once for each
/// of them. All processes together perform at most 50 such reads per second.
const HINT_INTERVAL: Duration = Duration::from_millis(20);

/// Part of the leave span that the interval between such reads may take, whatever the number of processes.
const MAX_HINT_INTERVAL_PART: f64 = 0.35;

/// Part of the age up to which a relay's read is relied on for which the relay waits for a record. A read that waits
/// tells nothing until it ends.
const RELAY_WAIT_PART: f64 = 0.25;

/// Part of the age up to which a relay's read of the list is relied on at which the relay reads again. The rest is for
/// its reply to arrive.
const RELAY_AGE_PART: f64 = 0.7;

/// Maximum backoff between attempts to reach the log. A store that is available again must be read well
/// within the two seconds in which lapsed entries return.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Part of the apply span up to which a relay's read of the configuration is relied on. The rest is for a read that is
/// not answered and its retry.
const MAX_LAYOUT_AGE_PART: f64 = 0.7;

/// Settings of a follower.
#[derive(Clone)]
pub struct FollowSettings {
    /// Longest time that the log may wait for a record. Half of the time within which a silent connection
    /// must be detected.
    pub wait: Duration,
    /// Intended time until a new record is known if the reads in progress of all processes stay unanswered.
    /// Shortens `wait` according to the number of processes; `None` to always use `wait`.
    pub detection_span: Option<Duration>,
    /// Time beyond `wait` after which an unanswered read is retried; `None` for the timeout of the log's
    /// client.
    pub answer_timeout: Option<Duration>,
    /// Shortest time between two reads that return records.
    pub pace: Duration,
    /// Age up to which a read of the stream may be relied on, whichever process made it.
    pub max_age: Duration,
    /// Shortest time between two reads triggered by messages from other processes, for each process that
    /// follows the stream: the total read rate does not grow with the number of processes.
    pub hint_interval: Duration,
    /// Upper bound of that time, for any number of processes.
    pub max_hint_interval: Duration,
    /// Longest delay between two attempts while the log does not answer.
    pub max_backoff: Duration,
    /// Whether a relay's reads replace reads that wait for a record.
    pub relies_on_relay: bool,
    /// Seed of the delays; should differ between processes.
    pub seed: u64,
}

/// Spans within which a process has to know what the log says.
#[derive(Clone, Copy, Debug)]
pub struct FollowSpans {
    /// Time within which a leaving upstream must get its last request.
    pub leave: Duration,
    /// Time within which a configuration must be in force.
    pub apply: Duration,
    /// Longest wait of a read for a record.
    pub store_wait: Duration,
}

impl FollowSettings {
    /// Settings of a process that follows `topic` within `spans`.
    #[must_use]
    pub fn within(spans: &FollowSpans, topic: Topic, seed: u64) -> Self {
        let budget = LeaveBudget::new(spans.leave);
        let (wait, detection_span, max_age) = match topic {
            Topic::Operators => {
                let max_age = spans.apply.mul_f64(MAX_LAYOUT_AGE_PART);
                (spans.store_wait, Some(spans.apply), max_age)
            }
            Topic::Upstreams => {
                let wait = spans.store_wait.min(budget.wait);
                (wait, None, budget.max_list_age)
            }
        };
        Self {
            wait,
            detection_span,
            answer_timeout: Some(budget.answer_timeout),
            pace: Duration::ZERO,
            max_age,
            hint_interval: HINT_INTERVAL,
            max_hint_interval: spans.leave.mul_f64(MAX_HINT_INTERVAL_PART),
            max_backoff: MAX_BACKOFF,
            relies_on_relay: true,
            seed,
        }
    }

    /// Settings of a relay, which follows `topic` for processes that rely on its reads within `spans`.
    #[must_use]
    pub fn of_relay(spans: &FollowSpans, topic: Topic, seed: u64) -> Self {
        let settings = Self::within(spans, topic, seed);
        let max_wait = settings.max_age.mul_f64(RELAY_WAIT_PART);
        Self {
            wait: settings.wait.min(max_wait),
            detection_span: None,
            max_age: settings.max_age.mul_f64(RELAY_AGE_PART),
            relies_on_relay: false,
            ..settings
        }
    }
}

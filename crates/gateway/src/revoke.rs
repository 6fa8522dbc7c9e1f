//! Time bounds within which a gateway stops accepting a key that was taken away.
//!
//! A gateway accepts keys while its configuration is known to have been the newest less than a maximum age ago.
//! A key whose removal was acknowledged after that time is accepted for the maximum age at most, whatever this
//! gateway can reach and however long its VM was suspended:
//!
//! ```text
//! last request with the key  <=  start of the read that confirmed + maximum age
//!                            <=  acknowledgement of the removal + maximum age
//! ```
//!
//! The read counts from its start, so that a delayed response makes it older. The platform promises that reads
//! return all that was acknowledged before they started.

use std::rc::Rc;
use std::time::Duration;

use pumicecleat_ops::{events, field};

use crate::shared::{KEYS, Shared};

/// Part of the revoke span at which the configuration is confirmed again.
const INTERVAL_PART: f64 = 0.35;

/// Part of the revoke span at which an agent that confirms the configuration for gateways reads again. The rest
/// of the interval covers the time between two calls of a gateway to it.
const TOLD_PART: f64 = 0.2;

/// Part of the revoke span by which the clocks of two VMs may drift apart within it.
const DRIFT_PART: f64 = 0.01;

/// Rounding of two clocks to milliseconds.
const ROUNDING: Duration = Duration::from_millis(2);

/// Part of the revoke span after which an unanswered read is retried.
const ANSWER_TIMEOUT_PART: f64 = 0.1;

/// Interval between checks of the age of the configuration.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Bounds of the time for which a key is accepted after it was taken away.
#[derive(Clone, Copy, Debug)]
pub struct RevokeBudget {
    /// Age of the last confirmation at which the next one is due.
    pub interval: Duration,
    /// Age of a read by an agent at which the agent reads again.
    pub told_age: Duration,
    /// Time after which an unanswered confirmation is retried.
    pub answer_timeout: Duration,
    /// Age of the last confirmation up to which keys are accepted.
    pub max_age: Duration,
}

impl RevokeBudget {
    /// Budget for keys that may be accepted for `span` after they were taken away.
    #[must_use]
    pub fn new(span: Duration) -> Self {
        let drift = span.mul_f64(DRIFT_PART);
        Self {
            interval: span.mul_f64(INTERVAL_PART),
            told_age: span.mul_f64(TOLD_PART),
            answer_timeout: span.mul_f64(ANSWER_TIMEOUT_PART),
            max_age: span.saturating_sub(drift + ROUNDING),
        }
    }
}

/// Reports the age of the configuration, and that the gateway is not ready while it is too old to accept keys.
/// Never returns.
pub(crate) async fn watch_keys(shared: Rc<Shared>) {
    let mut outdated_since = None;
    loop {
        let now = shared.timer.now();
        let number = shared.catalog.borrow().layout().map_or(0, |l| l.number);
        let number = field("layout", number);
        let age = shared.confirmations.age(shared.timer.boot_now());
        if let Some(age) = age {
            shared.meters.set_layout_age(age);
        }
        match (
            outdated_since,
            shared.needs_keys() && !shared.are_keys_current(),
        ) {
            (None, true) => {
                outdated_since = Some(now);
                shared
                    .readiness
                    .set_unmet(KEYS, "configuration out of date");
                let fields = [field("age_ms", age.unwrap_or_default().0), number];
                shared.log.emit(&events::KEYS_OUTDATED, &fields);
            }
            (Some(since), false) => {
                outdated_since = None;
                shared.readiness.set_met(KEYS);
                let fields = [field("refused_ms", now.since(since).0), number];
                shared.log.emit(&events::KEYS_CURRENT, &fields);
            }
            _ => {}
        }
        shared.timer.sleep(CHECK_INTERVAL).await;
    }
}

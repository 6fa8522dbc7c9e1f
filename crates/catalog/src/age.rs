//! Monitors the age of the list of upstreams and logs when it exceeds its bound.

use std::time::Duration;

use pumicecleat_infra::as_millis;
use pumicecleat_ops::{events, field};

use crate::FollowContext;

/// Interval between two checks of the age.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Reports the age of the list of upstreams to the listener and logs each time it exceeds `bound` or
/// falls back within it. Never returns.
pub async fn watch_list_age(context: FollowContext, bound: Duration) {
    let mut old_since = None;
    loop {
        context.timer.sleep(CHECK_INTERVAL).await;
        let now = context.timer.now();
        let Some(age) = context.marks.list_age(now) else {
            continue;
        };
        context.listener.report_list_age(age);
        let is_old = age > as_millis(bound);
        match (old_since, is_old) {
            (None, true) => {
                old_since = Some(now);
                let fields = [field("age_ms", age.0)];
                context.log.emit(&events::LIST_OLD, &fields);
            }
            (Some(since), false) => {
                old_since = None;
                let fields = [field("old_ms", now.since(since).0)];
                context.log.emit(&events::LIST_CURRENT, &fields);
            }
            _ => {}
        }
    }
}

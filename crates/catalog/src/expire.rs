//! Removes upstreams whose entries lapsed around an outage of the list and did not return in time.

use std::time::Duration;

use crate::FollowContext;
use crate::report::report_applied;

/// Interval between two checks for lapsed upstreams.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Removes upstreams whose lapsed entries did not return in time. Never returns.
pub async fn expire_lapsed(context: FollowContext) {
    loop {
        context.timer.sleep(CHECK_INTERVAL).await;
        let now = context.timer.now();
        let removed = context.catalog.borrow_mut().expire(now);
        for applied in &removed {
            report_applied(applied, &*context.listener, &context.log);
        }
    }
}

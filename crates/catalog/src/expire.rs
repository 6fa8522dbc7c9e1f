//! Ends the wait for upstreams whose entries lapsed around an outage of the list.

use std::time::Duration;

use crate::FollowContext;
use crate::report::tell;

/// Pause between two looks for upstreams that did not come back.
const PAUSE: Duration = Duration::from_millis(100);

/// Forgets upstreams whose entries did not come back in time, for good.
pub async fn expire_lapsed(context: FollowContext) {
    loop {
        context.timer.sleep(PAUSE).await;
        let now = context.timer.now();
        let gone = context.catalog.borrow_mut().expire(now);
        for applied in &gone {
            tell(applied, &*context.listener, &context.log);
        }
    }
}

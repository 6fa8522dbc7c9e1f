//! Reads that confirm the configuration for gateways.
//!
//! Gateways that accept keys need to know often that their configuration is the newest. All of them call the agent
//! that grants allowances, which reads the end of the operators' records on behalf of all. Gateways that get no
//! recent read from it read for themselves.

use std::rc::Rc;
use std::time::Duration;

use pumicecleat_catalog::{FollowContext, read_end};
use pumicecleat_types::Millis;

use crate::shared::Shared;

/// Timeout of a read.
const READ_TIMEOUT: Duration = Duration::from_millis(500);

/// Delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Reads while gateways ask for it. Never returns.
pub(crate) async fn confirm_for_gateways(shared: Rc<Shared>, context: FollowContext) {
    loop {
        shared.read_wanted.notified().await;
        let max_age = shared.wanted_age.get();
        let latest = context.confirmations.latest_read(shared.timer.boot_now());
        if latest.is_some_and(|read| Millis(read.age_ms) <= max_age) {
            continue;
        }
        if !read_end(&context, READ_TIMEOUT).await {
            shared.timer.sleep(RETRY_DELAY).await;
        }
    }
}

//! Appends snapshot records well before the records they cover are trimmed.

use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use pumicecleat_ops::{events, field};

use super::STREAM;
use crate::shared::Shared;

const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Delay after a failed append.
const RETRY_DELAY: Duration = Duration::from_secs(10);

/// Appends snapshots whenever one is due and it is this entry's turn, until the process ends.
pub(crate) async fn append_snapshots(shared: Rc<Shared>) {
    loop {
        shared.timer.sleep(CHECK_INTERVAL).await;
        if is_own_turn(&shared) && !append_snapshot(&shared).await {
            shared.timer.sleep(RETRY_DELAY).await;
        }
    }
}

fn is_own_turn(shared: &Shared) -> bool {
    let now = unix_time_ms();
    let retention = shared.options.retention_ms;
    let Some(due) = shared.config.snapshot_due(now, retention) else {
        return false;
    };
    let entries = shared.directory.borrow().entry_vms();
    due.append_time(&shared.options.vm, &entries) <= now
}

/// Appends a snapshot. Returns false if it may not be in the log.
async fn append_snapshot(shared: &Shared) -> bool {
    let (revision, bytes) = {
        let state = shared.config.state.borrow();
        (state.fold.revision(), state.fold.snapshot_record())
    };
    match shared.log_service.append(STREAM, vec![bytes]).await {
        Ok(at) => {
            let fields = [field("offset", at.first), field("revision", revision)];
            shared.log.emit(&events::SNAPSHOT_WRITTEN, &fields);
            true
        }
        // A snapshot stays due until the log contains one, from whichever entry.
        Err(e) => {
            let fields = [
                field("stream", STREAM),
                field("step", "append snapshot"),
                field("error", &e),
            ];
            shared.log.emit(&events::APPEND_UNSURE, &fields);
            false
        }
    }
}

/// Unix time in milliseconds by this VM's clock, for comparison with the timestamps of the log.
fn unix_time_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |s| u64::try_from(s.as_millis()).unwrap_or(u64::MAX))
}

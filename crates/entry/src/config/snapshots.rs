//! Snapshot records, appended well before the records they cover are trimmed.

use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use pumicecleat_ops::{events, field};

use super::STREAM;
use crate::shared::Shared;

/// Time between two looks.
const PACE: Duration = Duration::from_secs(1);

/// Pause after an append that failed.
const PAUSE: Duration = Duration::from_secs(10);

/// Appends snapshots when it is this entry's turn, until the process ends.
pub(crate) async fn append_snapshots(shared: Rc<Shared>) {
    loop {
        shared.timer.sleep(PACE).await;
        if is_turn(&shared) && !append(&shared).await {
            shared.timer.sleep(PAUSE).await;
        }
    }
}

fn is_turn(shared: &Shared) -> bool {
    let now = wall_ms();
    let retention = shared.options.retention_ms;
    let Some(due) = shared.config.due(now, retention) else {
        return false;
    };
    let entries = shared.directory.borrow().entry_vms();
    due.turn(&shared.options.vm, &entries) <= now
}

/// Appends a snapshot; false if it may not stand.
async fn append(shared: &Shared) -> bool {
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
        // It stays due until one stands in the log, whoever wrote it.
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

/// Time of this VM's clock, milliseconds since 1970, to compare with the log's.
fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |s| u64::try_from(s.as_millis()).unwrap_or(u64::MAX))
}

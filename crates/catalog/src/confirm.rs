//! Reads that confirm the configuration, in addition to those that follow it.
//!
//! Reads that follow the operators' records wait for the next record and confirm nothing until then. While the
//! configuration has client accounts, short reads confirm it at an interval.

use std::time::Duration;

use pumicecleat_infra::{ReadError, ReadStart, as_millis};
use pumicecleat_types::{Millis, Position};

use crate::{FollowContext, Topic};

/// Interval between checks whether a read is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Delay after a failed read. A read that follows the records finds out soon whether the log is down.
const RETRY_DELAY: Millis = Millis(200);

/// Timing of confirmations.
#[derive(Clone, Copy, Debug)]
pub struct ConfirmSettings {
    /// Age of the last confirmation at which the next read starts.
    pub interval: Duration,
    /// Timeout of a read.
    pub answer_timeout: Duration,
}

/// Confirms the configuration while it has client accounts. Never returns.
pub async fn confirm_layout(context: FollowContext, settings: ConfirmSettings) {
    let mut retry_at = Millis(0);
    loop {
        context.timer.sleep(CHECK_INTERVAL).await;
        let now = context.timer.now();
        let Some(position) = due_position(&context, settings.interval) else {
            continue;
        };
        if now >= retry_at && !read_from(&context, position, settings.answer_timeout).await {
            retry_at = context.timer.now() + RETRY_DELAY;
        }
    }
}

/// Returns the position to read from if a read is due.
fn due_position(context: &FollowContext, interval: Duration) -> Option<Position> {
    let has_accounts = context
        .catalog
        .borrow()
        .layout()
        .is_some_and(|l| l.accounts.is_some());
    let age = context.confirmations.age(context.timer.boot_now());
    let is_due = age.is_none_or(|age| age >= as_millis(interval));
    let position = context.confirmations.known_to();
    position.filter(|_| has_accounts && is_due && !context.confirmations.is_down())
}

/// Reads the end of the operators' records, for this process or others; returns whether the log answered.
pub async fn read_end(context: &FollowContext, timeout: Duration) -> bool {
    let known_to = context.confirmations.known_to();
    let latest = context.confirmations.latest_read(context.timer.boot_now());
    let Some(from) = known_to.max(latest.map(|read| read.end)) else {
        return false;
    };
    read_from(context, from, timeout).await
}

async fn read_from(context: &FollowContext, from: Position, timeout: Duration) -> bool {
    let start = ReadStart::now(&context.timer);
    let Ok(Ok(end)) = context.timer.within(timeout, find_end(context, from)).await else {
        context.marks.suspect_connection(Topic::Upstreams);
        return false;
    };
    context.confirmations.note_end(end, start.boot);
    if end > from {
        context.marks.hint(Topic::Operators, end);
    }
    true
}

/// Finds the end of the operators' records. Where the record at `from` is no longer retained, the log tells the
/// first one that is, which need not be the last.
async fn find_end(context: &FollowContext, from: Position) -> Result<Position, ReadError> {
    let stream = context.decoder.stream(Topic::Operators);
    let read = |offset| context.store.read(stream, offset, 1, Duration::ZERO);
    let batch = match read(from.offset).await {
        Err(ReadError::Trimmed { first, .. }) => read(first).await?,
        other => other?,
    };
    Ok(Position {
        era: batch.era.unwrap_or(from.era),
        offset: batch.next,
    })
}

//! Processor time of this thread, which other work on the machine disturbs less than wall time.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

use super::line::Sample;

/// Batches that a cost is the median of.
const BATCHES: u32 = 9;

/// Processor time that this thread has used.
pub(super) fn thread_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}

/// Processor time of one `run`, microseconds: median, least and most of batches of `count`.
pub(super) fn cost(count: u32, mut run: impl FnMut(u32)) -> Sample {
    let batches = (0..BATCHES).map(|batch| {
        let start = thread_time();
        (0..count).for_each(|n| run(batch * count + n));
        let took = thread_time().saturating_sub(start);
        took.as_secs_f64() * 1e6 / f64::from(count)
    });
    Sample::of(batches.collect())
}

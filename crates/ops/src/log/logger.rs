//! The logger: level check, rendering, and the thread that writes.

use std::fmt;
use std::io::Write;
use std::num::NonZeroUsize;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use spdlog::sink::{AsyncPoolSink, OverflowPolicy, Sink, WriteSink};
use spdlog::{LevelFilter, Logger, ThreadPool};

use super::format::{LineFormatter, render};
use super::{Event, Field, Level, LogFormat};

/// Lines that may wait for the writer.
const QUEUE_LINES: usize = 4096;

/// Longest wait for the writer at the end.
const FLUSH_SPAN: Duration = Duration::from_secs(1);

/// What is logged, and how.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogOptions {
    /// Highest level logged.
    pub level: Level,
    /// Form of a line.
    pub format: LogFormat,
    /// Program and VM, on every line.
    pub origin: String,
    /// Lines a second at most, 0 for no bound. Warnings and errors may take as many again, so that
    /// failures are kept where successes are left out.
    pub rate: u32,
}

/// Logger of numbered events. Clones share one writer.
#[derive(Clone)]
pub struct Log {
    options: LogOptions,
    writer: Arc<Writer>,
}

struct Writer {
    logger: Option<Logger>,
    counts: Arc<Counts>,
    bound: Bound,
}

/// Lines of the present second.
struct Bound {
    start: Instant,
    second: AtomicU64,
    lines: AtomicU64,
    left_out: AtomicU64,
}

#[derive(Default)]
struct Counts {
    taken: AtomicU64,
    written: AtomicU64,
    dropped: AtomicU64,
}

impl Log {
    /// Log to stderr.
    #[must_use]
    pub fn new_ext(options: &LogOptions) -> Self {
        Self::to_writer(options, std::io::stderr())
    }

    /// Log to `target`.
    #[must_use]
    pub fn to_writer(options: &LogOptions, target: impl Write + Send + 'static) -> Self {
        let counts = Arc::default();
        let lines = write_sink(options.format, target, &counts);
        let logger = lines.and_then(queue).and_then(|q| build_logger(q, &counts));
        Self::with_logger(options, logger.ok(), counts)
    }

    /// Log whose lines are written to `target` before [`emit`](Self::emit) returns, by the thread that
    /// logs: for tests that act between two steps of a program. A daemon must never wait for its log.
    #[must_use]
    pub fn to_writer_sync(options: &LogOptions, target: impl Write + Send + 'static) -> Self {
        let counts = Arc::default();
        let lines = write_sink(options.format, target, &counts);
        let logger = lines.and_then(|l| build_logger(l, &counts));
        Self::with_logger(options, logger.ok(), counts)
    }

    fn with_logger(options: &LogOptions, logger: Option<Logger>, counts: Arc<Counts>) -> Self {
        Self {
            options: options.clone(),
            writer: Arc::new(Writer {
                logger,
                counts,
                bound: Bound::default(),
            }),
        }
    }

    /// The same log for another part, named on its lines.
    #[must_use]
    pub fn with_origin(&self, origin: &str) -> Self {
        let mut log = self.clone();
        log.options.origin = origin.into();
        log
    }

    /// Whether `event` is logged at this level.
    #[must_use]
    pub fn is_enabled(&self, event: &Event) -> bool {
        event.level <= self.options.level
    }

    /// Logs `event` if its level is on. Never waits.
    pub fn emit(&self, event: &Event, fields: &[Field<'_>]) {
        debug_assert!(
            fields.iter().all(|f| event.fields.contains(&f.name)),
            "a field of {} is not in the catalogue",
            event.code
        );
        if !self.is_enabled(event) || !self.is_within(event) {
            return;
        }
        self.write(event, fields);
    }

    /// Whether the bound leaves room for a line; tells what was left out once a second is over.
    fn is_within(&self, event: &Event) -> bool {
        if self.options.rate == 0 {
            return true;
        }
        let left_out = self.writer.bound.turn();
        if left_out > 0 {
            let lines = super::field("lines", left_out);
            self.write(&super::events::LINES_LEFT_OUT, &[lines]);
        }
        let rate = u64::from(self.options.rate);
        let most = if event.level <= Level::Warn {
            2 * rate
        } else {
            rate
        };
        self.writer.bound.take(most)
    }

    fn write(&self, event: &Event, fields: &[Field<'_>]) {
        let Some(logger) = &self.writer.logger else {
            return;
        };
        let line = render(self.options.format, &self.options.origin, event, fields);
        self.writer.counts.taken.fetch_add(1, Ordering::Relaxed);
        spdlog::log!(logger: logger, event.level.to_spdlog(), "{}", line);
    }

    /// Logs the last event of the process and waits, for a second at most, until it is written.
    ///
    /// Tasks left on the loop may still hold clones when `main` returns, so that no drop does it.
    pub fn emit_and_flush(&self, event: &Event, fields: &[Field<'_>]) {
        self.emit(event, fields);
        self.writer.flush(FLUSH_SPAN);
    }

    /// Lines dropped because the writer was behind.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.writer.counts.dropped.load(Ordering::Relaxed)
    }

    /// Waits until all lines are written, at most for `span`; blocks the thread. True if they are.
    #[must_use]
    pub fn flush(&self, span: Duration) -> bool {
        self.writer.flush(span)
    }
}

impl fmt::Debug for Log {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Log")
            .field("options", &self.options)
            .field("dropped", &self.dropped())
            .finish_non_exhaustive()
    }
}

impl Bound {
    /// Begins a new second if one is over; gives the lines left out in the last one.
    fn turn(&self) -> u64 {
        let now = self.start.elapsed().as_secs();
        if self.second.swap(now, Ordering::Relaxed) == now {
            return 0;
        }
        self.lines.store(0, Ordering::Relaxed);
        self.left_out.swap(0, Ordering::Relaxed)
    }

    /// Takes a line from the present second, if fewer than `most` were taken.
    fn take(&self, most: u64) -> bool {
        if self.lines.fetch_add(1, Ordering::Relaxed) < most {
            return true;
        }
        self.lines.fetch_sub(1, Ordering::Relaxed);
        self.left_out.fetch_add(1, Ordering::Relaxed);
        false
    }
}

impl Default for Bound {
    fn default() -> Self {
        Self {
            start: Instant::now(),
            second: AtomicU64::new(0),
            lines: AtomicU64::new(0),
            left_out: AtomicU64::new(0),
        }
    }
}

impl Writer {
    fn flush(&self, span: Duration) -> bool {
        let end = Instant::now() + span;
        while !self.counts.is_flushed() {
            if Instant::now() >= end {
                return false;
            }
            std::thread::sleep(Duration::from_millis(1));
        }
        true
    }
}

impl Drop for Writer {
    fn drop(&mut self) {
        if !self.flush(FLUSH_SPAN) {
            // Dropping the logger would wait for a stderr that nobody reads.
            std::mem::forget(self.logger.take());
        }
    }
}

impl Counts {
    fn is_flushed(&self) -> bool {
        let done = self.written.load(Ordering::Acquire) + self.dropped.load(Ordering::Acquire);
        done >= self.taken.load(Ordering::Acquire)
    }
}

/// Counts each line that `target` has taken or refused.
struct CountedWrite<W> {
    target: W,
    counts: Arc<Counts>,
}

impl<W: Write> Write for CountedWrite<W> {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.write_all(bytes).map(|()| bytes.len())
    }

    fn write_all(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        let result = self.target.write_all(bytes);
        self.counts.written.fetch_add(1, Ordering::Release);
        result
    }

    fn flush(&mut self) -> std::io::Result<()> {
        self.target.flush()
    }
}

fn write_sink(
    format: LogFormat,
    target: impl Write + Send + 'static,
    counts: &Arc<Counts>,
) -> spdlog::Result<Arc<dyn Sink>> {
    let target = CountedWrite {
        target,
        counts: Arc::clone(counts),
    };
    let lines = WriteSink::builder()
        .formatter(LineFormatter { format })
        .target(target)
        .error_handler(|_| {})
        .build_arc()?;
    Ok(lines)
}

/// Sink that hands lines to another thread and drops them while that is behind.
fn queue(lines: Arc<dyn Sink>) -> spdlog::Result<Arc<dyn Sink>> {
    let length = NonZeroUsize::new(QUEUE_LINES).unwrap_or(NonZeroUsize::MIN);
    let pool = ThreadPool::builder().capacity(length).build_arc()?;
    let queued = AsyncPoolSink::builder()
        .sink(lines)
        .thread_pool(pool)
        .overflow_policy(OverflowPolicy::DropIncoming)
        .error_handler(|_| {})
        .build_arc()?;
    Ok(queued)
}

fn build_logger(sink: Arc<dyn Sink>, counts: &Arc<Counts>) -> spdlog::Result<Logger> {
    let counts = Arc::clone(counts);
    Logger::builder()
        .sink(sink)
        .level_filter(LevelFilter::All)
        .error_handler(move |_| {
            counts.dropped.fetch_add(1, Ordering::Release);
        })
        .build()
}

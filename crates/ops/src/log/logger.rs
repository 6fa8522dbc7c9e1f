//! The logger: level check, rate limit, rendering, and the writer thread.

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

/// Longest queue of lines that wait for the writer.
const MAX_QUEUED_LINES: usize = 4096;

/// Longest wait for the writer when the process exits.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// Options of a log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogOptions {
    /// Most verbose level that is logged.
    pub level: Level,
    /// Format of a line.
    pub format: LogFormat,
    /// Program and VM, written on every line.
    pub origin: String,
    /// Most lines per second, 0 for no limit. With warnings and errors there may be twice as many, so
    /// that failures are logged where successes are omitted.
    pub rate: u32,
}

/// Logger of numbered events. Clones share a writer.
#[derive(Clone)]
pub struct Log {
    options: LogOptions,
    writer: Arc<Writer>,
}

struct Writer {
    logger: Option<Logger>,
    counts: Arc<Counts>,
    rate_limit: RateLimit,
}

/// Counts of the lines written and omitted in the current second.
struct RateLimit {
    start: Instant,
    second: AtomicU64,
    lines: AtomicU64,
    omitted: AtomicU64,
}

#[derive(Default)]
struct Counts {
    queued: AtomicU64,
    written: AtomicU64,
    dropped: AtomicU64,
}

impl Log {
    /// Creates a log that writes to stderr.
    #[must_use]
    pub fn new_ext(options: &LogOptions) -> Self {
        Self::to_writer(options, std::io::stderr())
    }

    /// Creates a log that writes to `target`.
    #[must_use]
    pub fn to_writer(options: &LogOptions, target: impl Write + Send + 'static) -> Self {
        let counts = Arc::default();
        let lines = write_sink(options.format, target, &counts);
        let logger = lines
            .and_then(queue_sink)
            .and_then(|q| build_logger(q, &counts));
        Self::with_logger(options, logger.ok(), counts)
    }

    /// Creates a log that writes each line to `target` on the calling thread, before
    /// [`emit`](Self::emit) returns. This is for tests that act between two steps of a program; a daemon
    /// must never wait for its log.
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
                rate_limit: RateLimit::default(),
            }),
        }
    }

    /// The same log with another origin on its lines.
    #[must_use]
    pub fn with_origin(&self, origin: &str) -> Self {
        let mut log = self.clone();
        log.options.origin = origin.into();
        log
    }

    /// Whether the level of this log includes `event`.
    #[must_use]
    pub fn is_enabled(&self, event: &Event) -> bool {
        event.level <= self.options.level
    }

    /// Logs `event` if its level is enabled and the rate limit allows it. Never blocks.
    pub fn emit(&self, event: &Event, fields: &[Field<'_>]) {
        debug_assert!(
            fields.iter().all(|f| event.fields.contains(&f.name)),
            "a field of {} is not in its definition",
            event.code
        );
        if !self.is_enabled(event) || !self.is_within_rate(event) {
            return;
        }
        self.write(event, fields);
    }

    /// Whether the rate limit allows a line. Logs the number of lines omitted when a second is over.
    fn is_within_rate(&self, event: &Event) -> bool {
        if self.options.rate == 0 {
            return true;
        }
        let omitted = self.writer.rate_limit.start_second();
        if omitted > 0 {
            let lines = super::field("lines", omitted);
            self.write(&super::events::LINES_LEFT_OUT, &[lines]);
        }
        let rate = u64::from(self.options.rate);
        let max_lines = if event.level <= Level::Warn {
            2 * rate
        } else {
            rate
        };
        self.writer.rate_limit.try_take(max_lines)
    }

    fn write(&self, event: &Event, fields: &[Field<'_>]) {
        let Some(logger) = &self.writer.logger else {
            return;
        };
        let line = render(self.options.format, &self.options.origin, event, fields);
        self.writer.counts.queued.fetch_add(1, Ordering::Relaxed);
        spdlog::log!(logger: logger, event.level.to_spdlog(), "{}", line);
    }

    /// Logs the last event of the process and waits, for at most 1 s, until it is written.
    ///
    /// Dropping the log is not enough: tasks that are left on the event loop may still hold clones
    /// when `main` returns, so that the writer is never dropped.
    pub fn emit_and_flush(&self, event: &Event, fields: &[Field<'_>]) {
        self.emit(event, fields);
        self.writer.flush(FLUSH_TIMEOUT);
    }

    /// Number of lines dropped because the writer was too slow.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.writer.counts.dropped.load(Ordering::Relaxed)
    }

    /// Blocks the thread until all lines are written, for at most `timeout`. Returns whether they are.
    #[must_use]
    pub fn flush(&self, timeout: Duration) -> bool {
        self.writer.flush(timeout)
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

impl RateLimit {
    /// Starts a new second if the last one is over. Returns the number of lines omitted since.
    fn start_second(&self) -> u64 {
        let now = self.start.elapsed().as_secs();
        if self.second.swap(now, Ordering::Relaxed) == now {
            return 0;
        }
        self.lines.store(0, Ordering::Relaxed);
        self.omitted.swap(0, Ordering::Relaxed)
    }

    /// Counts a line of the current second, unless `max_lines` are counted already.
    fn try_take(&self, max_lines: u64) -> bool {
        if self.lines.fetch_add(1, Ordering::Relaxed) < max_lines {
            return true;
        }
        self.lines.fetch_sub(1, Ordering::Relaxed);
        self.omitted.fetch_add(1, Ordering::Relaxed);
        false
    }
}

impl Default for RateLimit {
    fn default() -> Self {
        Self {
            start: Instant::now(),
            second: AtomicU64::new(0),
            lines: AtomicU64::new(0),
            omitted: AtomicU64::new(0),
        }
    }
}

impl Writer {
    fn flush(&self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        while !self.counts.is_flushed() {
            if Instant::now() >= deadline {
                return false;
            }
            std::thread::sleep(Duration::from_millis(1));
        }
        true
    }
}

impl Drop for Writer {
    fn drop(&mut self) {
        if !self.flush(FLUSH_TIMEOUT) {
            // Dropping the logger would block while nobody reads stderr.
            std::mem::forget(self.logger.take());
        }
    }
}

impl Counts {
    fn is_flushed(&self) -> bool {
        let done = self.written.load(Ordering::Acquire) + self.dropped.load(Ordering::Acquire);
        done >= self.queued.load(Ordering::Acquire)
    }
}

/// Counts each line written to `target`, also if the write failed.
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

/// Sink that passes lines to another thread, and drops them while its queue is full.
fn queue_sink(lines: Arc<dyn Sink>) -> spdlog::Result<Arc<dyn Sink>> {
    let capacity = NonZeroUsize::new(MAX_QUEUED_LINES).unwrap_or(NonZeroUsize::MIN);
    let pool = ThreadPool::builder().capacity(capacity).build_arc()?;
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

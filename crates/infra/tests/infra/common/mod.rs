//! In-memory log with scripted failures.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use pumicecleat_infra::{AppendError, Appended, Batch, Local, Log, ReadError, RequestError};
use pumicecleat_net::{Client, ClientOptions, Timer, run};
use pumicecleat_types::LogRecord;

/// Behaviour of the log for one call; calls beyond the script behave normally.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// No failure.
    Normal,
    /// 503, without effect.
    Down,
    /// 429, without effect.
    Pushback,
    /// Response lost, after the effect.
    LostAfter,
    /// Response lost, without effect.
    LostBefore,
    /// Read returns no records.
    Empty,
    /// Read skips a record.
    Gap,
    /// Read repeats the previous record.
    Repeat,
    /// Log reports fewer records than it has.
    Shrunk,
}

/// In-memory log.
pub struct FakeLog {
    pub records: RefCell<Vec<LogRecord>>,
    pub steps: RefCell<VecDeque<Step>>,
    /// Oldest retained offset.
    pub first: Cell<u64>,
    /// Duration of each call.
    pub delay: Cell<Duration>,
    pub appends: Cell<u32>,
    pub busy: Cell<bool>,
    timer: Timer,
}

impl FakeLog {
    pub fn new(timer: &Timer, steps: &[Step]) -> Rc<Self> {
        Rc::new(Self {
            records: RefCell::default(),
            steps: RefCell::new(steps.iter().copied().collect()),
            first: Cell::new(0),
            delay: Cell::new(Duration::ZERO),
            appends: Cell::new(0),
            busy: Cell::new(false),
            timer: timer.clone(),
        })
    }

    pub fn push(&self, data: Vec<u8>) -> u64 {
        let mut records = self.records.borrow_mut();
        let offset = records.len() as u64;
        let at = 0;
        records.push(LogRecord { offset, at, data });
        offset
    }

    pub fn data(&self) -> Vec<Vec<u8>> {
        let records = self.records.borrow();
        records.iter().map(|r| r.data.clone()).collect()
    }

    fn take_step(&self) -> Step {
        let next = self.steps.borrow_mut().pop_front();
        next.unwrap_or(Step::Normal)
    }

    fn append_all(&self, records: Vec<Vec<u8>>) -> Result<Appended, AppendError> {
        let step = self.take_step();
        if step == Step::Down || step == Step::Pushback || step == Step::LostBefore {
            return Err(request_error(step).into());
        }
        let first = self.records.borrow().len() as u64;
        for data in records {
            self.push(data);
        }
        match step {
            Step::LostAfter => Err(request_error(step).into()),
            _ => Ok(Appended { first, at: 0 }),
        }
    }

    fn page(&self, from: u64, max: u32) -> Result<Batch, ReadError> {
        let step = self.take_step();
        let records = self.records.borrow();
        let (first, next) = (self.first.get(), records.len() as u64);
        let peer = "fake".to_owned();
        if from < first {
            return Err(ReadError::Trimmed { peer, first, next });
        }
        let start = match step {
            Step::Gap => from + 1,
            Step::Repeat => from.saturating_sub(1),
            _ => from,
        };
        let kept = records.iter().filter(|r| r.offset >= start);
        let records = kept.take(max as usize).cloned().collect();
        let batch = Batch {
            records,
            first,
            next,
            era: None,
        };
        match step {
            Step::Down | Step::Pushback | Step::LostAfter | Step::LostBefore => {
                Err(request_error(step).into())
            }
            Step::Empty => Ok(Batch {
                records: Vec::new(),
                ..batch
            }),
            Step::Shrunk => Ok(Batch {
                records: Vec::new(),
                first: 0,
                next: from.saturating_sub(1),
                era: None,
            }),
            _ => Ok(batch),
        }
    }
}

impl Log for FakeLog {
    fn append<'a>(
        &'a self,
        _: &'a str,
        records: Vec<Vec<u8>>,
    ) -> Local<'a, Result<Appended, AppendError>> {
        Box::pin(async move {
            assert!(!self.busy.replace(true), "two appends in flight");
            self.appends.set(self.appends.get() + 1);
            self.timer.sleep(self.delay.get()).await;
            self.busy.set(false);
            self.append_all(records)
        })
    }

    fn read<'a>(
        &'a self,
        _: &'a str,
        from: u64,
        max: u32,
        wait: Duration,
    ) -> Local<'a, Result<Batch, ReadError>> {
        Box::pin(async move {
            self.timer.sleep(self.delay.get()).await;
            let page = self.page(from, max);
            if page.as_ref().is_ok_and(|b| b.records.is_empty()) {
                self.timer.sleep(wait).await;
            }
            page
        })
    }
}

fn request_error(step: Step) -> RequestError {
    let status = match step {
        Step::Down => 503,
        Step::Pushback => 429,
        _ => 502,
    };
    let retry_after = None;
    let peer = "fake".to_owned();
    RequestError::Status {
        peer,
        status,
        retry_after,
    }
}

/// Runs `test` with a client.
pub fn with_client<T, F: Future<Output = T>>(test: impl FnOnce(Client) -> F) -> T {
    run(async {
        let timer = Timer::start();
        test(Client::new_ext(ClientOptions::default(), &timer)).await
    })
    .unwrap()
}

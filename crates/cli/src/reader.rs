//! The configuration's stream, read by a command.

use std::rc::Rc;
use std::time::Duration;

use pumicecleat_config::Fold;
use pumicecleat_infra::{HttpLog, Log, Peers, ReadError};
use pumicecleat_net::{Client, ClientOptions, Timer};
use snafu::ResultExt;

use crate::error::{CliError, ReadSnafu, TrimmedSnafu};

/// Stream of the configuration.
pub(crate) const STREAM: &str = "config";

const BATCH: u32 = 1_000;
const SPAN: Duration = Duration::from_secs(3);

/// Reader of the stream, with the state that it comes to.
pub(crate) struct ConfigReader {
    pub(crate) log: Rc<dyn Log>,
    pub(crate) fold: Fold,
    /// Offset to read from; the fold's own stands still while it needs a snapshot.
    next: u64,
}

impl ConfigReader {
    /// Reader at the start of the stream.
    pub(crate) fn new(peers: &str, timer: &Timer) -> Self {
        let client = Client::new_ext(ClientOptions::default(), timer);
        Self {
            log: Rc::new(HttpLog::new(&client, Peers::parse(peers), SPAN)),
            fold: Fold::new(),
            next: 0,
        }
    }

    /// Reads to the end of the stream.
    pub(crate) async fn catch_up(&mut self) -> Result<(), CliError> {
        loop {
            let end = self.step(Duration::ZERO).await?;
            if self.next >= end {
                break;
            }
        }
        if self.fold.next() < self.next {
            return TrimmedSnafu.fail();
        }
        Ok(())
    }

    /// Reads what there is, waiting up to `wait` for it, and gives the end of the stream.
    pub(crate) async fn step(&mut self, wait: Duration) -> Result<u64, CliError> {
        let batch = match self.log.read(STREAM, self.next, BATCH, wait).await {
            Err(ReadError::Trimmed { first, next, .. }) => {
                self.next = first;
                return Ok(next);
            }
            read => read.context(ReadSnafu)?,
        };
        for record in &batch.records {
            // A gap ends at the next snapshot; `catch_up` sees to it that there was one.
            let _ = self.fold.apply(record);
            self.next = record.offset + 1;
        }
        Ok(batch.next)
    }
}

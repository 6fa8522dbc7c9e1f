//! `apply`: one record, made from a known revision, and its verdict by the order of the log.

use std::time::Duration;

use pumicecleat_config::model::Config;
use pumicecleat_config::{Change, ChangeId, Record, Verdict};
use pumicecleat_infra::AppendError;
use pumicecleat_net::Timer;
use uuid::Uuid;

use crate::args::ApplyArgs;
use crate::error::{CliError, NoVerdictSnafu};
use crate::files;
use crate::reader::{ConfigReader, STREAM};

/// Longest wait of one read for a verdict.
const READ: Duration = Duration::from_millis(500);
/// Time until a lost append is tried again; it carries the same id, so that it counts once.
const PAUSE: Duration = Duration::from_millis(200);

/// Applies files.
pub(crate) async fn apply(args: ApplyArgs) -> Result<(), CliError> {
    let config = files::read(&args.files)?;
    let timer = Timer::start();
    let mut reader = ConfigReader::new(&args.log, &timer);
    reader.catch_up().await?;
    let base = args.base.unwrap_or(reader.fold.revision());
    if base == reader.fold.revision() && *reader.fold.config() == config {
        println!("nothing to change: revision {base} is in force");
        return Ok(());
    }
    let outcome = Applying {
        author: &args.author,
        base,
        wait: args.wait,
        timer: &timer,
    };
    let revision = outcome.apply(&mut reader, &config).await?;
    println!("accepted: revision {revision} is in force");
    Ok(())
}

/// One change on its way.
pub(crate) struct Applying<'a> {
    pub(crate) author: &'a str,
    pub(crate) base: u64,
    /// Longest wait, seconds.
    pub(crate) wait: u64,
    pub(crate) timer: &'a Timer,
}

impl Applying<'_> {
    /// Appends the change and gives the revision that it made.
    pub(crate) async fn apply(
        &self,
        reader: &mut ConfigReader,
        config: &Config,
    ) -> Result<u64, CliError> {
        let text = Uuid::now_v7().to_string();
        // A UUID is always short enough for an id.
        let Ok(id) = ChangeId::try_from(text.clone()) else {
            return NoVerdictSnafu {
                id: text,
                wait: 0_u64,
            }
            .fail();
        };
        let from = reader.fold.config();
        let change = Change::new(id.clone(), self.base, from, config, self.author);
        let record = Record::Change(Box::new(change)).to_bytes();
        let span = Duration::from_secs(self.wait);
        let settled = self.settle(reader, &id, &record);
        match self.timer.within(span, settled).await {
            Ok(Ok(Verdict::Accepted { revision })) => Ok(revision),
            Ok(Ok(Verdict::Refused(cause))) => Err(CliError::Refused { id: text, cause }),
            Ok(Err(e)) => Err(e),
            Err(_) => NoVerdictSnafu {
                id: text,
                wait: self.wait,
            }
            .fail(),
        }
    }

    /// Verdict in the log. A lost reply is settled by reading back, and by appending again.
    async fn settle(
        &self,
        reader: &mut ConfigReader,
        id: &ChangeId,
        record: &[u8],
    ) -> Result<Verdict, CliError> {
        let mut lost = false;
        loop {
            match reader.log.append(STREAM, vec![record.to_vec()]).await {
                Ok(_) => return self.read_verdict(reader, id).await,
                Err(source @ AppendError::Refused { .. }) if !lost => {
                    return Err(CliError::Append { source });
                }
                Err(_) => lost = true,
            }
            self.timer.sleep(PAUSE).await;
            // The log may be down; the verdict may be there all the same.
            if reader.step(Duration::ZERO).await.is_ok()
                && let Some(verdict) = reader.fold.verdict(id)
            {
                return Ok(verdict.clone());
            }
        }
    }

    async fn read_verdict(
        &self,
        reader: &mut ConfigReader,
        id: &ChangeId,
    ) -> Result<Verdict, CliError> {
        loop {
            if reader.step(READ).await.is_err() {
                self.timer.sleep(PAUSE).await;
            }
            if let Some(verdict) = reader.fold.verdict(id) {
                return Ok(verdict.clone());
            }
        }
    }
}

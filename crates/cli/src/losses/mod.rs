//! Requests that were not served on time, by the log lines of gateways and agents.

mod end;
mod report;

use std::fs::File;
use std::io::{BufRead, BufReader};

use snafu::{ResultExt, ensure};

use crate::args::LossesArgs;
use crate::error::{CliError, FileSnafu, NoFileSnafu, NoRequestSnafu};
pub use report::LossReport;
pub(crate) use report::{LineCounts, LossReader};

/// Prints how requests ended, and why those that were not served on time were not.
pub(crate) fn losses(args: &LossesArgs) -> Result<(), CliError> {
    ensure!(!args.files.is_empty(), NoFileSnafu);
    let mut reader = LossReader::default();
    for file in &args.files {
        let lines = BufReader::new(File::open(file).context(FileSnafu { file })?);
        for line in lines.split(b'\n') {
            let line = line.context(FileSnafu { file })?;
            reader.read_line(&String::from_utf8_lossy(&line));
        }
    }
    let report = reader.into_report();
    let (files, lines) = (args.files.len(), report.lines());
    ensure!(lines.ends > 0, NoRequestSnafu { files, lines });
    print!("{report}");
    Ok(())
}

//! Errors of commands, each with its step and exit status.

use pumicecleat_config::{Faults, RefusalCause};
use pumicecleat_infra::{AppendError, ReadError};
use pumicecleat_net::{NetError, RuntimeError};
use snafu::Snafu;

use crate::losses::LineCounts;

/// A command that was not carried out.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum CliError {
    #[snafu(display("step start: {source}"))]
    Loop { source: RuntimeError },
    #[snafu(display("step read file, file {file}: {source}"))]
    File {
        file: String,
        source: std::io::Error,
    },
    #[snafu(display("{faults}"))]
    Faulty { faults: Faults },
    #[snafu(display("no line of request {request} in {files} files"))]
    NoTrail { request: String, files: usize },
    #[snafu(display(
        "no line of a gateway about the end of a request (E7101, E7102, E7103, E7105) in {files} files: {lines}"
    ))]
    NoRequest { files: usize, lines: LineCounts },
    #[snafu(display("no file given"))]
    NoFile,
    #[snafu(display("step read log: {source}"))]
    Read { source: ReadError },
    #[snafu(display("step read log: records are trimmed and no snapshot follows"))]
    Trimmed,
    #[snafu(display("step append: not applied: {source}"))]
    Append { source: AppendError },
    #[snafu(display(
        "step await verdict: none within {wait} s; change {id} may still be accepted: apply again \
         shows what is in force"
    ))]
    NoVerdict { id: String, wait: u64 },
    #[snafu(display("refused, change {id}: {cause}"))]
    Refused { id: String, cause: RefusalCause },
    #[snafu(display("step ask process: {source}"))]
    Ask { source: NetError },
    #[snafu(display("step read dump, peer {peer}: {source}"))]
    Dump {
        peer: String,
        source: serde_json::Error,
    },
    #[snafu(display("step {step}: {detail}"))]
    Demo { step: &'static str, detail: String },
}

impl CliError {
    /// Exit status.
    pub(crate) fn status(&self) -> u8 {
        match self {
            Self::File { .. } | Self::Faulty { .. } | Self::NoFile => 2,
            Self::Refused { .. } => 3,
            _ => 1,
        }
    }
}

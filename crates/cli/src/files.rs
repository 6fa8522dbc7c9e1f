//! Configuration files.

use pumicecleat_config::model::Config;
use pumicecleat_config::{Source, digest, parse};
use snafu::{ResultExt, ensure};

use crate::error::{CliError, FileSnafu, NoFileSnafu};

/// Prints what `check` finds.
pub(crate) fn check(files: &[String]) -> Result<(), CliError> {
    let config = read(files)?;
    println!(
        "ok: {} adapters, {} callers, {} pools, {} services, digest {}",
        config.adapters.len(),
        config.callers.len(),
        config.pools.len(),
        config.services.len(),
        digest(&config),
    );
    Ok(())
}

/// Configuration of all `files` together.
pub(crate) fn read(files: &[String]) -> Result<Config, CliError> {
    ensure!(!files.is_empty(), NoFileSnafu);
    let mut texts = Vec::new();
    for file in files {
        let bytes = std::fs::read(file).context(FileSnafu { file })?;
        texts.push(bytes);
    }
    let pairs = files.iter().zip(&texts);
    let sources: Vec<Source<'_>> = pairs.map(|(name, bytes)| Source { name, bytes }).collect();
    parse(&sources).map_err(|faults| CliError::Faulty { faults })
}

//! Configuration files.

use pumicecleat_config::model::Config;
use pumicecleat_config::{
    Change, ChangeId, Faults, Fold, FoldEvent, Record, Source, check, digest, parse,
};
use pumicecleat_types::LogRecord;

use super::{Broken, Target, require};

const NAME: &str = "a.toml";

/// A configuration file.
pub(super) struct ConfigFile;

impl Target for ConfigFile {
    fn name(&self) -> &'static str {
        "config"
    }

    fn samples(&self) -> Vec<Vec<u8>> {
        let demo = include_bytes!("../../../../examples/demo.toml");
        let seeds = include_bytes!("../../../config/tests/cases/good/vithu-koottam/seeds.toml");
        vec![demo.to_vec(), seeds.to_vec()]
    }

    fn check(&self, input: &[u8]) -> Result<bool, Broken> {
        let (name, bytes) = (NAME, input);
        match parse(&[Source { name, bytes }]) {
            Err(faults) => check_faults(&faults, input).map(|()| false),
            Ok(config) => check_accepted(&config, input).map(|()| true),
        }
    }
}

fn check_faults(faults: &Faults, input: &[u8]) -> Result<(), Broken> {
    require(!faults.0.is_empty(), "refused without a fault")?;
    let lines = input.split(|b| *b == b'\n').count();
    let mut places = faults.0.iter().filter_map(|f| f.place.as_ref());
    let inside = places.all(|p| (1..=lines).contains(&p.line));
    require(inside, "a fault's line is not in the file")
}

fn check_accepted(config: &Config, input: &[u8]) -> Result<(), Broken> {
    require(check(config).is_empty(), "accepted with faults")?;
    let (name, bytes) = (NAME, input);
    let again = parse(&[Source { name, bytes }]).ok();
    require(again.as_ref() == Some(config), "read twice, it differs")?;
    check_change(config)
}

/// What was accepted comes through the log as it is.
fn check_change(config: &Config) -> Result<(), Broken> {
    let mut fold = Fold::new();
    let Ok(id) = ChangeId::try_from("x".to_owned()) else {
        return require(false, "id refused");
    };
    let change = Change::new(id, 0, fold.config(), config, "asha");
    let data = Record::Change(Box::new(change)).to_bytes();
    let (offset, at) = (0, 0);
    let event = fold.apply(&LogRecord { offset, at, data });
    let accepted = matches!(event, Ok(FoldEvent::Accepted { revision: 1, .. }));
    require(accepted, "its change was not accepted")?;
    require(fold.config() == config, "in force, it differs")?;
    require(fold.digest() == digest(config), "its digest differs")
}

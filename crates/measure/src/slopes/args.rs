//! Arguments of `slopes`.

use argh::FromArgs;

/// Measure how state, messages and processor time of each role grow, at four sizes or more.
#[derive(FromArgs, Clone, Debug)]
#[argh(subcommand, name = "slopes")]
pub struct SlopesArgs {
    /// parts to measure: all, or some of config, idle, keys, order, report, vms (default: all)
    #[argh(option, default = "Parts::all()")]
    pub parts: Parts,
    /// seconds that each size of `idle` is watched (default: 15)
    #[argh(option, default = "15")]
    pub watch_s: u64,
}

/// Part of the measurement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Part {
    /// Configuration: the fold, changes, snapshots, the operator's command.
    Config,
    /// A running entry that only hears reports.
    Idle,
    /// Ledger of idempotency keys.
    Keys,
    /// Order of loads.
    Order,
    /// Reports and the router.
    Report,
    /// VM list.
    Vms,
}

const ALL: [(&str, Part); 6] = [
    ("report", Part::Report),
    ("vms", Part::Vms),
    ("config", Part::Config),
    ("keys", Part::Keys),
    ("order", Part::Order),
    ("idle", Part::Idle),
];

/// Parts to measure.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Parts(pub Vec<Part>);

impl Parts {
    /// Each part once.
    #[must_use]
    pub fn all() -> Self {
        Self(ALL.iter().map(|(_, part)| *part).collect())
    }
}

impl std::str::FromStr for Parts {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text == "all" {
            return Ok(Self::all());
        }
        let parts: Result<Vec<Part>, String> = text.split(',').map(part).collect();
        Ok(Self(parts?))
    }
}

fn part(text: &str) -> Result<Part, String> {
    let found = ALL.iter().find(|(name, _)| *name == text.trim());
    let found = found.map(|(_, part)| *part);
    found.ok_or_else(|| format!("{text} is no part"))
}

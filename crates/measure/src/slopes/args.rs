//! Arguments of `slopes`.

use argh::FromArgs;

use crate::path::Sizes;

/// Measure how state, messages and processor time of each role grow, at four sizes or more.
#[derive(FromArgs, Clone, Debug)]
#[argh(subcommand, name = "slopes")]
pub struct SlopesArgs {
    /// parts to measure: all, or some of change, config, idle, keys, order, report, vms (default: all)
    #[argh(option, default = "Parts::all()")]
    pub parts: Parts,
    /// seconds that each size of `change` and `idle` is watched, a minute for the longest pace (default: 60)
    #[argh(option, default = "60")]
    pub watch_s: u64,
    /// sides that report in `idle` (default: 180,325,650,1300,2600,7800)
    #[argh(option, default = "Sizes(vec![180, 325, 650, 1_300, 2_600, 7_800])")]
    pub sides: Sizes,
    /// sides of the region in `change` (default: 80,160,325,650)
    #[argh(option, default = "Sizes(vec![80, 160, 325, 650])")]
    pub region: Sizes,
    /// entries of the region in `change` (default: 57)
    #[argh(option, default = "57")]
    pub entries: u32,
    /// entries beside them in `change` that take connections and never answer (default: 0)
    #[argh(option, default = "0")]
    pub dead: u32,
    /// address of an empty log that entries of their own processes follow, for `change`
    #[argh(option)]
    pub log: Option<String>,
    /// peer addresses of those entries, by commas
    #[argh(option, default = "String::new()")]
    pub peers: String,
    /// adapters declared in `change` (default: 24000)
    #[argh(option, default = "24_000")]
    pub adapters: u32,
}

/// Part of the measurement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Part {
    /// A change on its way from the log to the sides.
    Change,
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

const ALL: [(&str, Part); 7] = [
    ("report", Part::Report),
    ("vms", Part::Vms),
    ("config", Part::Config),
    ("keys", Part::Keys),
    ("order", Part::Order),
    ("idle", Part::Idle),
    ("change", Part::Change),
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

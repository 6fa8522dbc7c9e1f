//! Faults that a replay brings about.

use std::str::FromStr;

/// Fault of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// None.
    None,
    /// Three engines restart one after the other and come back with nothing resident.
    ColdRestart,
    /// One load in five fails.
    FailedLoads,
    /// Loads take four times as long in the middle third.
    StoreSlow,
    /// No load starts or goes on for 30 seconds.
    StoreDown,
    /// Reports reach entries three seconds late.
    LateReports,
    /// An upstream leaves, and another takes its place after a minute.
    Leaving,
    /// A data centre is lost for a third of the run.
    CentreLost,
    /// No entry answers bids for a turn at the store in the middle third.
    OrderDown,
}

const NAMES: [(&str, Fault); 9] = [
    ("none", Fault::None),
    ("cold-restart", Fault::ColdRestart),
    ("failed-loads", Fault::FailedLoads),
    ("store-slow", Fault::StoreSlow),
    ("store-down", Fault::StoreDown),
    ("late-reports", Fault::LateReports),
    ("leaving", Fault::Leaving),
    ("centre-lost", Fault::CentreLost),
    ("order-down", Fault::OrderDown),
];

impl Fault {
    /// Name on the command line.
    #[must_use]
    pub fn name(self) -> &'static str {
        let named = NAMES.iter().find(|(_, f)| *f == self);
        named.map_or("none", |(name, _)| name)
    }
}

impl FromStr for Fault {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let found = NAMES.iter().find(|(name, _)| *name == s);
        found
            .map(|(_, fault)| *fault)
            .ok_or_else(|| format!("no fault is named {s:?}"))
    }
}

//! Arguments of `path`.

use argh::FromArgs;

use super::process::Processes;

/// Measure streams direct to a stand-in engine, and through entry and side, in one run.
///
/// With the addresses and ids of processes already running (all four), their memory is measured as
/// well, before anything else was sent through them; path.sh starts such processes.
#[derive(FromArgs, Clone, Debug)]
#[argh(subcommand, name = "path")]
pub struct PathArgs {
    /// open streams, one size after the other (default: 125,250,500,1000)
    #[argh(option, default = "Sizes(vec![125, 250, 500, 1000])")]
    pub streams: Sizes,
    /// tokens of each answer (default: 200)
    #[argh(option, default = "200")]
    pub tokens: u32,
    /// time of an engine step, which gives each stream a token, milliseconds (default: 50)
    #[argh(option, default = "50")]
    pub step_ms: u64,
    /// time over which the streams start, milliseconds (default: 2000)
    #[argh(option, default = "2000")]
    pub spread_ms: u64,
    /// addresses of running engines, ip:port,...
    #[argh(option)]
    pub engine: Option<String>,
    /// address for callers of a running entry, ip:port
    #[argh(option)]
    pub entry: Option<String>,
    /// process id of that entry
    #[argh(option)]
    pub entry_id: Option<u32>,
    /// process id of its side
    #[argh(option)]
    pub side_id: Option<u32>,
}

/// Processes already running, and where they listen.
#[derive(Clone, Debug)]
pub(super) struct Running {
    pub(super) engine: String,
    pub(super) entry: String,
    pub(super) processes: Processes,
}

impl PathArgs {
    /// The processes already running, if all of them are named.
    pub(super) fn running(&self) -> Option<Running> {
        Some(Running {
            engine: self.engine.clone()?,
            entry: self.entry.clone()?,
            processes: Processes {
                entry: self.entry_id?,
                side: self.side_id?,
            },
        })
    }

    /// Whether processes already running are named, be it in part.
    pub(super) fn names_running(&self) -> bool {
        let address = self.engine.is_some() || self.entry.is_some();
        address || self.entry_id.is_some() || self.side_id.is_some()
    }
}

/// Sizes parted by commas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sizes(pub Vec<usize>);

impl std::str::FromStr for Sizes {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let sizes: Result<Vec<usize>, _> = text.split(',').map(|t| t.trim().parse()).collect();
        Ok(Self(sizes?))
    }
}

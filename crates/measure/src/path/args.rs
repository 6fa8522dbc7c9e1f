//! Arguments of `path`.

use argh::FromArgs;

/// Measure streams direct to a stand-in engine, and through entry and side, in one run.
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

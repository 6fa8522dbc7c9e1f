//! Whether entries heed the engines' prefix caches.

use std::str::FromStr;

/// How `ours` treats prompts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PrefixMode {
    /// Not at all.
    Blind,
    /// A conversation's turns meet at one holder.
    Meeting,
}

impl PrefixMode {
    /// Name on the command line.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Blind => "blind",
            Self::Meeting => "meeting",
        }
    }
}

impl FromStr for PrefixMode {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let known = [Self::Blind, Self::Meeting];
        let found = known.into_iter().find(|m| m.name() == s);
        found.ok_or_else(|| format!("no way to treat prompts is named {s:?}"))
    }
}

//! Requests of entries for units of client accounts' allowances, and the replies of the side that grants them.

use serde::{Deserialize, Serialize};

use super::EndRead;
use crate::VmId;

/// Call of an entry to the side that grants allowances. It attaches the entry to the side, with or without an
/// ask.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AllowanceCall {
    /// VM of the entry.
    pub entry: VmId,
    /// Number of entries that the caller knows of.
    pub entries: u32,
    /// Age, ms, of the read in the reply at which the side reads the operators' records again; 0 for no read.
    pub max_age_ms: u64,
    /// Request for units, if any.
    pub ask: Option<AllowanceAsk>,
    /// Whether the entry lends its shares of upstreams' limits, and asks for slots of an upstream, in place of those
    /// of accounts.
    #[serde(default, skip_serializing_if = "is_false")]
    pub is_limit: bool,
}

#[allow(clippy::trivially_copy_pass_by_ref, reason = "serde passes references")]
fn is_false(flag: &bool) -> bool {
    !*flag
}

/// Request for units of an account's allowance.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AllowanceAsk {
    /// Name of the account, or of the upstream's instance.
    pub account: String,
    /// Number of the configuration that the limit is from.
    pub number: u64,
    /// Units per second.
    pub rate: f64,
    /// Units that may be used at once after a time without use.
    pub burst: f64,
    /// Units by which the use in a window may exceed the limit.
    pub tolerance: f64,
    /// Units asked for.
    pub units: u64,
}

/// Reply of a side to an [`AllowanceCall`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AllowanceReply {
    /// Largest number of entries that were attached recently.
    pub entries: u32,
    /// Latest read of the operators' records by the side, if it has made one.
    pub confirmed: Option<EndRead>,
    /// Outcome of the ask, if the call had one.
    pub outcome: Option<AllowanceOutcome>,
}

/// Outcome of an ask for units.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AllowanceOutcome {
    /// The units may be used.
    Granted,
    /// The units are not available.
    Refused {
        /// Time after which they are, ms.
        retry_ms: u64,
    },
}

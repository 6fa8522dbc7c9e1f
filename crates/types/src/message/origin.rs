//! Copies of where streams began, which entries keep at sides for callers that take a stream up at another entry.

use serde::{Deserialize, Serialize};

use crate::{ServiceId, SoftwareVersion};

/// Call of an entry to a side that keeps copies.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginCall {
    /// Streams that began.
    pub begun: Vec<StreamOrigin>,
    /// Request whose stream's origin is asked for.
    pub ask: Option<String>,
}

/// Where a stream began.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// Id of the request that brought the first event.
    pub request: String,
    /// Service.
    pub service: ServiceId,
    /// Software version of the engine that sent the first event.
    pub software: SoftwareVersion,
    /// Time since the first event, ms.
    pub age_ms: u64,
    /// Time for which the copy is kept, ms.
    pub ttl_ms: u64,
}

/// Reply of a side to an [`OriginCall`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginReply {
    /// Origin asked for, if the side has it.
    pub origin: Option<StreamOrigin>,
}

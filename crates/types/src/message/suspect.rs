//! Exchange of suspects between processes. A suspect is a request that was in progress at an upstream
//! when the upstream ended, or a part of its prompt, and may have been the cause.

use serde::{Deserialize, Serialize};

use super::ChangeCursor;
use crate::{Fingerprint, VmId};

/// What a suspect is.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum SuspectKind {
    /// A request, with all its attempts.
    #[default]
    Request,
    /// A part of a prompt, whatever else the requests with it hold.
    PromptPart,
}

/// Identifies a suspect.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct SuspectKey {
    /// What it is.
    #[serde(default)]
    pub kind: SuspectKind,
    /// Digest of what identifies it.
    #[serde(rename = "fingerprint")]
    pub digest: Fingerprint,
}

impl SuspectKey {
    /// Key of a request.
    #[must_use]
    pub fn request(digest: Fingerprint) -> Self {
        let kind = SuspectKind::Request;
        Self { kind, digest }
    }

    /// Key of a part of prompts.
    #[must_use]
    pub fn prompt_part(digest: Fingerprint) -> Self {
        let kind = SuspectKind::PromptPart;
        Self { kind, digest }
    }
}

impl SuspectKind {
    /// Name in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::PromptPart => "prompt_part",
        }
    }
}

/// Changes of the suspects, in either direction of an exchange.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectNews {
    /// In a call, the last change that the sender received from the receiver; in a reply, the last change
    /// that the reply includes.
    pub seen: ChangeCursor,
    /// Suspects that changed since.
    #[serde(rename = "words")]
    pub reports: Vec<SuspectReport>,
}

/// What a process knows of a suspect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// The suspect.
    #[serde(flatten)]
    pub key: SuspectKey,
    /// Upstreams that ended while the suspect was in progress there.
    pub ends: Vec<UpstreamEnd>,
    /// Time since the last of these ends, or since the suspect last arrived, ms.
    pub age_ms: u64,
}

/// End of an upstream while a suspect was in progress there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamEnd {
    /// Key that identifies the upstream's instance and its start.
    pub key: u64,
    /// Whether no other suspect was in progress there.
    pub alone: bool,
    /// Whether the suspect has been served since, so that it can't have been the cause.
    pub cleared: bool,
    /// Time since the end, ms.
    #[serde(default)]
    pub age_ms: u64,
}

/// How a suspect may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Trial {
    /// Together with other suspects that are on trial.
    Shared,
    /// To an engine where no other suspect is on trial.
    #[serde(rename = "Alone")]
    Exclusive,
}

/// Request for permission to send a suspect again.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialCall {
    /// VM of the entry.
    pub entry: VmId,
    /// The suspect.
    #[serde(flatten)]
    pub key: SuspectKey,
    /// Keys of the upstreams that ended while the suspect was in progress, as known to the entry.
    pub ends: Vec<u64>,
    /// Suspected parts of the request's prompt, for a trial of parts of prompts; the suspect is one of them, or was tried
    /// together with one.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub parts: Vec<Fingerprint>,
    /// Whether this returns a permission that was not used, or whose request was served.
    pub unused: bool,
}

/// Reply to a [`TrialCall`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialReply {
    /// Permission to send the request once, in a trial of this kind.
    pub trial: Option<Trial>,
    /// Time after which to retry if there is no permission, ms.
    pub retry_ms: u64,
}

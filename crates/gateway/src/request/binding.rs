//! Software version that a request is bound to. What engines of two versions write doesn't fit together, so that
//! a stream goes on only at the version that began it.

use pumicecleat_types::SoftwareVersion;

/// Software version that a request is bound to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) enum Binding {
    /// None: no event was forwarded yet.
    #[default]
    Unbound,
    /// The version that sent the first event.
    Version(SoftwareVersion),
    /// The version that sent the first event is not known for certain, so that no engine can go on.
    Unknown,
}

impl Binding {
    /// Binding of a stream whose first event came from an engine of this version, if it is known.
    pub(super) fn of(software: Option<SoftwareVersion>) -> Self {
        software.map_or(Self::Unknown, Self::Version)
    }

    /// Whether an engine of this version may run the request.
    pub(super) fn admits(&self, software: &SoftwareVersion) -> bool {
        match self {
            Self::Unbound => true,
            Self::Version(version) => version == software,
            Self::Unknown => false,
        }
    }
}

//! Ids as newtypes, so that a caller's name can't stand where an adapter's is meant.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Text of the id.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(s: &str) -> Self {
                Self(s.into())
            }
        }

        impl From<String> for $name {
            fn from(s: String) -> Self {
                Self(s.into())
            }
        }

        impl std::str::FromStr for $name {
            type Err = std::convert::Infallible;

            fn from_str(s: &str) -> Result<Self, Self::Err> {
                Ok(Self(s.into()))
            }
        }

        impl std::borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

text_id!(
    /// Base model, as declared.
    BaseId
);
text_id!(
    /// Adapter, as declared.
    AdapterId
);
text_id!(
    /// Version of an adapter, as declared.
    VersionId
);
text_id!(
    /// Caller, as declared.
    CallerId
);
text_id!(
    /// Pool of upstreams of one kind, as declared.
    PoolId
);
text_id!(
    /// Plain service, as declared.
    ServiceId
);
text_id!(
    /// VM, from the platform's list and the process's settings.
    VmId
);
text_id!(
    /// Data centre, from settings.
    DataCentre
);
text_id!(
    /// Region, from settings.
    RegionId
);
text_id!(
    /// Request, given by the entry, unique.
    RequestId
);

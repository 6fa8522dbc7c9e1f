//! Newtypes for ids, so that the compiler rejects an id of one kind where another is expected.

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
            /// Returns the id as text.
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
    /// Version of an upstream's software. Versions have no order.
    SoftwareVersion
);
text_id!(
    /// Base model, as declared in the configuration.
    BaseId
);
text_id!(
    /// Adapter, as declared in the configuration.
    AdapterId
);
text_id!(
    /// Version of an adapter, as declared in the configuration.
    VersionId
);
text_id!(
    /// Caller, as declared in the configuration.
    CallerId
);
text_id!(
    /// Pool of upstreams of one kind, as declared in the configuration.
    PoolId
);
text_id!(
    /// Plain HTTP service, as declared in the configuration.
    ServiceId
);
text_id!(
    /// VM, as named in the platform's list and in the settings of its process.
    VmId
);
text_id!(
    /// Data centre, as named in the settings.
    DataCentre
);
text_id!(
    /// Region, as named in the settings.
    RegionId
);
text_id!(
    /// Request; unique, assigned by the entry.
    RequestId
);

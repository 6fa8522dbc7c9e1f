//! Indices in place of names, so that a decision compares and copies numbers only.

macro_rules! index {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub u32);
    };
}

index!(
    /// One version of one adapter on its base model.
    LoraIx
);
index!(
    /// Upstream, with its side.
    UpstreamIx
);
index!(
    /// Pool of upstreams.
    PoolIx
);
index!(
    /// Caller.
    CallerIx
);

//! Numeric indices that replace names, so that decisions compare and copy only numbers.

macro_rules! index {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub u32);
    };
}

index!(
    /// Version of an adapter on its base model.
    LoraIx
);
index!(
    /// Upstream and its side.
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

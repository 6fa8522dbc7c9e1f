//! A configuration in a snapshot: a sequence of items, so that a reader can check its digest item
//! by item without holding a second configuration.

use std::fmt;
use std::marker::PhantomData;

use serde::de::{SeqAccess, Visitor};
use serde::ser::SerializeSeq;
use serde::{Deserializer, Serializer};

use crate::digest::Sum;
use crate::model::{Config, Item};

/// What items are gathered into.
trait Gather: Default {
    fn take(&mut self, item: Item);
}

impl Gather for Config {
    fn take(&mut self, item: Item) {
        self.put(item);
    }
}

impl Gather for Sum {
    fn take(&mut self, item: Item) {
        self.add(&item);
    }
}

struct Gatherer<G>(PhantomData<G>);

impl<'de, G: Gather> Visitor<'de> for Gatherer<G> {
    type Value = G;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a sequence of items")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<G, A::Error> {
        let mut gathered = G::default();
        while let Some(item) = seq.next_element()? {
            gathered.take(item);
        }
        Ok(gathered)
    }
}

pub(super) fn serialize<S: Serializer>(config: &Config, serializer: S) -> Result<S::Ok, S::Error> {
    let count = config.keys().count();
    let mut seq = serializer.serialize_seq(Some(count))?;
    for item in config.items() {
        seq.serialize_element(&item)?;
    }
    seq.end()
}

pub(super) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Config, D::Error> {
    deserializer.deserialize_seq(Gatherer(PhantomData))
}

/// Sum of the items' digests.
pub(super) fn sum<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Sum, D::Error> {
    deserializer.deserialize_seq(Gatherer(PhantomData))
}

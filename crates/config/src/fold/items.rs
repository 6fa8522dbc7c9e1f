//! Encoding of a configuration in a snapshot as a sequence of items, so that a reader can compute
//! its digest by item without a second configuration in memory.

use std::fmt;
use std::marker::PhantomData;

use serde::de::{SeqAccess, Visitor};
use serde::ser::SerializeSeq;
use serde::{Deserializer, Serializer};

use crate::digest::Sum;
use crate::model::{Config, Item};

/// Target of deserialized items.
trait ItemSink: Default {
    fn add_item(&mut self, item: Item);
}

impl ItemSink for Config {
    fn add_item(&mut self, item: Item) {
        self.put(item);
    }
}

impl ItemSink for Sum {
    fn add_item(&mut self, item: Item) {
        self.add(&item);
    }
}

struct ItemVisitor<G>(PhantomData<G>);

impl<'de, G: ItemSink> Visitor<'de> for ItemVisitor<G> {
    type Value = G;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a sequence of items")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<G, A::Error> {
        let mut sink = G::default();
        while let Some(item) = seq.next_element()? {
            sink.add_item(item);
        }
        Ok(sink)
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
    deserializer.deserialize_seq(ItemVisitor(PhantomData))
}

/// Deserializes the items into the sum of their hashes only.
pub(super) fn sum<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Sum, D::Error> {
    deserializer.deserialize_seq(ItemVisitor(PhantomData))
}

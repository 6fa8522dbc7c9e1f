//! The list of models.

use std::collections::BTreeMap;

use serde::Serialize;

/// Base model and resident `LoRAs`.
#[derive(Serialize)]
pub(crate) struct ModelList<'a> {
    object: &'a str,
    data: Vec<Model<'a>>,
}

#[derive(Serialize)]
struct Model<'a> {
    id: &'a str,
    object: &'a str,
    root: &'a str,
    parent: Option<&'a str>,
}

impl<'a> ModelList<'a> {
    /// List of `base` and the resident `LoRAs`, by name and path.
    pub(crate) fn new(base: &'a str, resident: &'a BTreeMap<String, String>) -> Self {
        let first = Model {
            id: base,
            object: "model",
            root: base,
            parent: None,
        };
        let loras = resident.iter().map(|(name, path)| Model {
            id: name,
            object: "model",
            root: path,
            parent: Some(base),
        });
        Self {
            object: "list",
            data: std::iter::once(first).chain(loras).collect(),
        }
    }
}

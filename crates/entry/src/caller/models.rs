//! The models that a caller may reach.

use pumicecleat_config::model::{Adapter, Config};
use pumicecleat_net::{Reply, json_reply};
use pumicecleat_types::{AdapterId, CallerId};
use serde::Serialize;

use crate::shared::Shared;

#[derive(Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<Model>,
}

#[derive(Serialize)]
struct Model {
    id: String,
    object: &'static str,
    owned_by: &'static str,
    /// Base model.
    parent: String,
}

/// Lists every version that a caller may reach, and each adapter that has a default one.
pub(super) fn answer(shared: &Shared, caller: &CallerId) -> Reply {
    let data = shared.config.with(|config| list(config, caller));
    let object = "list";
    json_reply(200, &ModelList { object, data })
}

fn list(config: &Config, caller: &CallerId) -> Vec<Model> {
    let Some(caller) = config.callers.get(caller) else {
        return Vec::new();
    };
    let open = config
        .adapters
        .iter()
        .filter(|(id, _)| caller.may_adapter(id));
    open.flat_map(|(id, adapter)| models_of(id, adapter))
        .collect()
}

fn models_of(id: &AdapterId, adapter: &Adapter) -> Vec<Model> {
    let versions = adapter.versions.keys().map(|v| format!("{id}@{v}"));
    let bare = adapter.default.as_ref().map(|_| id.to_string());
    let names = bare.into_iter().chain(versions);
    names
        .map(|name| Model {
            id: name,
            object: "model",
            owned_by: "pumicecleat",
            parent: adapter.base.to_string(),
        })
        .collect()
}

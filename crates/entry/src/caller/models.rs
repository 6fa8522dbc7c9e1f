//! List of the models available to a caller.

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

/// Lists every adapter version available to a caller, and each adapter that has a default version.
pub(super) fn reply(shared: &Shared, caller: &CallerId) -> Reply {
    let data = shared.config.with(|config| list_models(config, caller));
    let object = "list";
    json_reply(200, &ModelList { object, data })
}

fn list_models(config: &Config, caller: &CallerId) -> Vec<Model> {
    let Some(caller) = config.callers.get(caller) else {
        return Vec::new();
    };
    let permitted = config
        .adapters
        .iter()
        .filter(|(id, _)| caller.may_use_adapter(id));
    permitted
        .flat_map(|(id, adapter)| models_of(id, adapter))
        .collect()
}

fn models_of(id: &AdapterId, adapter: &Adapter) -> Vec<Model> {
    let versions = adapter.versions.keys().map(|v| format!("{id}@{v}"));
    let default_name = adapter.default.as_ref().map(|_| id.to_string());
    let names = default_name.into_iter().chain(versions);
    names
        .map(|name| Model {
            id: name,
            object: "model",
            owned_by: "pumicecleat",
            parent: adapter.base.to_string(),
        })
        .collect()
}

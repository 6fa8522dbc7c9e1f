//! What a name means under the configuration in force.

use pumicecleat_config::model::{Adapter, Config, KeyRule, Pool, PoolKind};
use pumicecleat_policy::{LoraIx, PoolIx, lora_key};
use pumicecleat_types::{
    AdapterId, BaseId, CallerId, HeaderField, Lora, ModelTarget, PoolId, ServiceTarget, Target,
    VersionId,
};

use crate::api_error::{ApiError, DEFAULT_RETRY_AFTER};
use crate::shared::Shared;

/// Target of a request under one revision.
#[derive(Clone, Debug)]
pub(crate) struct Resolved {
    pub(crate) target: Target,
    pub(crate) pool: PoolId,
    pub(crate) pool_ix: PoolIx,
    pub(crate) lora_ix: Option<LoraIx>,
    /// Engine name, for a model.
    pub(crate) engine: Option<String>,
    /// Parts of the keys of the pool's calls.
    pub(crate) parts: u32,
    pub(crate) revision: u64,
    /// Seed of prefix hashes: an engine's cache differs by base model, adapter and version.
    pub(crate) prefix_seed: u64,
}

impl Resolved {
    /// Name for logs.
    pub(crate) fn name(&self) -> &str {
        match &self.target {
            Target::Model(_) => self.engine.as_deref().unwrap_or_default(),
            Target::Service(service) => service.service.as_str(),
        }
    }
}

/// Route of a plain service, as declared.
pub(crate) struct ServiceRoute {
    pub(crate) resolved: Resolved,
    pub(crate) key: KeyRule,
    pub(crate) idempotent: bool,
}

/// Finds the adapter and version that `model` names, if `caller` may reach it.
pub(crate) fn resolve_model(
    shared: &Shared,
    caller: &CallerId,
    model: &str,
) -> Result<Resolved, ApiError> {
    let found = shared
        .config
        .with(|config| find_model(config, caller, model));
    let Some(Asked { target, pools }) = found else {
        return Err(unknown_model(model));
    };
    let Some(pool) = shared.directory.borrow_mut().best_pool(pools) else {
        let message = format!("no pool runs the base model of {model:?}");
        return Err(ApiError::unavailable(
            "no_upstream",
            message,
            DEFAULT_RETRY_AFTER,
        ));
    };
    let lora = Lora {
        base: target.base.clone(),
        adapter: target.adapter.clone(),
        version: target.version.clone(),
    };
    let mut directory = shared.directory.borrow_mut();
    Ok(Resolved {
        pool_ix: directory.pool_index(&pool),
        lora_ix: Some(directory.lora_index(&lora)),
        engine: Some(lora.engine_name()),
        prefix_seed: lora_key(&lora),
        parts: 1,
        revision: shared.config.revision(),
        target: Target::Model(target),
        pool,
    })
}

/// The same answer for what does not exist and what the caller may not reach.
fn unknown_model(model: &str) -> ApiError {
    let message = format!("model {model:?} does not exist or is not open to this caller");
    ApiError::rejected(404, "model_not_found", message)
}

/// What a name means, and the pools that may run it.
struct Asked {
    target: ModelTarget,
    pools: Vec<PoolId>,
}

fn find_model(config: &Config, caller: &CallerId, model: &str) -> Option<Asked> {
    let (name, version) = match model.rsplit_once('@') {
        Some((name, version)) => (name, Some(version)),
        None => (model, None),
    };
    let (id, adapter) = config.adapters.get_key_value(name)?;
    if !config.callers.get(caller)?.may_adapter(id) {
        return None;
    }
    let version = find_version(adapter, version)?;
    let lora = Lora {
        base: adapter.base.clone(),
        adapter: id.clone(),
        version: version.clone(),
    };
    Some(Asked {
        target: model_target(config, &lora)?,
        pools: find_pools(config, &adapter.base),
    })
}

fn model_target(config: &Config, lora: &Lora) -> Option<ModelTarget> {
    Some(ModelTarget {
        base: lora.base.clone(),
        adapter: AdapterId::clone(&lora.adapter),
        version: lora.version.clone(),
        stamp: config.stamp(lora)?,
    })
}

fn find_version<'a>(adapter: &'a Adapter, asked: Option<&str>) -> Option<&'a VersionId> {
    let name = match asked {
        Some(name) => name,
        None => adapter.default.as_ref()?.as_str(),
    };
    let (version, _) = adapter.versions.get_key_value(name)?;
    Some(version)
}

/// Pools that run a base model.
fn find_pools(config: &Config, base: &BaseId) -> Vec<PoolId> {
    let runs = |kind: &PoolKind| matches!(kind, PoolKind::Model { base: b, .. } if b == base);
    let pools = config.pools.iter().filter(|(_, pool)| runs(&pool.kind));
    pools.map(|(id, _)| id.clone()).collect()
}

/// Finds the declared route of a call, if `caller` may reach its service.
pub(crate) fn resolve_service(
    shared: &Shared,
    caller: &CallerId,
    method: &str,
    path: &str,
    headers: Vec<HeaderField>,
) -> Result<ServiceRoute, ApiError> {
    let found = shared
        .config
        .with(|config| find_route(config, caller, method, path))?;
    let target = Target::Service(ServiceTarget {
        service: found.service,
        method: method.to_owned(),
        path: path.to_owned(),
        headers,
        idempotent: found.idempotent,
    });
    let resolved = Resolved {
        target,
        pool_ix: shared.directory.borrow_mut().pool_index(&found.pool),
        pool: found.pool,
        lora_ix: None,
        engine: None,
        prefix_seed: 0,
        parts: found.parts,
        revision: shared.config.revision(),
    };
    Ok(ServiceRoute {
        resolved,
        key: found.key,
        idempotent: found.idempotent,
    })
}

struct Found {
    service: pumicecleat_types::ServiceId,
    pool: PoolId,
    parts: u32,
    idempotent: bool,
    key: KeyRule,
    length: usize,
}

/// Longest matching prefix over all services, so that each path has one meaning for all callers.
fn find_route(
    config: &Config,
    caller: &CallerId,
    method: &str,
    path: &str,
) -> Result<Found, ApiError> {
    let matches = config.services.iter().filter_map(|(id, service)| {
        let route = service.route(method, path)?;
        Some(Found {
            service: id.clone(),
            pool: service.pool.clone(),
            parts: config.pools.get(&service.pool).map_or(1, Pool::parts),
            idempotent: route.idempotent,
            key: route.key,
            length: route.prefix.len(),
        })
    });
    let Some(found) = matches.max_by_key(|f| f.length) else {
        return Err(ApiError::rejected(404, "route_not_found", "no such route"));
    };
    let caller = config.callers.get(caller);
    if !caller.is_some_and(|c| c.may_service(&found.service)) {
        let message = "this caller may not call this service";
        return Err(ApiError::rejected(403, "forbidden", message));
    }
    Ok(found)
}

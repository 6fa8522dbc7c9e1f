//! Lookup of model names and routes in the configuration in force.

use pumicecleat_config::model::{Adapter, Config, IdempotencyKeyRule, Pool, PoolKind};
use pumicecleat_policy::{LoraIx, PoolIx, lora_key};
use pumicecleat_types::{
    AdapterId, BaseId, CallerId, HeaderField, Lora, ModelTarget, PoolId, ServiceTarget, Target,
    VersionId,
};

use crate::api_error::{ApiError, DEFAULT_RETRY_AFTER};
use crate::shared::Shared;

/// Target of a request under one revision of the configuration.
#[derive(Clone, Debug)]
pub(crate) struct ResolvedTarget {
    pub(crate) target: Target,
    pub(crate) pool: PoolId,
    pub(crate) pool_ix: PoolIx,
    pub(crate) lora_ix: Option<LoraIx>,
    /// Name of the model at the engine; `None` for a plain service.
    pub(crate) engine_name: Option<String>,
    /// Number of parts into which the pool's idempotency keys are divided.
    pub(crate) key_parts: u32,
    pub(crate) revision: u64,
    /// Seed of prefix hashes. An engine's prefix cache is separate for each base model, adapter and
    /// version.
    pub(crate) prefix_seed: u64,
}

impl ResolvedTarget {
    /// Name for logs.
    pub(crate) fn log_name(&self) -> &str {
        match &self.target {
            Target::Model(_) => self.engine_name.as_deref().unwrap_or_default(),
            Target::Service(service) => service.service.as_str(),
        }
    }
}

/// Declared route of a plain service.
pub(crate) struct ServiceRoute {
    pub(crate) resolved: ResolvedTarget,
    pub(crate) key_rule: IdempotencyKeyRule,
    pub(crate) idempotent: bool,
}

/// Looks up the adapter and version named by `model`, if `caller` may use them.
pub(crate) fn resolve_model(
    shared: &Shared,
    caller: &CallerId,
    model: &str,
) -> Result<ResolvedTarget, ApiError> {
    let found = shared
        .config
        .with(|config| find_model(config, caller, model));
    let Some(ModelMatch { target, pools }) = found else {
        return Err(model_not_found(model));
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
    Ok(ResolvedTarget {
        pool_ix: directory.pool_index(&pool),
        lora_ix: Some(directory.lora_index(&lora)),
        engine_name: Some(lora.engine_name()),
        prefix_seed: lora_key(&lora),
        key_parts: 1,
        revision: shared.config.revision(),
        target: Target::Model(target),
        pool,
    })
}

/// Fault for a model that does not exist or that the caller may not use; both get the same message.
fn model_not_found(model: &str) -> ApiError {
    let message = format!("model {model:?} does not exist or is not open to this caller");
    ApiError::rejected(404, "model_not_found", message)
}

/// Model that a name denotes, and the pools that can run it.
struct ModelMatch {
    target: ModelTarget,
    pools: Vec<PoolId>,
}

fn find_model(config: &Config, caller: &CallerId, model: &str) -> Option<ModelMatch> {
    let (name, version) = match model.rsplit_once('@') {
        Some((name, version)) => (name, Some(version)),
        None => (model, None),
    };
    let (id, adapter) = config.adapters.get_key_value(name)?;
    if !config.callers.get(caller)?.may_use_adapter(id) {
        return None;
    }
    let version = find_version(adapter, version)?;
    let lora = Lora {
        base: adapter.base.clone(),
        adapter: id.clone(),
        version: version.clone(),
    };
    Some(ModelMatch {
        target: model_target(config, &lora)?,
        pools: find_pools(config, &adapter.base),
    })
}

fn model_target(config: &Config, lora: &Lora) -> Option<ModelTarget> {
    Some(ModelTarget {
        base: lora.base.clone(),
        adapter: AdapterId::clone(&lora.adapter),
        version: lora.version.clone(),
        declaration_digest: config.stamp(lora)?,
    })
}

fn find_version<'a>(adapter: &'a Adapter, requested: Option<&str>) -> Option<&'a VersionId> {
    let name = match requested {
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

/// Looks up the declared route of a call, if `caller` may call its service.
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
    let resolved = ResolvedTarget {
        target,
        pool_ix: shared.directory.borrow_mut().pool_index(&found.pool),
        pool: found.pool,
        lora_ix: None,
        engine_name: None,
        prefix_seed: 0,
        key_parts: found.key_parts,
        revision: shared.config.revision(),
    };
    Ok(ServiceRoute {
        resolved,
        key_rule: found.key_rule,
        idempotent: found.idempotent,
    })
}

struct RouteMatch {
    service: pumicecleat_types::ServiceId,
    pool: PoolId,
    key_parts: u32,
    idempotent: bool,
    key_rule: IdempotencyKeyRule,
    prefix_len: usize,
}

/// Selects the longest matching prefix over all services, so that a path has the same meaning for
/// every caller.
fn find_route(
    config: &Config,
    caller: &CallerId,
    method: &str,
    path: &str,
) -> Result<RouteMatch, ApiError> {
    let matches = config.services.iter().filter_map(|(id, service)| {
        let route = service.route(method, path)?;
        Some(RouteMatch {
            service: id.clone(),
            pool: service.pool.clone(),
            key_parts: config.pools.get(&service.pool).map_or(1, Pool::parts),
            idempotent: route.idempotent,
            key_rule: route.key,
            prefix_len: route.prefix.len(),
        })
    });
    let Some(found) = matches.max_by_key(|f| f.prefix_len) else {
        return Err(ApiError::rejected(404, "route_not_found", "no such route"));
    };
    let caller = config.callers.get(caller);
    if !caller.is_some_and(|c| c.may_use_service(&found.service)) {
        let message = "this caller may not call this service";
        return Err(ApiError::rejected(403, "forbidden", message));
    }
    Ok(found)
}

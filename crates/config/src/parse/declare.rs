//! Conversion of each kind of table to the model.

use pumicecleat_types::VersionId;
use toml::de::DeTable;

use super::fields::Fields;
use super::notes::Diagnostics;
use super::source::Text;
use super::value::{Value, entries};
use crate::fault::Problem;
use crate::model::{
    Adapter, BaseModel, Caller, Config, Grant, IdempotencyKeyRule, Limits, Pool, PoolKind, Route,
    Service, Tuning, Version, Versions,
};

/// Default for the maximum number of requests waiting at a side.
const DEFAULT_QUEUE: u32 = 256;
const HASH_PREFIX: &str = "sha256:";
const KINDS: &str = "\"model\", \"service\"";
const KEY_RULES: &str = "\"required\", \"optional\"";

/// Configuration and diagnostics of the files read so far.
#[derive(Default)]
pub(super) struct Declarations {
    pub(super) config: Config,
    pub(super) diagnostics: Diagnostics,
}

impl Declarations {
    /// Adds the tables of one file.
    pub(super) fn scan<'t>(&mut self, text: &'t Text<'t>, root: &'t DeTable<'t>) {
        for (key, inner) in root {
            let name: &str = key.get_ref();
            let value = Value::new(text, inner);
            let place = text.place(key.span().start);
            match name {
                "base" | "adapter" | "caller" | "pool" | "service" => {
                    for (id, path, value) in entries(&mut self.diagnostics, text, name, value) {
                        self.scan_named(name, id, path, value);
                    }
                }
                "tuning" => {
                    self.diagnostics.declare(name, place);
                    self.scan_tuning(value);
                }
                "limits" => {
                    self.diagnostics.declare(name, place);
                    self.scan_limits(value);
                }
                _ => self.diagnostics.fault(name, place, Problem::UnknownField),
            }
        }
    }

    fn scan_named(&mut self, kind: &str, id: &str, path: String, value: Value<'_>) {
        let Some(fields) = Fields::new(&mut self.diagnostics, path, value) else {
            return;
        };
        let config = &mut self.config;
        match kind {
            "base" => drop(config.bases.insert(id.into(), scan_base(fields))),
            "adapter" => drop(config.adapters.insert(id.into(), scan_adapter(fields))),
            "caller" => drop(config.callers.insert(id.into(), scan_caller(fields))),
            "pool" => drop(config.pools.insert(id.into(), scan_pool(fields))),
            _ => drop(config.services.insert(id.into(), scan_service(fields))),
        }
    }

    fn scan_tuning(&mut self, value: Value<'_>) {
        let Some(mut fields) = Fields::new(&mut self.diagnostics, "tuning".into(), value) else {
            return;
        };
        let default = Tuning::default();
        self.config.tuning = Tuning {
            stall: fields.u32_or("stall", default.stall),
            batch: fields.u32_or("batch", default.batch),
            hold_ms: fields.u64_or("hold_ms", default.hold_ms),
        };
        fields.finish();
    }

    fn scan_limits(&mut self, value: Value<'_>) {
        let Some(mut fields) = Fields::new(&mut self.diagnostics, "limits".into(), value) else {
            return;
        };
        let default = Limits::default();
        self.config.limits = Limits {
            deadline_ms: fields.u64_or("deadline_ms", default.deadline_ms),
            longest_ms: fields.u64_or("longest_ms", default.longest_ms),
            body: fields.u64_or("body", default.body),
            window_s: fields.u64_or("window_s", default.window_s),
        };
        fields.finish();
    }
}

fn scan_base(mut fields: Fields<'_, '_>) -> BaseModel {
    let base = BaseModel {
        context: fields.required_u32("context"),
    };
    fields.finish();
    base
}

fn scan_adapter(mut fields: Fields<'_, '_>) -> Adapter {
    let mut adapter = Adapter {
        base: fields.required_string("base").into(),
        default: fields.optional_string("default").map(VersionId::from),
        versions: Versions::default(),
    };
    for (name, path, value) in fields.tables("version") {
        if let Some(version) = scan_version(fields.diagnostics(), path, value) {
            adapter.versions.insert(name.into(), version);
        }
    }
    fields.finish();
    adapter
}

fn scan_version(diagnostics: &mut Diagnostics, path: String, value: Value<'_>) -> Option<Version> {
    let mut fields = Fields::new(diagnostics, path, value)?;
    let path = fields.required_string("path").to_owned();
    fields.finish();
    Some(Version { path })
}

fn scan_caller(mut fields: Fields<'_, '_>) -> Caller {
    let keys = fields.required_strings("keys");
    let mut caller = Caller {
        keys: keys.into_iter().map(normalize_hash).collect(),
        claim: fields.u32_or("claim", 1),
        priority: fields.u8_or("priority", 0),
        grant: Grant::default(),
    };
    for pattern in fields.strings("adapters") {
        grant_adapters(&mut caller.grant, pattern);
    }
    let services = fields.strings("services");
    caller.grant.services = services.into_iter().map(Into::into).collect();
    fields.finish();
    caller
}

fn normalize_hash(key: &str) -> String {
    key.strip_prefix(HASH_PREFIX)
        .unwrap_or(key)
        .to_ascii_lowercase()
}

fn grant_adapters(grant: &mut Grant, pattern: &str) {
    match pattern.strip_suffix('*') {
        Some("") => grant.all = true,
        Some(prefix) => drop(grant.prefixes.insert(prefix.to_owned())),
        None => drop(grant.adapters.insert(pattern.into())),
    }
}

fn scan_pool(mut fields: Fields<'_, '_>) -> Pool {
    let queue = fields.u32_or("queue", DEFAULT_QUEUE);
    let kind = match fields.required_string("kind") {
        "" => return placeholder_pool(queue),
        "model" => PoolKind::Model {
            base: fields.required_string("base").into(),
            slots: fields.required_u32("slots"),
            batch: fields.required_u32("batch"),
            fencing: fields.flag("fencing"),
        },
        "service" => PoolKind::Service {
            concurrency: fields.required_u32("concurrency"),
            parts: fields.u32_or("parts", 1),
        },
        word => {
            fields.report_not_allowed("kind", word, KINDS);
            return placeholder_pool(queue);
        }
    };
    fields.finish();
    Pool { kind, queue }
}

/// Pool used if the kind is missing or invalid. Its other fields are not checked, as which of them
/// are unknown depends on the kind.
fn placeholder_pool(queue: u32) -> Pool {
    let kind = PoolKind::Service {
        concurrency: 1,
        parts: 1,
    };
    Pool { kind, queue }
}

fn scan_service(mut fields: Fields<'_, '_>) -> Service {
    let mut service = Service {
        pool: fields.required_string("pool").into(),
        routes: Vec::new(),
    };
    for (path, value) in fields.list("route") {
        if let Some(route) = scan_route(fields.diagnostics(), path, value) {
            service.routes.push(route);
        }
    }
    fields.finish();
    service
}

fn scan_route(diagnostics: &mut Diagnostics, path: String, value: Value<'_>) -> Option<Route> {
    let mut fields = Fields::new(diagnostics, path, value)?;
    let method = fields.optional_string("method").map(str::to_owned);
    let prefix = fields.required_string("prefix").to_owned();
    let idempotent = fields.flag("idempotent");
    let key = match fields.optional_string("key") {
        None | Some("required") => IdempotencyKeyRule::Required,
        Some("optional") => IdempotencyKeyRule::Optional,
        Some(word) => {
            fields.report_not_allowed("key", word, KEY_RULES);
            IdempotencyKeyRule::default()
        }
    };
    fields.finish();
    Some(Route {
        method,
        prefix,
        idempotent,
        key,
    })
}

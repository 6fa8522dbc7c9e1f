//! Validation of an item by itself.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;

use super::{Report, limit};
use crate::fault::Problem;
use crate::key::HASH_HEX_CHARS;
use crate::model::{Caller, Item, ItemKey, Limits, Pool, PoolKind, Route, Tuning};

pub(super) fn check_item(item: &Item, report: &mut Report) {
    check_id(&item.key(), report);
    match item {
        Item::Base(_, base) => check_range(
            report,
            "context",
            base.context.into(),
            &limit::CONTEXT_TOKENS,
        ),
        Item::Adapter { .. } => {}
        Item::Version(_, _, version) => check_path(&version.path, report),
        Item::Caller(_, caller) => check_caller(caller, report),
        Item::Pool(_, pool) => check_pool(pool, report),
        Item::Service(_, service) => check_routes(&service.routes, report),
        Item::Tuning(tuning) => check_tuning(*tuning, report),
        Item::Limits(limits) => check_limits(limits, report),
    }
}

fn check_id(key: &ItemKey, report: &mut Report) {
    let id = match key {
        ItemKey::Base(id) => id.as_str(),
        ItemKey::Adapter(id) => id.as_str(),
        ItemKey::Version(_, id) => id.as_str(),
        ItemKey::Caller(id) => id.as_str(),
        ItemKey::Pool(id) => id.as_str(),
        ItemKey::Service(id) => id.as_str(),
        ItemKey::Tuning | ItemKey::Limits => return,
    };
    if id.is_empty() {
        report.add("", Problem::Empty);
    }
    check_length(report, "", id, limit::MAX_ID_CHARS);
    if !id.chars().all(is_id_char) {
        let id = id.to_owned();
        report.add("", Problem::InvalidCharacters { id });
    }
}

fn is_id_char(c: char) -> bool {
    matches!(c, 'a'..='z' | '0'..='9' | '.' | '_' | '-')
}

fn check_path(path: &str, report: &mut Report) {
    if path.is_empty() {
        report.add("path", Problem::Empty);
    }
    check_length(report, "path", path, limit::MAX_PATH_CHARS);
}

fn check_caller(caller: &Caller, report: &mut Report) {
    if caller.keys.is_empty() {
        report.add("keys", Problem::Empty);
    }
    for hash in caller.keys.iter().filter(|hash| !is_hash(hash)) {
        let hash = hash.clone();
        report.add("keys", Problem::InvalidHash { hash });
    }
    check_range(report, "claim", caller.claim.into(), &limit::CAPACITY_CLAIM);
    for prefix in &caller.grant.prefixes {
        if prefix.is_empty() {
            report.add("adapters", Problem::Empty);
        }
        if !prefix.chars().all(is_id_char) {
            let id = prefix.clone();
            report.add("adapters", Problem::InvalidCharacters { id });
        }
    }
}

fn is_hash(hash: &str) -> bool {
    hash.len() == HASH_HEX_CHARS && hash.chars().all(|c| matches!(c, '0'..='9' | 'a'..='f'))
}

fn check_pool(pool: &Pool, report: &mut Report) {
    check_range(report, "queue", pool.queue.into(), &limit::QUEUED_REQUESTS);
    match &pool.kind {
        PoolKind::Model { slots, batch, .. } => {
            check_range(report, "slots", (*slots).into(), &limit::ADAPTER_SLOTS);
            check_range(
                report,
                "batch",
                (*batch).into(),
                &limit::CONCURRENT_REQUESTS,
            );
        }
        PoolKind::Service { concurrency, parts } => {
            check_range(
                report,
                "concurrency",
                (*concurrency).into(),
                &limit::CONCURRENT_REQUESTS,
            );
            check_range(report, "parts", (*parts).into(), &limit::KEY_PARTS);
        }
    }
}

fn check_routes(routes: &[Route], report: &mut Report) {
    if routes.is_empty() {
        report.add("route", Problem::Empty);
    }
    let mut seen = BTreeMap::new();
    for (i, route) in routes.iter().enumerate() {
        check_route(i, route, report);
        let first = *seen.entry((&route.method, &route.prefix)).or_insert(i);
        if first != i {
            report.add(&format!("route[{i}]"), Problem::DuplicateRoute { first });
        }
    }
}

fn check_route(i: usize, route: &Route, report: &mut Report) {
    let field = format!("route[{i}].prefix");
    if !is_valid_prefix(&route.prefix) {
        let prefix = route.prefix.clone();
        report.add(&field, Problem::InvalidPrefix { prefix });
    }
    check_length(report, &field, &route.prefix, limit::MAX_PATH_CHARS);
    let Some(method) = &route.method else {
        return;
    };
    if method.is_empty() || !method.chars().all(|c| c.is_ascii_uppercase()) {
        let method = method.clone();
        report.add(
            &format!("route[{i}].method"),
            Problem::InvalidMethod { method },
        );
    }
}

fn is_valid_prefix(prefix: &str) -> bool {
    let Some(rest) = prefix.strip_prefix('/') else {
        return false;
    };
    let plain = !rest.contains(['?', '#', '%', '\\']);
    rest.is_empty() || plain && rest.split('/').all(|s| !matches!(s, "" | "." | ".."))
}

fn check_tuning(tuning: Tuning, report: &mut Report) {
    check_range(report, "stall", tuning.stall.into(), &limit::WEIGHT_PERCENT);
    check_range(report, "batch", tuning.batch.into(), &limit::WEIGHT_PERCENT);
    check_range(report, "hold_ms", tuning.hold_ms, &limit::HOLD_MS);
    if tuning.stall == 0 && tuning.batch == 0 {
        report.add("", Problem::ZeroWeights);
    }
}

fn check_limits(limits: &Limits, report: &mut Report) {
    check_range(
        report,
        "deadline_ms",
        limits.deadline_ms,
        &limit::DEADLINE_MS,
    );
    check_range(report, "longest_ms", limits.longest_ms, &limit::DEADLINE_MS);
    check_range(report, "body", limits.body, &limit::BODY_BYTES);
    check_range(report, "window_s", limits.window_s, &limit::KEY_WINDOW_S);
    if limits.deadline_ms > limits.longest_ms {
        let found = limits.deadline_ms;
        let longest = limits.longest_ms;
        report.add("deadline_ms", Problem::DeadlineTooLong { found, longest });
    }
}

fn check_range(report: &mut Report, field: &str, value: u64, range: &RangeInclusive<u64>) {
    if !range.contains(&value) {
        let problem = Problem::Range {
            found: value.to_string(),
            least: *range.start(),
            most: *range.end(),
        };
        report.add(field, problem);
    }
}

fn check_length(report: &mut Report, field: &str, text: &str, most: usize) {
    if text.chars().count() > most {
        report.add(field, Problem::TooLong { most });
    }
}

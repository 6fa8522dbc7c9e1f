//! Origins that a process keeps.

use std::collections::{BTreeMap, BTreeSet};

use pumicecleat_types::{Millis, ServiceId, SoftwareVersion, StreamOrigin};

/// Longest time for which an origin is kept.
const MAX_TTL: Millis = Millis(600_000);

/// Origins kept at most; beyond, the ones that end first are dropped.
const MAX_ORIGINS: usize = 50_000;

/// Origins by the id of the request that began the stream.
#[derive(Clone, Debug, Default)]
pub struct OriginTable {
    by_request: BTreeMap<String, Entry>,
    /// Ids by the time until which they are kept.
    by_end: BTreeSet<(Millis, String)>,
}

#[derive(Clone, Debug)]
struct Entry {
    service: ServiceId,
    /// `None` if two processes tell different versions.
    software: Option<SoftwareVersion>,
    begun_at: Millis,
    end: Millis,
}

impl OriginTable {
    /// Keeps an origin. One that is told differently for the same request is not known any more.
    pub fn insert(&mut self, origin: &StreamOrigin, now: Millis) {
        self.expire(now);
        let StreamOrigin {
            request,
            service,
            software,
            ..
        } = origin;
        if let Some(known) = self.by_request.get_mut(request) {
            if known.service != *service || known.software.as_ref() != Some(software) {
                known.software = None;
            }
            return;
        }
        let end = now + Millis(origin.ttl_ms).min(MAX_TTL);
        let entry = Entry {
            service: service.clone(),
            software: Some(software.clone()),
            begun_at: now - Millis(origin.age_ms),
            end,
        };
        self.by_request.insert(request.clone(), entry);
        self.by_end.insert((end, request.clone()));
        if self.by_request.len() > MAX_ORIGINS {
            self.drop_first();
        }
    }

    /// Origin of the stream that `request` began.
    #[must_use]
    pub fn get(&self, request: &str, now: Millis) -> Option<StreamOrigin> {
        let entry = self.by_request.get(request).filter(|e| e.end > now)?;
        Some(StreamOrigin {
            request: request.to_owned(),
            service: entry.service.clone(),
            software: entry.software.clone()?,
            age_ms: now.since(entry.begun_at).0,
            ttl_ms: entry.end.since(now).0,
        })
    }

    /// Number of origins.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_request.len()
    }

    /// Whether no origin is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_request.is_empty()
    }

    fn expire(&mut self, now: Millis) {
        while self.by_end.first().is_some_and(|(end, _)| *end <= now) {
            self.drop_first();
        }
    }

    fn drop_first(&mut self) {
        if let Some((_, request)) = self.by_end.pop_first() {
            self.by_request.remove(&request);
        }
    }
}

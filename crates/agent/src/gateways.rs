//! Gateways that contacted this agent recently.
//!
//! Gateways share limits without communicating with each other and do not know how many they are. As all of
//! them contact every agent, the agents tell them the number.

use std::collections::BTreeMap;

use pumicecleat_types::{Millis, VmId};

/// Time after its last contact for which a gateway is counted. Equal to the window of 10 s over which the
/// deployments limit retries.
const GATEWAY_TTL: Millis = Millis(10_000);

/// Time of the last contact of each gateway, by VM.
#[derive(Debug, Default)]
pub(crate) struct RecentGateways {
    last_contact: BTreeMap<VmId, Millis>,
}

impl RecentGateways {
    /// Records a contact of `gateway` and removes the gateways that are no longer counted.
    pub(crate) fn record_contact(&mut self, gateway: &VmId, now: Millis) {
        if let Some(at) = self.last_contact.get_mut(gateway) {
            *at = now;
        } else {
            self.last_contact.insert(gateway.clone(), now);
        }
        self.last_contact.retain(|_, at| Self::is_recent(*at, now));
    }

    /// Number of gateways that are counted at `now`.
    pub(crate) fn count(&self, now: Millis) -> u32 {
        let recent = self
            .last_contact
            .values()
            .filter(|at| Self::is_recent(**at, now));
        u32::try_from(recent.count()).unwrap_or(u32::MAX)
    }

    /// Whether a contact at `at` is still counted.
    pub(crate) fn is_recent(at: Millis, now: Millis) -> bool {
        now.since(at) < GATEWAY_TTL
    }
}

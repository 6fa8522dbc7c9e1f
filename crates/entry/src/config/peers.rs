//! Reads the configuration from other entries while the log is unreachable.

use std::time::Duration;

use pumicecleat_net::{NetError, post};
use pumicecleat_ops::{events, field};
use pumicecleat_types::{ConfigCall, ConfigReply};

use super::follow::on_new_revision;
use crate::shared::Shared;

/// Path of configuration requests.
const CONFIG_PATH: &str = "/peer/v1/config";

const REPLY_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of peers queried in one attempt.
const MAX_PEERS: usize = 3;

/// Queries a few entries in turn until one returns a newer revision.
pub(super) async fn fetch_from_peers(shared: &Shared) {
    for peer in shared.next_peers(MAX_PEERS) {
        if fetch_from_peer(shared, &peer).await {
            return;
        }
    }
}

async fn fetch_from_peer(shared: &Shared, peer: &str) -> bool {
    let from = match shared.config.revision() {
        0 => None,
        _ => Some(shared.config.next_offset()),
    };
    let request = ConfigCall { from };
    let reply = match post(
        &shared.entry_client,
        peer,
        CONFIG_PATH,
        &request,
        REPLY_TIMEOUT,
    )
    .await
    {
        Ok(reply) => reply,
        Err(e) => {
            record_unreachable(shared, peer, &e);
            return false;
        }
    };
    if shared.unreachable_peers.borrow_mut().remove(peer) {
        shared.log.emit(&events::PEER_UP, &[field("peer", peer)]);
    }
    apply_reply(shared, peer, reply)
}

fn record_unreachable(shared: &Shared, peer: &str, error: &NetError) {
    if !shared
        .unreachable_peers
        .borrow_mut()
        .insert(peer.to_owned())
    {
        return;
    }
    let fields = [
        field("peer", peer),
        field("step", "config"),
        field("error", error),
    ];
    shared.log.emit(&events::PEER_DOWN, &fields);
}

fn apply_reply(shared: &Shared, peer: &str, reply: ConfigReply) -> bool {
    let before = shared.config.revision();
    match reply {
        ConfigReply::NotReady => {}
        ConfigReply::Records(records) => {
            // A gap ends the batch. The next request starts from the offset reached.
            let _ = records.iter().try_for_each(|r| {
                let applied = shared.config.apply(r, None);
                applied.map(drop)
            });
        }
        ConfigReply::Snapshot(bytes) => {
            if let Err(e) = shared.config.adopt_snapshot(&bytes) {
                let fields = [field("peer", peer), field("error", &e)];
                shared.log.emit(&events::PEER_BAD, &fields);
            }
        }
    }
    let newer = shared.config.revision() > before;
    if newer {
        on_new_revision(shared, "peer");
    }
    newer
}

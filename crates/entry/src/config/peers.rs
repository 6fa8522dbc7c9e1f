//! The configuration from other entries, while the log does not answer.

use std::time::Duration;

use pumicecleat_net::{NetError, post};
use pumicecleat_ops::{events, field};
use pumicecleat_types::{ConfigAsk, ConfigReply};

use super::follow::in_force;
use crate::shared::Shared;

/// Path of the exchange.
const PATH: &str = "/peer/v1/config";

/// Time for one peer to answer.
const SPAN: Duration = Duration::from_secs(2);

/// Peers asked at a time.
const ASKED: usize = 3;

/// Asks a few entries in turn until one has something newer.
pub(super) async fn ask(shared: &Shared) {
    for peer in shared.next_peers(ASKED) {
        if ask_one(shared, &peer).await {
            return;
        }
    }
}

async fn ask_one(shared: &Shared, peer: &str) -> bool {
    let from = match shared.config.revision() {
        0 => None,
        _ => Some(shared.config.next()),
    };
    let ask = ConfigAsk { from };
    let reply = match post(&shared.entry_client, peer, PATH, &ask, SPAN).await {
        Ok(reply) => reply,
        Err(e) => {
            note_down(shared, peer, &e);
            return false;
        }
    };
    if shared.unreachable_peers.borrow_mut().remove(peer) {
        shared.log.emit(&events::PEER_UP, &[field("peer", peer)]);
    }
    take(shared, peer, reply)
}

fn note_down(shared: &Shared, peer: &str, error: &NetError) {
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

fn take(shared: &Shared, peer: &str, reply: ConfigReply) -> bool {
    let before = shared.config.revision();
    match reply {
        ConfigReply::NotReady => {}
        ConfigReply::Records(records) => {
            // A gap ends the batch; the next ask starts from what is wanted then.
            let _ = records.iter().try_for_each(|r| {
                let applied = shared.config.apply(r, None);
                applied.map(drop)
            });
        }
        ConfigReply::Snapshot(bytes) => {
            if let Err(e) = shared.config.adopt(&bytes) {
                let fields = [field("peer", peer), field("error", &e)];
                shared.log.emit(&events::PEER_BAD, &fields);
            }
        }
    }
    let newer = shared.config.revision() > before;
    if newer {
        in_force(shared, "peer");
    }
    newer
}

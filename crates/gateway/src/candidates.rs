//! Engines that suit a request best, as proposed by the relay of this data centre.

use std::time::Duration;

use pumicecleat_net::{NetError, SHORT_ANSWER, post_ext};
use pumicecleat_ops::{events, field};
use pumicecleat_types::{CandidatesCall, CandidatesReply};

use crate::shared::Shared;

/// Path of the exchange.
const CANDIDATES_PATH: &str = "/peer/v1/candidates";

/// Timeout of an exchange. A healthy agent in the same data centre responds within a few milliseconds.
const CANDIDATES_TIMEOUT: Duration = Duration::from_millis(150);

/// Asks the relay for the engines that suit a request best, and takes in what it tells of them. Returns their
/// instances, or `None` if no relay proposes any.
pub(crate) async fn fetch_candidates(
    shared: &Shared,
    call: &CandidatesCall,
) -> Option<Vec<String>> {
    let relay = shared.relay.get()?;
    let sent_at = shared.timer.now();
    let peer = relay.to_string();
    let client = &shared.agent_client;
    let result: Result<CandidatesReply, NetError> = post_ext(
        client,
        &peer,
        CANDIDATES_PATH,
        call,
        CANDIDATES_TIMEOUT,
        SHORT_ANSWER,
    )
    .await;
    let now = shared.timer.now();
    let rows = match result {
        Ok(reply) => reply.rows.unwrap_or_default(),
        Err(e) => {
            shared.meters.count_proposal("lost");
            // The next view finds a relay that answers.
            shared.relay.set(None);
            let fields = [
                field("relay", peer.as_str()),
                field("centre", shared.centre.as_str()),
                field("error", &e),
            ];
            shared.log.emit(&events::RELAY_LOST, &fields);
            return None;
        }
    };
    let round_trip = now.since(sent_at);
    let mut instances = Vec::with_capacity(rows.len());
    for mut row in rows {
        // The age includes the whole round trip, so that figures never appear newer than they are.
        row.age_ms += round_trip.0;
        let instance = row.instance.clone();
        shared.table.with(&instance, |r| r.apply_row(row, now));
        instances.push(instance);
    }
    let outcome = if instances.is_empty() {
        "none"
    } else {
        "proposed"
    };
    shared.meters.count_proposal(outcome);
    (!instances.is_empty()).then_some(instances)
}

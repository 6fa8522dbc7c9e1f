//! Exchanges with the agent that acts as relay if there are many engines.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use pumicecleat_catalog::Upstream;
use pumicecleat_net::{NetError, post_ext};
use pumicecleat_ops::{events, field};
use pumicecleat_policy::{RelayPick, RelaySelector, members_digest};
use pumicecleat_types::{MAX_VIEW_BYTES, Member, Millis, ViewCall, ViewReply, Viewer};

use crate::agents::engines;
use crate::shared::Shared;
use crate::suspects;

/// Path of a view.
const VIEW_PATH: &str = "/peer/v1/view";

/// Interval between views. News of suspects and of the log's streams are late by as much.
const VIEW_INTERVAL: Duration = Duration::from_millis(200);

/// Timeout of a view. A healthy agent responds within a few milliseconds.
const VIEW_TIMEOUT: Duration = Duration::from_millis(400);

/// Delay after a failed view, before the next agent is tried.
const RETRY_DELAY: Duration = Duration::from_millis(10);

/// Requests views while there are many engines; never returns.
pub(crate) async fn poll_views(shared: Rc<Shared>) {
    let mut poller = ViewPoller {
        shared: Rc::clone(&shared),
        selector: RelaySelector::default(),
        last_relay: 0,
    };
    loop {
        let members = members(&shared);
        let uses_relay = RelaySelector::is_needed(members.len());
        let delay = if uses_relay && !poller.poll(&members).await {
            RETRY_DELAY
        } else {
            VIEW_INTERVAL
        };
        shared.timer.sleep(delay).await;
    }
}

struct ViewPoller {
    shared: Rc<Shared>,
    selector: RelaySelector,
    /// Key of the relay that was selected last.
    last_relay: u64,
}

impl ViewPoller {
    /// Requests one view from the relay; returns whether it succeeded.
    async fn poll(&mut self, members: &[Member]) -> bool {
        let now = self.shared.timer.now();
        let digest = members_digest(members);
        let is_near = |m: &Member| m.centre == self.shared.centre;
        let Some(pick) = self.selector.pick(members, digest, is_near, now) else {
            return false;
        };
        if std::mem::replace(&mut self.last_relay, pick.key) != pick.key {
            log_chosen(&self.shared, members, pick);
        }
        request_view(&self.shared, &mut self.selector, members, digest, pick).await
    }
}

fn members(shared: &Shared) -> Vec<Member> {
    let catalog = shared.catalog.borrow();
    let member = |u: &Upstream| Member {
        side: SocketAddr::new(u.address.ip(), shared.agent_port),
        instance: u.instance.clone(),
        centre: u.centre.clone(),
    };
    engines(&catalog).map(member).collect()
}

/// Requests one view from `pick`; returns whether it succeeded.
async fn request_view(
    shared: &Shared,
    selector: &mut RelaySelector,
    members: &[Member],
    digest: u64,
    pick: RelayPick,
) -> bool {
    let sent_at = shared.timer.now();
    let side = members[pick.index].side;
    let suspects = suspects::outgoing_news(shared, side);
    let call = ViewCall {
        caller: shared.vm.clone(),
        viewer: Viewer::Entry,
        marks: shared.marks.to_message(sent_at),
        digest: 0,
        members: None,
        seen: pick.seen,
        suspects: suspects.news,
        read_to: shared.marks.read_to(),
    };
    let peer = side.to_string();
    let result: Result<ViewReply, NetError> = post_ext(
        &shared.agent_client,
        &peer,
        VIEW_PATH,
        &call,
        VIEW_TIMEOUT,
        MAX_VIEW_BYTES,
    )
    .await;
    let now = shared.timer.now();
    match result {
        Ok(reply) => {
            selector.record_reply(pick.key, digest, &reply);
            let follows = reply.streams.is_some();
            shared.relay.set(follows.then_some(side));
            suspects::apply_reply(shared, side, suspects.sent_up_to, &reply.suspects);
            apply_view(shared, reply, sent_at, now);
            true
        }
        Err(e) => {
            shared.relay.set(None);
            selector.record_failure(pick.key, now);
            let fields = [
                field("relay", peer.as_str()),
                field("centre", members[pick.index].centre.as_str()),
                field("error", &e),
            ];
            shared.log.emit(&events::RELAY_LOST, &fields);
            false
        }
    }
}

fn apply_view(shared: &Shared, reply: ViewReply, sent_at: Millis, now: Millis) {
    if let Some(streams) = reply.streams {
        shared.marks.receive(streams, sent_at);
    }
    shared.marks.merge(&reply.marks, now);
    shared.record_gateways(reply.entries, now);
}

fn log_chosen(shared: &Shared, members: &[Member], pick: RelayPick) {
    let relay = members[pick.index].side.to_string();
    let fields = [
        field("relay", relay.as_str()),
        field("engines", members.len()),
    ];
    shared.log.emit(&events::RELAY_CHOSEN, &fields);
}

//! Figures of all engines, collected by one agent as relay if there are many engines.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use pumicecleat_catalog::Upstream;
use pumicecleat_net::{NetError, post};
use pumicecleat_ops::{events, field};
use pumicecleat_policy::{RelayPick, RelaySelector, members_digest};
use pumicecleat_types::{Member, Millis, ViewCall, ViewReply, Viewer};

use crate::shared::Shared;
use crate::side::engines;
use crate::suspects;

/// Path of a view.
const VIEW_PATH: &str = "/peer/v1/view";

/// Interval between views. Figures older than the time of a few prompts lead to poor routing.
const VIEW_PAUSE: Duration = Duration::from_millis(200);

/// Timeout of a view. A healthy agent responds within a few milliseconds.
const VIEW_SPAN: Duration = Duration::from_millis(400);

/// Delay after a failed view, before the next agent is tried.
const RETRY_PAUSE: Duration = Duration::from_millis(10);

/// Requests views while there are many engines; never returns.
pub(crate) async fn watch(shared: Rc<Shared>) {
    let mut watch = Watch {
        shared: Rc::clone(&shared),
        link: RelaySelector::default(),
        last: 0,
    };
    loop {
        let members = members(&shared);
        let relayed = RelaySelector::is_needed(members.len());
        let pause = if relayed && !watch.step(&members).await {
            RETRY_PAUSE
        } else {
            VIEW_PAUSE
        };
        shared.timer.sleep(pause).await;
    }
}

struct Watch {
    shared: Rc<Shared>,
    link: RelaySelector,
    /// Key of the relay that was selected last.
    last: u64,
}

impl Watch {
    /// Requests one view from the relay; returns whether it succeeded.
    async fn step(&mut self, members: &[Member]) -> bool {
        let now = self.shared.timer.now();
        let digest = members_digest(members);
        let near = |m: &Member| m.centre == self.shared.centre;
        let Some(pick) = self.link.pick(members, digest, near, now) else {
            return false;
        };
        if std::mem::replace(&mut self.last, pick.key) != pick.key {
            tell_chosen(&self.shared, members, pick);
        }
        look(&self.shared, &mut self.link, members, digest, pick).await
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
async fn look(
    shared: &Shared,
    link: &mut RelaySelector,
    members: &[Member],
    digest: u64,
    pick: RelayPick,
) -> bool {
    let sent = shared.timer.now();
    let side = members[pick.index].side;
    let suspects = suspects::tell(shared, side);
    let call = ViewCall {
        caller: shared.vm.clone(),
        viewer: Viewer::Entry,
        marks: shared.marks.to_message(sent),
        digest,
        members: pick.send_members.then(|| members.to_vec()),
        seen: pick.seen,
        suspects: suspects.news,
    };
    let peer = side.to_string();
    let result: Result<ViewReply, NetError> =
        post(&shared.agents, &peer, VIEW_PATH, &call, VIEW_SPAN).await;
    let now = shared.timer.now();
    match result {
        Ok(reply) => {
            link.record_reply(pick.key, digest, &reply);
            let known = !reply.unknown;
            suspects::hear(shared, side, suspects.sent_up_to, &reply.suspects);
            take(shared, reply, sent, now);
            known
        }
        Err(e) => {
            link.record_failure(pick.key, now);
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

fn take(shared: &Shared, reply: ViewReply, sent: Millis, now: Millis) {
    shared.marks.merge(&reply.marks, now);
    shared.gateways.borrow_mut().told(reply.entries, now);
    let way = now.since(sent);
    for mut row in reply.rows {
        // The age includes the whole round trip, so that figures never appear newer than they are.
        row.age_ms += way.0;
        let instance = row.instance.clone();
        shared.table.with(&instance, |r| r.take_row(row, now));
    }
}

fn tell_chosen(shared: &Shared, members: &[Member], pick: RelayPick) {
    let relay = members[pick.index].side.to_string();
    let fields = [
        field("relay", relay.as_str()),
        field("engines", members.len()),
    ];
    shared.log.emit(&events::RELAY_CHOSEN, &fields);
}

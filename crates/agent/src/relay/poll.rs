//! Exchanges by which a relay collects figures.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use pumicecleat_net::{NetError, SHORT_ANSWER, post_ext};
use pumicecleat_ops::{events, field};
use pumicecleat_types::{
    ChangeCursor, FiguresCall, FiguresReply, MAX_VIEW_BYTES, Member, Millis, SuspectNews, ViewCall,
    ViewReply, Viewer,
};

use super::candidates::listed_members;
use super::state::CentreQuery;
use super::{FIGURES_PATH, VIEW_PATH, streams};
use crate::shared::Shared;

/// Interval between checks for exchanges that are due.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Interval at which the engines to poll are taken from the list.
const LIST_INTERVAL: Millis = Millis(200);

/// Timeout of an exchange. A healthy agent answers within a few milliseconds.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(400);

/// Collects figures while views are requested. Never returns.
pub(crate) async fn run_relay(shared: Rc<Shared>) {
    let mut listed_at = Millis(0);
    loop {
        let now = shared.timer.now();
        if shared.relay.borrow().is_idle(now) {
            shared.view_requested.notified().await;
        }
        if now.since(listed_at) >= LIST_INTERVAL {
            listed_at = now;
            let members = listed_members(&shared);
            shared.relay.borrow_mut().set_listed(members);
        }
        let due = shared
            .relay
            .borrow_mut()
            .start_due_exchanges(shared.timer.now());
        for (member, known_digest) in due.agents {
            let shared = Rc::clone(&shared);
            monoio::spawn(async move { poll_agent(&shared, member, known_digest).await });
        }
        for query in due.centre_queries {
            let shared = Rc::clone(&shared);
            monoio::spawn(async move { query_centre(&shared, query).await });
        }
        shared.timer.sleep(CHECK_INTERVAL).await;
    }
}

async fn poll_agent(shared: &Shared, member: Member, known_digest: u64) {
    let sent_at = shared.timer.now();
    let call = FiguresCall {
        instance: member.instance.clone(),
        cached_digest: known_digest,
        marks: shared.marks.to_message(sent_at),
    };
    let peer = member.side.to_string();
    let result: Result<FiguresReply, NetError> = post_ext(
        &shared.agent_client,
        &peer,
        FIGURES_PATH,
        &call,
        EXCHANGE_TIMEOUT,
        SHORT_ANSWER,
    )
    .await;
    let now = shared.timer.now();
    let instance = member.instance.as_str();
    let mut state = shared.relay.borrow_mut();
    match result {
        Ok(reply) => {
            shared.marks.merge(&reply.marks, now);
            if let Some(since) = state.record_reply(instance, reply, sent_at, now) {
                let silent_ms = field("silent_ms", now.since(since).0);
                let fields = [field("side", instance), silent_ms];
                shared.log.emit(&events::SIDE_BACK, &fields);
            }
        }
        Err(e) => {
            if state.record_failure(instance, e.is_refused(), now) {
                let fields = [field("side", instance), field("error", &e)];
                shared.log.emit(&events::SIDE_LOST, &fields);
            }
        }
    }
}

async fn query_centre(shared: &Shared, query: CentreQuery) {
    let sent_at = shared.timer.now();
    let relay = query.members[query.pick.index].side;
    let outgoing = {
        let table = shared.suspects.table.borrow();
        shared
            .suspects
            .sync
            .borrow()
            .outgoing_news(relay, &table, sent_at)
    };
    let call = ViewCall {
        caller: shared.vm.clone(),
        viewer: Viewer::Relay,
        marks: shared.marks.to_message(sent_at),
        digest: query.digest,
        members: query.pick.send_members.then(|| query.members.clone()),
        seen: query.pick.seen,
        suspects: outgoing.news,
        read_to: streams::read_to(shared),
    };
    let peer = relay.to_string();
    let result: Result<ViewReply, NetError> = post_ext(
        &shared.agent_client,
        &peer,
        VIEW_PATH,
        &call,
        EXCHANGE_TIMEOUT,
        MAX_VIEW_BYTES,
    )
    .await;
    let now = shared.timer.now();
    let mut state = shared.relay.borrow_mut();
    match result {
        Ok(mut reply) => {
            if let Some(streams) = reply.streams.take() {
                streams::receive(shared, streams, sent_at);
            }
            shared.marks.merge(&reply.marks, now);
            apply_suspects(shared, relay, outgoing.sent_up_to, &reply.suspects);
            state.record_centre_reply(&query, reply, sent_at, now);
        }
        Err(e) => {
            let fields = [
                field("relay", peer.as_str()),
                field("centre", query.centre.as_str()),
                field("error", &e),
            ];
            shared.log.emit(&events::RELAY_LOST, &fields);
            state.record_centre_failure(&query, now);
        }
    }
}

fn apply_suspects(
    shared: &Shared,
    relay: SocketAddr,
    sent_up_to: ChangeCursor,
    news: &SuspectNews,
) {
    let now = shared.timer.now();
    let mut table = shared.suspects.table.borrow_mut();
    let mut sync = shared.suspects.sync.borrow_mut();
    sync.handle_reply(relay, sent_up_to, news, &mut table, now);
}

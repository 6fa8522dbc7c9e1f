//! The exchanges by which a relay gathers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use pumicecleat_net::{NetError, post};
use pumicecleat_ops::{events, field};
use pumicecleat_types::{
    FiguresCall, FiguresReply, Member, Seen, SuspectNews, ViewCall, ViewReply, Viewer,
};

use super::board::CentreAsk;
use super::{FIGURES_PATH, VIEW_PATH};
use crate::shared::Shared;

/// Pause between two looks at what is due.
const LOOK: Duration = Duration::from_millis(25);

/// Time for an exchange. A sound agent answers in a few milliseconds.
const SPAN: Duration = Duration::from_millis(400);

/// Gathers while somebody asks, for good.
pub(crate) async fn gather(shared: Rc<Shared>) {
    loop {
        let now = shared.timer.now();
        if shared.board.borrow().is_idle(now) {
            shared.viewed.rung().await;
        }
        let due = shared.board.borrow_mut().due(shared.timer.now());
        for (member, kept) in due.sides {
            let shared = Rc::clone(&shared);
            monoio::spawn(async move { poll(&shared, member, kept).await });
        }
        for ask in due.centres {
            let shared = Rc::clone(&shared);
            monoio::spawn(async move { ask_centre(&shared, ask).await });
        }
        shared.timer.sleep(LOOK).await;
    }
}

async fn poll(shared: &Shared, member: Member, kept: u64) {
    let sent = shared.timer.now();
    let call = FiguresCall {
        instance: member.instance.clone(),
        kept,
        marks: shared.marks.to_message(sent),
    };
    let peer = member.side.to_string();
    let result: Result<FiguresReply, NetError> =
        post(&shared.peers, &peer, FIGURES_PATH, &call, SPAN).await;
    let now = shared.timer.now();
    let instance = member.instance.as_str();
    let mut board = shared.board.borrow_mut();
    match result {
        Ok(reply) => {
            shared.marks.merge(&reply.marks, now);
            if let Some(since) = board.heard(instance, reply, sent, now) {
                let silent = field("silent_ms", now.since(since).0);
                let fields = [field("side", instance), silent];
                shared.log.emit(&events::SIDE_BACK, &fields);
            }
        }
        Err(e) => {
            if board.lost(instance, e.is_refused(), now) {
                let fields = [field("side", instance), field("error", &e)];
                shared.log.emit(&events::SIDE_LOST, &fields);
            }
        }
    }
}

async fn ask_centre(shared: &Shared, ask: CentreAsk) {
    let sent = shared.timer.now();
    let relay = ask.members[ask.pick.index].side;
    let suspects = {
        let known = shared.watch.suspects.borrow();
        shared
            .watch
            .links
            .borrow()
            .outgoing_news(relay, &known, sent)
    };
    let call = ViewCall {
        caller: shared.vm.clone(),
        viewer: Viewer::Relay,
        marks: shared.marks.to_message(sent),
        digest: ask.digest,
        members: ask.pick.send_members.then(|| ask.members.clone()),
        seen: ask.pick.seen,
        suspects: suspects.news,
    };
    let peer = relay.to_string();
    let result: Result<ViewReply, NetError> =
        post(&shared.peers, &peer, VIEW_PATH, &call, SPAN).await;
    let now = shared.timer.now();
    let mut board = shared.board.borrow_mut();
    match result {
        Ok(reply) => {
            shared.marks.merge(&reply.marks, now);
            hear_suspects(shared, relay, suspects.sent_up_to, &reply.suspects);
            board.heard_centre(&ask, reply, sent, now);
        }
        Err(e) => {
            let fields = [
                field("relay", peer.as_str()),
                field("centre", ask.centre.as_str()),
                field("error", &e),
            ];
            shared.log.emit(&events::RELAY_LOST, &fields);
            board.lost_centre(&ask, now);
        }
    }
}

fn hear_suspects(shared: &Shared, relay: SocketAddr, told: Seen, news: &SuspectNews) {
    let now = shared.timer.now();
    let mut known = shared.watch.suspects.borrow_mut();
    let mut links = shared.watch.links.borrow_mut();
    links.handle_reply(relay, told, news, &mut known, now);
}

//! Follows the streams of the log on behalf of gateways.
//!
//! The catalog is the relay's own: it starts when gateways request views, and ends some time after the last view. The
//! agent itself reads the operators' records rarely and the list not at all.

use std::rc::Rc;
use std::time::Duration;

use futures_util::future::select;
use futures_util::join;
use pumicecleat_catalog::{
    Applied, CatalogListener, FollowContext, FollowSettings, FollowSpans, LeaveBudget, Marks,
    Topic, expire_lapsed, follow,
};
use pumicecleat_types::{Millis, ReadPositions, StreamsReply, ViewCall, Viewer};

use crate::shared::Shared;

/// Interval between checks whether gateways still request views.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Follows the streams while gateways request views. Never returns.
pub(crate) async fn follow_for_gateways(
    shared: Rc<Shared>,
    agent_context: FollowContext,
    spans: FollowSpans,
) {
    loop {
        shared.streams_requested.notified().await;
        let max_read_interval = LeaveBudget::new(spans.leave).max_read_interval;
        let marks = Rc::new(Marks::new_ext(max_read_interval));
        let context = FollowContext {
            catalog: Rc::default(),
            listener: Rc::new(RelayListener {
                shared: Rc::clone(&shared),
            }),
            marks: Rc::clone(&marks),
            confirmations: Rc::default(),
            ..agent_context.clone()
        };
        shared.stream_marks.replace(Some(marks));
        shared
            .stream_catalog
            .replace(Some(Rc::clone(&context.catalog)));
        let seed = pumicecleat_policy::upstream_key(&shared.vm);
        let followed = |topic| {
            let settings = FollowSettings::of_relay(&spans, topic, seed);
            follow(topic, context.clone(), settings)
        };
        let all = async {
            join!(
                followed(Topic::Operators),
                followed(Topic::Upstreams),
                expire_lapsed(context.clone())
            )
        };
        select(Box::pin(all), Box::pin(wait_until_unused(&shared))).await;
        shared.stream_marks.take();
        shared.stream_catalog.take();
    }
}

async fn wait_until_unused(shared: &Shared) {
    loop {
        shared.timer.sleep(CHECK_INTERVAL).await;
        let now = shared.timer.now();
        if !shared.relay.borrow().serves_gateways(now) {
            return;
        }
    }
}

/// Returns what a process that requests a view has not read of the streams; `None` while they are not followed.
pub(super) fn answer(shared: &Shared, call: &ViewCall, now: Millis) -> Option<StreamsReply> {
    let marks = shared.stream_marks.borrow();
    let Some(marks) = marks.as_ref() else {
        if call.viewer == Viewer::Entry {
            shared.streams_requested.notify();
        }
        return None;
    };
    marks.merge(&shared.marks.to_message(now), now);
    shared.marks.merge(&marks.to_message(now), now);
    let has_read = marks.read_to() != ReadPositions::default();
    has_read.then(|| marks.to_streams_reply(call.read_to, now))
}

/// Positions up to which this relay has read the streams.
pub(super) fn read_to(shared: &Shared) -> ReadPositions {
    let marks = shared.stream_marks.borrow();
    marks.as_ref().map(|m| m.read_to()).unwrap_or_default()
}

/// Receives what the relay of another data centre has read of the streams.
pub(super) fn receive(shared: &Shared, reply: StreamsReply, sent_at: Millis) {
    if let Some(marks) = shared.stream_marks.borrow().as_ref() {
        marks.receive(reply, sent_at);
    }
}

/// Listener of the relay's catalog, which only passes on records.
struct RelayListener {
    shared: Rc<Shared>,
}

impl CatalogListener for RelayListener {
    fn on_applied(&self, _: &Applied) {}

    fn follower_count(&self) -> u32 {
        self.shared.relay.borrow().centre_count()
    }
}

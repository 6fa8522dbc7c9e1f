//! Relay: collects the figures of many engines for gateways.
//!
//! An agent acts as a relay while gateways request views from it. It polls the agents of its own data centre and
//! queries one relay in each other data centre. It proposes engines to gateways, which ask the engines' agents. Wrong or
//! outdated figures can only cause a gateway to choose a less suitable engine.
//!
//! A relay that gateways use also follows the streams of the log and passes their changes on, so that the number of
//! reads does not grow with the number of gateways.

mod candidates;
mod member;
mod poll;
mod state;
mod streams;

use pumicecleat_types::{FiguresCall, FiguresReply, ViewCall, ViewReply};

use crate::shared::Shared;
pub(crate) use candidates::answer_candidates;
pub(crate) use poll::run_relay;
pub(crate) use state::RelayState;
pub(crate) use streams::follow_for_gateways;

/// Path at which gateways and other relays request a view.
pub(crate) const VIEW_PATH: &str = "/peer/v1/view";

/// Path at which gateways request the engines that suit a request.
pub(crate) const CANDIDATES_PATH: &str = "/peer/v1/candidates";

/// Path at which a relay requests the figures of one engine.
pub(crate) const FIGURES_PATH: &str = "/peer/v1/figures";

/// Answers a request for a view.
pub(crate) fn answer_view(shared: &Shared, call: ViewCall) -> ViewReply {
    let now = shared.timer.now();
    shared.marks.merge(&call.marks, now);
    let streams = streams::answer(shared, &call, now);
    let suspects = shared.suspects.exchange_news(&call.suspects, now);
    let figures = shared.figures();
    let cached_adapters = shared.scheduler.borrow().cached_adapters();
    let mut state = shared.relay.borrow_mut();
    state.update_own(&figures, cached_adapters, now);
    let was_idle = state.is_idle(now);
    let mut reply = state.reply(call, now);
    if was_idle {
        shared.view_requested.notify();
    }
    reply.marks = shared.marks.to_message(now);
    reply.suspects = suspects;
    reply.streams = streams;
    reply
}

/// Answers a request for the figures of the agent's engine.
pub(crate) fn answer_figures(shared: &Shared, call: &FiguresCall) -> FiguresReply {
    let now = shared.timer.now();
    shared.marks.merge(&call.marks, now);
    // If the agent has a different instance for its engine, this triggers a lookup.
    shared.check_instance(&call.instance);
    FiguresReply {
        figures: shared.figures(),
        cached_adapters: shared.cached_adapters(call.cached_digest),
        marks: shared.marks.to_message(now),
    }
}

//! The figures of many engines, gathered for entries.
//!
//! An agent becomes a relay when entries ask it for a view, and is one for as long as they do. It asks
//! the agents of its own data centre itself, and one relay in each other data centre for what is there.
//! It decides nothing by what it hears and passes it on with its age: a wrong or old word costs an entry
//! a worse choice, never more.

mod board;
mod gather;

use pumicecleat_types::{FiguresCall, FiguresReply, ViewCall, ViewReply};

use crate::shared::Shared;
pub(crate) use board::Board;
pub(crate) use gather::gather;

/// Path at which entries and other relays ask for a view.
pub(crate) const VIEW_PATH: &str = "/peer/v1/view";

/// Path at which a relay asks for one engine's figures.
pub(crate) const FIGURES_PATH: &str = "/peer/v1/figures";

/// Answers an ask for a view.
pub(crate) fn view(shared: &Shared, call: ViewCall) -> ViewReply {
    let now = shared.timer.now();
    shared.marks.hear(&call.marks, now);
    let suspects = shared.watch.exchange(&call.suspects, now);
    let figures = shared.figures();
    let kept = shared.turns.borrow().cached_adapters();
    let mut board = shared.board.borrow_mut();
    board.hear_own(&figures, kept, now);
    let idle = board.is_idle(now);
    let mut reply = board.reply(call, now);
    if idle {
        shared.viewed.ring();
    }
    reply.marks = shared.marks.known(now);
    reply.suspects = suspects;
    reply
}

/// Answers an ask for the own engine's figures.
pub(crate) fn figures(shared: &Shared, call: &FiguresCall) -> FiguresReply {
    let now = shared.timer.now();
    shared.marks.hear(&call.marks, now);
    // The instance named tells an agent that took another for its engine's.
    shared.is_meant(&call.instance);
    FiguresReply {
        figures: shared.figures(),
        kept: shared.kept(call.kept),
        marks: shared.marks.known(now),
    }
}

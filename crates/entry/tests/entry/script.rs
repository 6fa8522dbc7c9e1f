//! What a fake side does with an attempt.

use std::time::Duration;

use pumicecleat_types::{Ran, Reason};

/// One thing that a fake side does; after the last, its body ends.
#[derive(Clone, Debug)]
pub(crate) enum Act {
    /// Start of an answer, as asked.
    Head,
    /// Start of an answer that names something else.
    FalseHead(False),
    /// Start of an answer with a status.
    Status(u16),
    /// Events of a stream, one for each text; with the role first.
    Role,
    /// Event with the role and a text.
    RoleText(&'static str),
    /// Event with a text.
    Text(&'static str),
    /// Event with a text, of another model.
    FalseText(&'static str),
    /// Event with a text and an id of another request.
    CrossedText(&'static str),
    /// Event with the finish reason.
    Finish,
    /// Event with the usage of this attempt: prompt and answer.
    Usage(u64, u64),
    /// `[DONE]`.
    Done,
    /// Whole body of a chat answer.
    Whole(&'static str),
    /// The same, with what it tells of its prompt's cached tokens.
    Cached(&'static str, &'static str),
    /// Bytes as they are.
    Bytes(&'static str),
    /// Proper end.
    End,
    /// Not run.
    Refuse(Reason),
    /// Can't be finished.
    Broken(Ran),
    /// Connection closes.
    Cut,
    /// Nothing for a while.
    Pause(Duration),
    /// Nothing, forever.
    Hang,
    /// Not even the head of the HTTP answer.
    NoHead,
}

/// What a false head names wrongly.
#[derive(Clone, Copy, Debug)]
pub(crate) enum False {
    Request,
    Attempt,
    Model,
    NoModel,
}

/// A stream of texts, whole.
pub(crate) fn stream(texts: &[&'static str]) -> Vec<Act> {
    let mut acts = vec![Act::Head, Act::Role];
    acts.extend(texts.iter().map(|t| Act::Text(t)));
    acts.extend([Act::Finish, Act::Done, Act::End]);
    acts
}

/// A whole answer.
pub(crate) fn whole(text: &'static str) -> Vec<Act> {
    vec![Act::Head, Act::Whole(text), Act::End]
}

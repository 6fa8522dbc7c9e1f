//! What a fake side does with an attempt.

use std::time::Duration;

use pumicecleat_types::{Ran, Reason};

/// One thing that a fake side does; after the last, its body ends.
#[derive(Clone, Debug)]
pub(crate) enum Action {
    /// Start of an answer, as asked.
    Head,
    /// Start of an answer that names something else.
    MismatchedHead(Mismatch),
    /// Start of an answer with a status.
    Status(u16),
    /// Events of a stream, one for each text; with the role first.
    Role,
    /// Event with the role and a text.
    RoleText(&'static str),
    /// Event with a text.
    Text(&'static str),
    /// Event with a text, of another model.
    OtherModelText(&'static str),
    /// Event with a text and an id of another request.
    OtherRequestText(&'static str),
    /// Event with the finish reason.
    Finish,
    /// Event with the usage of this attempt: prompt and answer.
    Usage(u64, u64),
    /// `[DONE]`.
    Done,
    /// Whole body of a chat answer.
    Completion(&'static str),
    /// The same, with what it tells of its prompt's cached tokens.
    CompletionWithCached(&'static str, &'static str),
    /// Bytes as they are.
    Bytes(&'static str),
    /// Proper end.
    End,
    /// Not run.
    Refuse(Reason),
    /// Can't be finished.
    Broken(Ran),
    /// Connection closes.
    Disconnect,
    /// Nothing for a while.
    Pause(Duration),
    /// Nothing, forever.
    Hang,
    /// Not even the head of the HTTP answer.
    NoHead,
}

/// What a false head names wrongly.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Mismatch {
    Request,
    Attempt,
    Model,
    NoModel,
}

/// A stream of texts, whole.
pub(crate) fn stream_script(texts: &[&'static str]) -> Vec<Action> {
    let mut actions = vec![Action::Head, Action::Role];
    actions.extend(texts.iter().map(|t| Action::Text(t)));
    actions.extend([Action::Finish, Action::Done, Action::End]);
    actions
}

/// A whole answer.
pub(crate) fn completion_script(text: &'static str) -> Vec<Action> {
    vec![Action::Head, Action::Completion(text), Action::End]
}

//! Scripts of fake sides: the frames and faults that answer an attempt.

use std::time::Duration;

use pumicecleat_types::{Ran, Reason};

/// Step of a script. After the last one, the response body ends.
#[derive(Clone, Debug)]
pub(crate) enum Action {
    /// Response head that matches the attempt.
    Head,
    /// Response head with one wrong value.
    MismatchedHead(Mismatch),
    /// Response head with a status.
    Status(u16),
    /// Event with the role and no text.
    Role,
    /// Event with the role and a text.
    RoleText(&'static str),
    /// Event with a text.
    Text(&'static str),
    /// Event with a text that names another model.
    OtherModelText(&'static str),
    /// Event with a text and the id of another request.
    OtherRequestText(&'static str),
    /// Event with the finish reason.
    Finish,
    /// Event with the usage of this attempt: prompt and completion tokens.
    Usage(u64, u64),
    /// `[DONE]` event.
    Done,
    /// Complete body of a chat completion with this text.
    Completion(&'static str),
    /// The same with a usage whose number of cached tokens is this JSON value.
    CompletionWithCached(&'static str, &'static str),
    /// Raw bytes.
    Bytes(&'static str),
    /// Frame that marks the proper end of the response.
    End,
    /// Refusal, which means that the attempt did not run.
    Refuse(Reason),
    /// Frame that says that the response cannot be completed.
    Broken(Ran),
    /// Closes the connection.
    Disconnect,
    /// Sends nothing for this time.
    Pause(Duration),
    /// Sends nothing more and keeps the connection open.
    Hang,
    /// Never sends the head of the HTTP response.
    NoHead,
}

/// The wrong value of a mismatched head.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Mismatch {
    Request,
    Attempt,
    Model,
    NoModel,
}

/// Script of a complete stream with an event for each text.
pub(crate) fn stream_script(texts: &[&'static str]) -> Vec<Action> {
    let mut actions = vec![Action::Head, Action::Role];
    actions.extend(texts.iter().map(|t| Action::Text(t)));
    actions.extend([Action::Finish, Action::Done, Action::End]);
    actions
}

/// Script of a complete response that is not streamed.
pub(crate) fn completion_script(text: &'static str) -> Vec<Action> {
    vec![Action::Head, Action::Completion(text), Action::End]
}

//! From a run's pieces to its answer's bytes.

use std::time::Duration;

use async_channel::Receiver;
use bytes::Bytes;
use futures_util::stream;
use pumicecleat_net::{BodyError, ByteStream, Timer};

use super::answer::{completion, done_event, finish_event, role_event, token_event, usage_event};
use super::piece::{Event, Piece};
use crate::serve::broken_body;

/// Time for what was sent to leave before the connection closes.
const LEAVE_SPAN: Duration = Duration::from_millis(2);

/// Pieces of one answer.
pub(crate) struct Pieces {
    /// First piece, taken ahead of the reply's head.
    pub(crate) first: Option<Piece>,
    /// Further pieces.
    pub(crate) rest: Receiver<Piece>,
    /// The stream ends with its usage.
    pub(crate) usage: bool,
    /// Timer.
    pub(crate) timer: Timer,
    begun: bool,
    ended: bool,
}

impl Pieces {
    /// Pieces after `first`.
    pub(crate) fn new(first: Piece, rest: Receiver<Piece>, usage: bool, timer: &Timer) -> Self {
        Self {
            first: Some(first),
            rest,
            usage,
            timer: timer.clone(),
            begun: false,
            ended: false,
        }
    }

    /// Server-sent events up to `[DONE]`.
    pub(crate) fn into_events(self) -> ByteStream {
        let events = stream::unfold(self, |mut pieces| async move {
            let event = pieces.next_events().await?;
            Some((event, pieces))
        });
        Box::pin(events)
    }

    /// Whole answer, or nothing if the run broke off.
    pub(crate) async fn into_whole(mut self) -> Option<Vec<u8>> {
        let mut text = String::new();
        loop {
            let piece = self.next().await?;
            match piece.event {
                Event::Token(token) => text.push_str(&token),
                Event::End(finish, count) => {
                    return Some(completion(&piece.head, &text, finish, count));
                }
                Event::Cut => return None,
            }
        }
    }

    async fn next(&mut self) -> Option<Piece> {
        match self.first.take() {
            Some(piece) => Some(piece),
            None => self.rest.recv().await.ok(),
        }
    }

    async fn next_events(&mut self) -> Option<Result<Bytes, BodyError>> {
        if self.ended {
            return None;
        }
        let Some(piece) = self.next().await else {
            self.ended = true;
            self.timer.sleep(LEAVE_SPAN).await;
            return Some(Err(broken_body()));
        };
        let events = self.events(&piece)?;
        Some(Ok(events))
    }

    /// Events of a piece; nothing if it ends the stream early.
    fn events(&mut self, piece: &Piece) -> Option<Bytes> {
        let head = &piece.head;
        let mut events = Vec::new();
        if !self.begun {
            self.begun = true;
            events.push(role_event(head));
        }
        match &piece.event {
            Event::Token(token) => events.push(token_event(head, token)),
            Event::End(finish, count) => {
                self.ended = true;
                events.push(finish_event(head, *finish));
                if self.usage {
                    events.push(usage_event(head, *count));
                }
                events.push(done_event());
            }
            Event::Cut => return None,
        }
        Some(joined(events))
    }
}

fn joined(mut events: Vec<Bytes>) -> Bytes {
    match events.len() {
        1 => events.remove(0),
        _ => events.concat().into(),
    }
}

//! Check of a streamed answer, event by event.

use pumicecleat_net::{SseEvent, SseScanner};

use super::fault::{
    AfterDoneSnafu, IdMismatchSnafu, IndexSnafu, NoChoicesSnafu, NoFinishSnafu, NotDoneSnafu,
    TooLongSnafu,
};
use super::raw::{RawChoice, RawResponse, Text, read_response};
use super::{Chunk, ExpectedResponse, ResponseError, ResponseErrorKind, StreamEvent};

/// Data of the event that ends a stream.
const DONE: &[u8] = b"[DONE]";

/// Check over the bytes of one streamed answer, which may be cut anywhere.
#[derive(Debug)]
pub struct StreamCheck {
    scanner: SseScanner,
    peer: String,
    model: String,
    request: Option<String>,
    /// Id of the answer, once an event told it.
    id: Option<String>,
    /// Choices seen, a bit each.
    seen: u64,
    /// Choices with a finish reason, a bit each.
    finished: u64,
    done: bool,
}

impl StreamCheck {
    /// Check of an answer with events of at most `limit` bytes.
    #[must_use]
    pub fn new(expect: ExpectedResponse<'_>, limit: usize) -> Self {
        Self {
            scanner: SseScanner::new(limit),
            peer: expect.peer.to_owned(),
            model: expect.model.to_owned(),
            request: expect.request.map(str::to_owned),
            id: None,
            seen: 0,
            finished: 0,
            done: false,
        }
    }

    /// Adds bytes that arrived.
    pub fn push(&mut self, bytes: &[u8]) {
        self.scanner.push(bytes);
    }

    /// Next event, or `None` until more bytes come. Events without data, such as comments that
    /// keep a connection open, are passed over.
    ///
    /// # Errors
    /// [`ResponseError`] if the answer is wrong; nothing after it can be trusted.
    pub fn scan_event(&mut self) -> Result<Option<StreamEvent>, ResponseError> {
        let result = self.scan();
        result.map_err(|source| self.error(source))
    }

    /// Whether the proper end was seen.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Checks that the stream may end here.
    ///
    /// # Errors
    /// [`ResponseError`] if the answer is not whole.
    pub fn finish(&self) -> Result<(), ResponseError> {
        if self.done {
            return Ok(());
        }
        Err(self.error(NotDoneSnafu.build()))
    }

    fn scan(&mut self) -> Result<Option<StreamEvent>, ResponseErrorKind> {
        loop {
            let event = match self.scanner.scan_event() {
                Ok(Some(event)) => event,
                Ok(None) => return Ok(None),
                Err(e) => return TooLongSnafu { limit: e.limit }.fail(),
            };
            if event.data().is_empty() {
                continue;
            }
            if self.done {
                return AfterDoneSnafu.fail();
            }
            return self.read(event).map(Some);
        }
    }

    fn read(&mut self, event: SseEvent) -> Result<StreamEvent, ResponseErrorKind> {
        if event.data() == DONE {
            self.check_finished()?;
            self.done = true;
            return Ok(StreamEvent::Done { raw: event.raw });
        }
        let answer = read_response(event.data())?;
        self.expect().check(&answer)?;
        check_id(&mut self.id, answer.id())?;
        let mut chunk = read_chunk(&answer);
        for choice in &answer.choices {
            self.count(choice)?;
        }
        drop(answer);
        chunk.raw = event.raw;
        Ok(StreamEvent::Chunk(chunk))
    }

    fn expect(&self) -> ExpectedResponse<'_> {
        ExpectedResponse {
            peer: &self.peer,
            model: &self.model,
            request: self.request.as_deref(),
        }
    }

    fn count(&mut self, choice: &RawChoice<'_>) -> Result<(), ResponseErrorKind> {
        let index = choice.index;
        let Some(bit) = 1_u64.checked_shl(index) else {
            return IndexSnafu { index }.fail();
        };
        self.seen |= bit;
        if choice.finish_reason.is_some() {
            self.finished |= bit;
        }
        Ok(())
    }

    fn check_finished(&self) -> Result<(), ResponseErrorKind> {
        if self.seen == 0 {
            return NoChoicesSnafu.fail();
        }
        let open = self.seen & !self.finished;
        if open == 0 {
            return Ok(());
        }
        let index = open.trailing_zeros();
        NoFinishSnafu { index }.fail()
    }

    fn error(&self, source: ResponseErrorKind) -> ResponseError {
        let peer = self.peer.clone();
        ResponseError { peer, source }
    }
}

/// Accepts the same id in each event.
fn check_id(known: &mut Option<String>, found: &str) -> Result<(), ResponseErrorKind> {
    match known {
        None => *known = Some(found.to_owned()),
        Some(expected) if expected == found => {}
        Some(expected) => {
            let expected = expected.as_str();
            return IdMismatchSnafu { expected, found }.fail();
        }
    }
    Ok(())
}

fn read_chunk(answer: &RawResponse<'_>) -> Chunk {
    let mut chunk = Chunk {
        usage: answer.usage,
        ..Chunk::default()
    };
    for choice in &answer.choices {
        add_choice(&mut chunk, choice);
    }
    chunk
}

fn add_choice(chunk: &mut Chunk, choice: &RawChoice<'_>) {
    if choice.index != 0 {
        chunk.non_text = true;
        return;
    }
    if let Some(delta) = &choice.delta {
        chunk.non_text |= delta.has_non_text();
        if let Some(Text(content)) = &delta.content {
            chunk.content.push_str(content);
        }
    }
    if let Some(Text(finish)) = &choice.finish_reason {
        chunk.finish_reason = Some(finish.to_string());
    }
}

//! Validation of a streamed response, event by event.

use pumicecleat_net::{SseEvent, SseScanner};

use super::error::{
    AfterDoneSnafu, IdMismatchSnafu, IndexSnafu, NoChoicesSnafu, NoFinishSnafu, NotDoneSnafu,
    TooLongSnafu,
};
use super::raw::{RawChoice, RawResponse, Text, read_response};
use super::{Chunk, ExpectedResponse, ResponseError, ResponseErrorKind, StreamEvent};

/// Data of the event that ends a stream.
const DONE: &[u8] = b"[DONE]";

/// Validates one streamed response, whose bytes may arrive in chunks of any size.
#[derive(Debug)]
pub struct StreamCheck {
    scanner: SseScanner,
    peer: String,
    model: String,
    request: Option<String>,
    /// Id of the response, once known from an event.
    id: Option<String>,
    /// Bit set of the choices seen.
    seen_choices: u64,
    /// Bit set of the choices with a finish reason.
    finished_choices: u64,
    done: bool,
}

impl StreamCheck {
    /// Creates a check for a response with events of at most `limit` bytes.
    #[must_use]
    pub fn new(expect: ExpectedResponse<'_>, limit: usize) -> Self {
        Self {
            scanner: SseScanner::new(limit),
            peer: expect.peer.to_owned(),
            model: expect.model.to_owned(),
            request: expect.request.map(str::to_owned),
            id: None,
            seen_choices: 0,
            finished_choices: 0,
            done: false,
        }
    }

    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.scanner.push(bytes);
    }

    /// Next event, or `None` until more bytes arrive. Events without data, such as keep-alive
    /// comments, are skipped.
    ///
    /// # Errors
    /// [`ResponseError`] if the response is invalid. The rest of the stream can't be trusted then.
    pub fn scan_event(&mut self) -> Result<Option<StreamEvent>, ResponseError> {
        let result = self.scan();
        result.map_err(|source| self.error(source))
    }

    /// Whether `[DONE]` was received.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Checks that the stream is complete.
    ///
    /// # Errors
    /// [`ResponseError`] if `[DONE]` was not received.
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
        let response = read_response(event.data())?;
        self.expect().check(&response)?;
        check_id(&mut self.id, response.id())?;
        let mut chunk = read_chunk(&response);
        for choice in &response.choices {
            self.record_choice(choice)?;
        }
        drop(response);
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

    fn record_choice(&mut self, choice: &RawChoice<'_>) -> Result<(), ResponseErrorKind> {
        let index = choice.index;
        let Some(bit) = 1_u64.checked_shl(index) else {
            return IndexSnafu { index }.fail();
        };
        self.seen_choices |= bit;
        if choice.finish_reason.is_some() {
            self.finished_choices |= bit;
        }
        Ok(())
    }

    fn check_finished(&self) -> Result<(), ResponseErrorKind> {
        if self.seen_choices == 0 {
            return NoChoicesSnafu.fail();
        }
        let open = self.seen_choices & !self.finished_choices;
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

/// Checks that all events have the same id.
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

fn read_chunk(response: &RawResponse<'_>) -> Chunk {
    let mut chunk = Chunk {
        usage: response.usage,
        ..Chunk::default()
    };
    for choice in &response.choices {
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

//! Streams of numbered events that another upstream resumes if their upstream fails.
//!
//! Only complete events are forwarded, so that the caller never receives part of one twice. The next upstream
//! receives the ID of the last event that was forwarded and resumes after it; the headers are those of the
//! first response.

use bytes::Bytes;
use futures_util::stream::unfold;
use pumicecleat_net::{Body, BodyError, Reply, Response, SseScanner};
use pumicecleat_types::SoftwareVersion;

use super::binding::Binding;
use super::forward::response_head;
use super::job::Job;
use super::model::{EngineResponse, Progress, resume_elsewhere};
use crate::table::InFlight;

/// Maximum size of an event in bytes. An event with one token takes some dozens of bytes.
const EVENT_LIMIT: usize = 256 * 1024;

/// A stream that another upstream may resume.
struct ResumableStream {
    job: Job,
    progress: Progress,
    response: Response,
    /// Software version of the engine that responds, if it is known for certain.
    software: Option<SoftwareVersion>,
    in_flight: InFlight,
    scanner: SseScanner,
    status: u16,
    /// Whether an event was forwarded.
    begun: bool,
}

/// Forwards a stream event by event, resuming at other upstreams if necessary.
pub(super) fn forward(engine_response: EngineResponse, job: Job, progress: Progress) -> Reply {
    let EngineResponse {
        response,
        software,
        in_flight,
    } = engine_response;
    let mut reply = response_head(&response);
    let stream = ResumableStream {
        job,
        progress,
        status: response.status(),
        response,
        software,
        in_flight,
        scanner: SseScanner::new(EVENT_LIMIT),
        begun: false,
    };
    let chunks = unfold(Some(stream), |stream| async move {
        let mut stream = stream?;
        let chunk = stream.next().await?;
        let state = chunk.is_ok().then_some(stream);
        Some((chunk, state))
    });
    *reply.body_mut() = Body::Stream(Box::pin(chunks));
    reply
}

impl ResumableStream {
    async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        loop {
            match self.take_events() {
                Ok(Some(events)) => {
                    self.mark_begun();
                    return Some(Ok(events));
                }
                Ok(None) => {}
                Err(e) => {
                    self.job.trace.log_passed_on(self.status, Some(&e));
                    return Some(Err(e));
                }
            }
            match self.response.next().await {
                Some(Ok(bytes)) => {
                    self.job.trace.record_progress();
                    self.scanner.push(&bytes);
                }
                None => {
                    self.job.trace.log_passed_on(self.status, None);
                    self.job.trace.record_served();
                    return None;
                }
                Some(Err(e)) => {
                    self.job.trace.record_broken_body(&e);
                    if !self.resume(&e).await {
                        self.job.trace.log_passed_on(self.status, Some(&e));
                        return Some(Err(e));
                    }
                }
            }
        }
    }

    /// Complete events received so far.
    fn take_events(&mut self) -> Result<Option<Bytes>, BodyError> {
        let mut events = Vec::new();
        loop {
            match self.scanner.scan_event() {
                Ok(Some(event)) => {
                    self.job.last_event_id = event.number().or(self.job.last_event_id);
                    events.extend_from_slice(&event.raw);
                }
                Ok(None) => break,
                Err(e) => {
                    let detail = e.to_string();
                    return Err(BodyError::Broken { detail });
                }
            }
        }
        Ok((!events.is_empty()).then(|| Bytes::from(events)))
    }

    /// Resumes the stream at another upstream; returns `false` if there is none.
    async fn resume(&mut self, error: &BodyError) -> bool {
        let error = error.to_string();
        self.job
            .trace
            .log_attempt_lost("read answer", true, true, &error);
        match resume_elsewhere(&mut self.job, &mut self.progress).await {
            Some(engine_response) => {
                self.response = engine_response.response;
                self.software = engine_response.software;
                self.in_flight = engine_response.in_flight;
                self.scanner = SseScanner::new(EVENT_LIMIT);
                true
            }
            None => false,
        }
    }

    /// Binds the stream to the software version that sent its first event.
    fn bind(&mut self) {
        if self.job.binding == Binding::Unbound {
            self.job.binding = Binding::of(self.software.take());
            self.job.record_origin();
        }
    }

    fn mark_begun(&mut self) {
        if !self.begun {
            self.begun = true;
            self.bind();
            self.job.trace.record_first_byte();
        }
        self.in_flight.mark_begun();
    }
}

//! Streams of numbered events that another upstream resumes if their upstream fails.
//!
//! Only complete events are forwarded, so that the caller never receives part of one twice. The next upstream
//! receives the ID of the last event that was forwarded and resumes after it; the headers are those of the
//! first response.

use bytes::Bytes;
use futures_util::stream::unfold;
use pumicecleat_net::{Body, BodyError, Reply, Response, SseScanner};

use super::job::Job;
use super::model::{Progress, go_on};
use super::relay::head;
use crate::table::UnderWay;

/// Maximum size of an event in bytes. An event with one token takes some dozens of bytes.
const EVENT_LIMIT: usize = 256 * 1024;

/// A stream that another upstream may resume.
struct Resuming {
    job: Job,
    progress: Progress,
    response: Response,
    under_way: UnderWay,
    scanner: SseScanner,
    status: u16,
    /// Whether an event was forwarded.
    begun: bool,
}

/// Forwards a stream event by event, resuming at other upstreams if necessary.
pub(super) fn pass(response: Response, job: Job, progress: Progress, under_way: UnderWay) -> Reply {
    let mut reply = head(&response);
    let resuming = Resuming {
        job,
        progress,
        status: response.status(),
        response,
        under_way,
        scanner: SseScanner::new(EVENT_LIMIT),
        begun: false,
    };
    let pieces = unfold(Some(resuming), |resuming| async move {
        let mut resuming = resuming?;
        let piece = resuming.next().await?;
        let rest = piece.is_ok().then_some(resuming);
        Some((piece, rest))
    });
    *reply.body_mut() = Body::Stream(Box::pin(pieces));
    reply
}

impl Resuming {
    async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        loop {
            match self.scan() {
                Ok(Some(events)) => {
                    self.begin();
                    return Some(Ok(events));
                }
                Ok(None) => {}
                Err(e) => {
                    self.job.trail.passed_on(self.status, false);
                    return Some(Err(e));
                }
            }
            match self.response.next().await {
                Some(Ok(bytes)) => self.scanner.push(&bytes),
                None => {
                    let rest = self.scanner.pending().to_vec();
                    self.scanner = SseScanner::new(EVENT_LIMIT);
                    if rest.is_empty() {
                        self.job.trail.passed_on(self.status, true);
                        self.job.trail.served();
                        return None;
                    }
                    return Some(Ok(Bytes::from(rest)));
                }
                Some(Err(e)) => {
                    self.job.trail.broke();
                    if !self.go_on(&e).await {
                        self.job.trail.passed_on(self.status, false);
                        return Some(Err(e));
                    }
                }
            }
        }
    }

    /// Complete events received so far.
    fn scan(&mut self) -> Result<Option<Bytes>, BodyError> {
        let mut events = Vec::new();
        loop {
            match self.scanner.scan_event() {
                Ok(Some(event)) => {
                    self.job.after = event.number().or(self.job.after);
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
    async fn go_on(&mut self, error: &BodyError) -> bool {
        let error = error.to_string();
        self.job.trail.lost("read answer", true, true, &error);
        match go_on(&mut self.job, &mut self.progress).await {
            Some(answered) => {
                self.response = answered.response;
                self.under_way = answered.under_way;
                self.scanner = SseScanner::new(EVENT_LIMIT);
                true
            }
            None => false,
        }
    }

    fn begin(&mut self) {
        if !self.begun {
            self.begun = true;
            self.job.trail.first();
        }
        self.under_way.begun();
    }
}

//! Callers: streams that open over a span, and what each saw.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hdrhistogram::Histogram;
use pumicecleat_net::{Client, ClientOptions, Response, SseScanner, Timer, run};

use super::parts::{KEY, model};
use super::process::{Memory, Processes};

const SPAN: Duration = Duration::from_mins(2);
const EVENT: usize = 1 << 16;
/// Longest time told apart, microseconds.
const LONGEST: u64 = 60_000_000;

/// Streams to open.
pub(super) struct Load {
    pub(super) way: &'static str,
    /// Where streams go, in turn.
    pub(super) peers: Vec<String>,
    /// Adapters asked for, in turn.
    pub(super) adapters: usize,
    pub(super) streams: usize,
    pub(super) tokens: u32,
    pub(super) spread_ms: u64,
    /// Processes whose memory is watched.
    pub(super) watched: Option<Processes>,
}

/// What the streams saw.
pub(super) struct Take {
    /// Time to the first token, microseconds.
    pub(super) first: Histogram<u64>,
    /// Time between tokens, microseconds.
    pub(super) gaps: Histogram<u64>,
    pub(super) events: u64,
    pub(super) whole: usize,
    pub(super) failed: usize,
    pub(super) span: Duration,
    /// Growth of the watched processes while all streams were open.
    pub(super) memory: Option<Memory>,
}

impl Load {
    /// Opens all streams on a loop of their own, and reads each to its end.
    pub(super) fn run(&self) -> Take {
        run(self.all()).expect("a loop starts")
    }

    /// Sees to it that the n-th engine holds the n-th adapter.
    pub(super) fn preload(&self) {
        run(self.load_all()).expect("a loop starts");
    }

    async fn load_all(&self) {
        let client = Client::new_ext(ClientOptions::default(), &Timer::start());
        for (n, peer) in self.peers.iter().enumerate() {
            let body = serde_json::json!({"lora_name": model(n), "lora_path": "a/v1"});
            let request = http::Request::post("/v1/load_lora_adapter")
                .header("content-type", "application/json")
                .body(Bytes::from(body.to_string()))
                .expect("constant parts make a request");
            // One that is loaded already is refused, which is as good.
            let _ = client.send(peer, request, SPAN).await;
        }
    }

    async fn all(&self) -> Take {
        let timer = Timer::start();
        let client = Client::new_ext(ClientOptions::default(), &timer);
        let before = self.watched.map(Processes::memory);
        let start = Instant::now();
        let take = Rc::new(RefCell::new(Take::new()));
        let mut tasks = Vec::new();
        for n in 0..self.streams {
            let at = self.spread_ms * n as u64 / self.streams as u64;
            let stream = Stream {
                client: client.clone(),
                peer: self.peers[n % self.peers.len()].clone(),
                model: model(n % self.adapters),
                tokens: self.tokens,
                take: Rc::clone(&take),
            };
            let timer = timer.clone();
            tasks.push(monoio::spawn(async move {
                timer.sleep(Duration::from_millis(at)).await;
                stream.run().await;
            }));
        }
        timer
            .sleep(Duration::from_millis(self.spread_ms + 500))
            .await;
        let memory = self.watched.map(Processes::memory);
        let growth = memory.zip(before).map(|(now, before)| now.since(before));
        for task in tasks {
            task.await;
        }
        let mut done = take.replace(Take::new());
        done.span = start.elapsed();
        done.memory = growth;
        done
    }
}

impl Take {
    fn new() -> Self {
        let histogram = || Histogram::new_with_max(LONGEST, 3).expect("three digits are allowed");
        Self {
            first: histogram(),
            gaps: histogram(),
            events: 0,
            whole: 0,
            failed: 0,
            span: Duration::ZERO,
            memory: None,
        }
    }
}

struct Stream {
    client: Client,
    peer: String,
    model: String,
    tokens: u32,
    take: Rc<RefCell<Take>>,
}

impl Stream {
    async fn run(&self) {
        let start = Instant::now();
        let whole = match self.client.send(&self.peer, self.request(), SPAN).await {
            Ok(response) if response.status() == 200 => self.read(response, start).await,
            _ => false,
        };
        let mut take = self.take.borrow_mut();
        if whole {
            take.whole += 1;
        } else {
            take.failed += 1;
        }
    }

    fn request(&self) -> http::Request<Bytes> {
        let body = serde_json::json!({
            "model": self.model,
            "stream": true,
            "max_tokens": self.tokens,
            "messages": [{"role": "user", "content": "x"}],
        });
        let request = http::Request::post("/v1/chat/completions")
            .header("authorization", format!("Bearer {KEY}"))
            .header("content-type", "application/json")
            .header("x-deadline-ms", "120000");
        let request = request.body(Bytes::from(body.to_string()));
        request.expect("constant parts make a request")
    }

    /// Reads to the end; `true` if it was proper.
    async fn read(&self, mut response: Response, start: Instant) -> bool {
        let mut scanner = SseScanner::new(EVENT);
        let mut last = None;
        let mut done = false;
        while let Some(piece) = response.next().await {
            let Ok(piece) = piece else {
                return false;
            };
            scanner.push(&piece);
            while let Ok(Some(event)) = scanner.scan_event() {
                done = event.data() == b"[DONE]";
                let now = Instant::now();
                self.note(last, now, start);
                last = Some(now);
            }
        }
        done
    }

    fn note(&self, last: Option<Instant>, now: Instant, start: Instant) {
        let mut take = self.take.borrow_mut();
        take.events += 1;
        let (histogram, from) = match last {
            None => (&mut take.first, start),
            Some(last) => (&mut take.gaps, last),
        };
        let us = u64::try_from(now.duration_since(from).as_micros()).unwrap_or(u64::MAX);
        histogram.saturating_record(us);
    }
}

//! A side that plays frames by script.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::unfold;
use pumicecleat_net::{
    Body, BodyError, Client, Handler, Incoming, Protocol, Reply, Server, ServerOptions, Timer,
    bind, frame_bytes, plain_reply, post, read_all,
};
use pumicecleat_types::{
    Frame, LoadFigures, Refusal, Report, ReportReply, RunRequest, Target, decode,
};
use serde_json::{Value, json};

use crate::script::{Act, False};

/// Time between two reports.
const PACE: Duration = Duration::from_millis(200);

/// One script an attempt, whichever side it comes to; the last is played again and again.
pub(crate) type Scripts = Rc<RefCell<VecDeque<Vec<Act>>>>;

/// A side that plays frames by script, and reports.
pub(crate) struct FakeSide {
    pub(crate) address: SocketAddr,
    state: Rc<State>,
}

struct State {
    name: &'static str,
    scripts: Scripts,
    seen: RefCell<Vec<RunRequest>>,
    dropped: Cell<usize>,
    revision: Cell<u64>,
    reporting: Cell<bool>,
    leaving: Cell<bool>,
    timer: Timer,
}

struct Play {
    state: Rc<State>,
    request: RunRequest,
    acts: VecDeque<Act>,
    ended: bool,
}

impl FakeSide {
    pub(crate) fn start(name: &'static str, scripts: &Scripts, timer: &Timer) -> Self {
        let listener = bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        let state = Rc::new(State {
            name,
            scripts: Rc::clone(scripts),
            seen: RefCell::default(),
            dropped: Cell::new(0),
            revision: Cell::new(0),
            reporting: Cell::new(true),
            leaving: Cell::new(false),
            timer: timer.clone(),
        });
        let handler = Rc::new(Runs(Rc::clone(&state)));
        let options = ServerOptions {
            protocol: Protocol::Http2,
            ..ServerOptions::default()
        };
        let server = Server::new_ext(options, handler, timer);
        monoio::spawn(async move { server.serve(listener).await });
        Self { address, state }
    }

    /// Attempts seen.
    pub(crate) fn seen(&self) -> Vec<RunRequest> {
        self.state.seen.borrow().clone()
    }

    /// Body of an attempt as JSON.
    pub(crate) fn body(&self, attempt: usize) -> Value {
        serde_json::from_slice(&self.state.seen.borrow()[attempt].body).unwrap()
    }

    /// Attempts whose connection closed before their end.
    pub(crate) fn dropped(&self) -> usize {
        self.state.dropped.get()
    }

    pub(crate) fn set_revision(&self, revision: u64) {
        self.state.revision.set(revision);
    }

    pub(crate) fn set_leaving(&self) {
        self.state.leaving.set(true);
    }

    pub(crate) fn stop_reports(&self) {
        self.state.reporting.set(false);
    }

    /// Reports to an entry from now on; waits for the first reply.
    pub(crate) async fn join(&self, client: &Client, entry: SocketAddr, pool: &'static str) {
        let state = Rc::clone(&self.state);
        let address = self.address;
        let client = client.clone();
        report(&state, &client, entry, address, pool, 1).await;
        monoio::spawn(async move {
            for seq in 2.. {
                state.timer.sleep(PACE).await;
                if state.reporting.get() {
                    report(&state, &client, entry, address, pool, seq).await;
                }
            }
        });
    }
}

async fn report(
    state: &State,
    client: &Client,
    entry: SocketAddr,
    address: SocketAddr,
    pool: &str,
    seq: u64,
) -> Option<ReportReply> {
    let report = Report {
        vm: state.name.into(),
        incarnation: 1,
        seq,
        address: address.to_string(),
        pool: pool.into(),
        centre: "bp-a".into(),
        region: "hu-central".into(),
        leaving: state.leaving.get(),
        healthy: true,
        load: LoadFigures {
            max_batch_size: 8,
            slots: 4,
            spare_slots: 4,
            step_us: 10_000,
            ..LoadFigures::default()
        },
        resident: Some(vec!["tour@v1".into()]),
        loading: None,
        revision: state.revision.get(),
    };
    let span = Duration::from_secs(1);
    post(client, &entry.to_string(), "/peer/v1/report", &report, span)
        .await
        .ok()
}

struct Runs(Rc<State>);

impl Handler for Runs {
    fn handle(&self, request: Incoming, _: SocketAddr) -> Pin<Box<dyn Future<Output = Reply>>> {
        let state = Rc::clone(&self.0);
        Box::pin(async move { run(state, request).await })
    }
}

async fn run(state: Rc<State>, mut request: Incoming) -> Reply {
    let span = Duration::from_secs(5);
    let bytes = read_all(request.body_mut(), 1 << 20, span, &state.timer).await;
    let Ok(request) = decode::<RunRequest>(&bytes.unwrap()) else {
        return plain_reply(400, "not an attempt");
    };
    state.seen.borrow_mut().push(request.clone());
    let acts = next_script(&state);
    if matches!(acts.front(), Some(Act::NoHead)) {
        std::future::pending::<()>().await;
    }
    let play = Play {
        state,
        request,
        acts,
        ended: false,
    };
    Reply::new(Body::Stream(Box::pin(unfold(play, Play::next))))
}

fn next_script(state: &State) -> VecDeque<Act> {
    let mut scripts = state.scripts.borrow_mut();
    let script = match scripts.len() {
        0 => vec![Act::Hang],
        1 => scripts[0].clone(),
        _ => scripts.pop_front().unwrap(),
    };
    script.into()
}

impl Play {
    async fn next(mut self) -> Option<(Result<Bytes, BodyError>, Self)> {
        loop {
            let Some(act) = self.acts.pop_front() else {
                self.ended = true;
                return None;
            };
            match act {
                Act::Pause(span) => self.state.timer.sleep(span).await,
                Act::Hang | Act::NoHead => std::future::pending().await,
                Act::Cut => {
                    // What was played before leaves first.
                    self.state.timer.sleep(Duration::from_millis(20)).await;
                    self.ended = true;
                    let detail = "cut by script".to_owned();
                    return Some((Err(BodyError::Broken { detail }), self));
                }
                act => {
                    let frame = self.frame(&act);
                    return Some((Ok(frame_bytes(&frame)), self));
                }
            }
        }
    }

    fn frame(&self, act: &Act) -> Frame {
        match act {
            Act::Head => self.head(None, 200),
            Act::Status(status) => self.head(None, *status),
            Act::FalseHead(wrong) => self.head(Some(*wrong), 200),
            Act::End => Frame::End { load: None },
            Act::Refuse(reason) => Frame::Refused(Refusal {
                reason: *reason,
                retry_ms: 1500,
                detail: "refused by script".to_owned(),
                load: None,
            }),
            Act::Broken(ran) => Frame::Broken {
                ran: *ran,
                step: "script".to_owned(),
                detail: "broken by script".to_owned(),
            },
            act => Frame::Data {
                bytes: self.data(act).into_bytes(),
            },
        }
    }

    fn head(&self, wrong: Option<False>, status: u16) -> Frame {
        let head = &self.request.head;
        let (mut request, mut attempt) = (head.request.clone(), head.attempt);
        let mut model = match &head.target {
            Target::Model(m) => Some(format!("{}@{}", m.adapter, m.version)),
            Target::Service(_) => None,
        };
        match wrong {
            None => {}
            Some(False::Request) => request = "another".into(),
            Some(False::Attempt) => attempt += 1,
            Some(False::Model) => model = Some("tour@v2".to_owned()),
            Some(False::NoModel) => model = None,
        }
        Frame::Head {
            request,
            attempt,
            model,
            status,
            headers: Vec::new(),
            replayed: false,
        }
    }

    fn data(&self, act: &Act) -> String {
        let chunk = |delta: Value, finish: Value| self.event("tour@v1", &delta, &finish);
        match act {
            Act::Role => chunk(json!({"role": "assistant", "content": ""}), Value::Null),
            Act::RoleText(text) => {
                chunk(json!({"role": "assistant", "content": text}), Value::Null)
            }
            Act::Text(text) => chunk(json!({ "content": text }), Value::Null),
            Act::FalseText(text) => {
                self.event("tour@v2", &json!({ "content": text }), &Value::Null)
            }
            Act::CrossedText(text) => chunk(json!({ "content": text }), Value::Null)
                .replace(self.request.head.request.as_str(), "another"),
            Act::Finish => chunk(json!({}), json!("stop")),
            Act::Usage(prompt, answer) => self.usage(*prompt, *answer),
            Act::Done => "data: [DONE]\n\n".to_owned(),
            Act::Whole(text) => self.whole(text).to_string(),
            Act::Cached(text, cached) => {
                let mut body = self.whole(text);
                let cached: Value = serde_json::from_str(cached).unwrap();
                body["usage"] = json!({
                    "prompt_tokens": 20, "completion_tokens": 1,
                    "prompt_tokens_details": {"cached_tokens": cached},
                });
                body.to_string()
            }
            Act::Bytes(bytes) => (*bytes).to_owned(),
            act => panic!("{act:?} has no data"),
        }
    }

    fn id(&self) -> String {
        format!("chatcmpl-{}", self.request.head.request)
    }

    fn event(&self, model: &str, delta: &Value, finish: &Value) -> String {
        let event = json!({
            "id": self.id(), "object": "chat.completion.chunk", "created": self.created(),
            "model": model,
            "choices": [{"index": 0, "delta": delta, "finish_reason": finish}],
        });
        format!("data: {event}\n\n")
    }

    fn usage(&self, prompt: u64, answer: u64) -> String {
        let event = json!({
            "id": self.id(), "object": "chat.completion.chunk", "created": self.created(),
            "model": "tour@v1", "choices": [],
            "usage": {
                "prompt_tokens": prompt, "completion_tokens": answer,
                "total_tokens": prompt + answer,
            },
        });
        format!("data: {event}\n\n")
    }

    /// Another time in each attempt.
    fn created(&self) -> u64 {
        1_700_000_000 + u64::from(self.request.head.attempt)
    }

    fn whole(&self, text: &str) -> Value {
        json!({
            "id": self.id(), "object": "chat.completion", "created": self.created(),
            "model": "tour@v1",
            "choices": [{
                "index": 0, "message": {"role": "assistant", "content": text},
                "finish_reason": "stop",
            }],
        })
    }
}

impl Drop for Play {
    fn drop(&mut self) {
        if !self.ended {
            self.state.dropped.set(self.state.dropped.get() + 1);
        }
    }
}

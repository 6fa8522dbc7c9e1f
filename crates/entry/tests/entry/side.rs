//! Fake side that answers attempts from scripts.

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

use crate::script::{Action, Mismatch};

const REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// Scripts, one for each attempt, whichever side receives it. The last one is repeated.
pub(crate) type Scripts = Rc<RefCell<VecDeque<Vec<Action>>>>;

/// Side that answers attempts from scripts and reports to entries.
pub(crate) struct FakeSide {
    pub(crate) address: SocketAddr,
    state: Rc<State>,
}

struct State {
    name: &'static str,
    scripts: Scripts,
    attempts: RefCell<Vec<RunRequest>>,
    closed_early: Cell<usize>,
    revision: Cell<u64>,
    reporting: Cell<bool>,
    leaving: Cell<bool>,
    timer: Timer,
}

struct Playback {
    state: Rc<State>,
    request: RunRequest,
    actions: VecDeque<Action>,
    ended: bool,
}

impl FakeSide {
    pub(crate) fn start(name: &'static str, scripts: &Scripts, timer: &Timer) -> Self {
        let listener = bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        let state = Rc::new(State {
            name,
            scripts: Rc::clone(scripts),
            attempts: RefCell::default(),
            closed_early: Cell::new(0),
            revision: Cell::new(0),
            reporting: Cell::new(true),
            leaving: Cell::new(false),
            timer: timer.clone(),
        });
        let handler = Rc::new(RunHandler(Rc::clone(&state)));
        let options = ServerOptions {
            protocol: Protocol::Http2,
            ..ServerOptions::default()
        };
        let server = Server::new_ext(options, handler, timer);
        monoio::spawn(async move { server.serve(listener).await });
        Self { address, state }
    }

    /// Attempts received so far.
    pub(crate) fn attempts(&self) -> Vec<RunRequest> {
        self.state.attempts.borrow().clone()
    }

    /// Body of the attempt with this index, as JSON.
    pub(crate) fn attempt_body(&self, attempt: usize) -> Value {
        serde_json::from_slice(&self.state.attempts.borrow()[attempt].body).unwrap()
    }

    /// Number of attempts whose connection closed before their script ended.
    pub(crate) fn closed_early(&self) -> usize {
        self.state.closed_early.get()
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

    /// Starts to report to an entry, and waits for the first reply.
    pub(crate) async fn start_reporting(
        &self,
        client: &Client,
        entry: SocketAddr,
        pool: &'static str,
    ) {
        let state = Rc::clone(&self.state);
        let address = self.address;
        let client = client.clone();
        send_report(&state, &client, entry, address, pool, 1).await;
        monoio::spawn(async move {
            for seq in 2.. {
                state.timer.sleep(REPORT_INTERVAL).await;
                if state.reporting.get() {
                    send_report(&state, &client, entry, address, pool, seq).await;
                }
            }
        });
    }
}

async fn send_report(
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
    let timeout = Duration::from_secs(1);
    post(
        client,
        &entry.to_string(),
        "/peer/v1/report",
        &report,
        timeout,
    )
    .await
    .ok()
}

struct RunHandler(Rc<State>);

impl Handler for RunHandler {
    fn handle(&self, request: Incoming, _: SocketAddr) -> Pin<Box<dyn Future<Output = Reply>>> {
        let state = Rc::clone(&self.0);
        Box::pin(async move { handle_run(state, request).await })
    }
}

async fn handle_run(state: Rc<State>, mut request: Incoming) -> Reply {
    let timeout = Duration::from_secs(5);
    let bytes = read_all(request.body_mut(), 1 << 20, timeout, &state.timer).await;
    let Ok(request) = decode::<RunRequest>(&bytes.unwrap()) else {
        return plain_reply(400, "not an attempt");
    };
    state.attempts.borrow_mut().push(request.clone());
    let actions = next_script(&state);
    if matches!(actions.front(), Some(Action::NoHead)) {
        std::future::pending::<()>().await;
    }
    let playback = Playback {
        state,
        request,
        actions,
        ended: false,
    };
    Reply::new(Body::Stream(Box::pin(unfold(playback, Playback::next))))
}

fn next_script(state: &State) -> VecDeque<Action> {
    let mut scripts = state.scripts.borrow_mut();
    let script = match scripts.len() {
        0 => vec![Action::Hang],
        1 => scripts[0].clone(),
        _ => scripts.pop_front().unwrap(),
    };
    script.into()
}

impl Playback {
    async fn next(mut self) -> Option<(Result<Bytes, BodyError>, Self)> {
        loop {
            let Some(action) = self.actions.pop_front() else {
                self.ended = true;
                return None;
            };
            match action {
                Action::Pause(timeout) => self.state.timer.sleep(timeout).await,
                Action::Hang | Action::NoHead => std::future::pending().await,
                Action::Disconnect => {
                    // Lets the frames before it leave first.
                    self.state.timer.sleep(Duration::from_millis(20)).await;
                    self.ended = true;
                    let detail = "cut by script".to_owned();
                    return Some((Err(BodyError::Broken { detail }), self));
                }
                action => {
                    let frame = self.frame(&action);
                    return Some((Ok(frame_bytes(&frame)), self));
                }
            }
        }
    }

    fn frame(&self, action: &Action) -> Frame {
        match action {
            Action::Head => self.head(None, 200),
            Action::Status(status) => self.head(None, *status),
            Action::MismatchedHead(mismatch) => self.head(Some(*mismatch), 200),
            Action::End => Frame::End { load: None },
            Action::Refuse(reason) => Frame::Refused(Refusal {
                reason: *reason,
                retry_ms: 1500,
                detail: "refused by script".to_owned(),
                load: None,
            }),
            Action::Broken(ran) => Frame::Broken {
                ran: *ran,
                step: "script".to_owned(),
                detail: "broken by script".to_owned(),
            },
            action => Frame::Data {
                bytes: self.data(action).into_bytes(),
            },
        }
    }

    fn head(&self, mismatch: Option<Mismatch>, status: u16) -> Frame {
        let head = &self.request.head;
        let (mut request, mut attempt) = (head.request.clone(), head.attempt);
        let mut model = match &head.target {
            Target::Model(m) => Some(format!("{}@{}", m.adapter, m.version)),
            Target::Service(_) => None,
        };
        match mismatch {
            None => {}
            Some(Mismatch::Request) => request = "another".into(),
            Some(Mismatch::Attempt) => attempt += 1,
            Some(Mismatch::Model) => model = Some("tour@v2".to_owned()),
            Some(Mismatch::NoModel) => model = None,
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

    fn data(&self, action: &Action) -> String {
        let chunk = |delta: Value, finish: Value| self.event("tour@v1", &delta, &finish);
        match action {
            Action::Role => chunk(json!({"role": "assistant", "content": ""}), Value::Null),
            Action::RoleText(text) => {
                chunk(json!({"role": "assistant", "content": text}), Value::Null)
            }
            Action::Text(text) => chunk(json!({ "content": text }), Value::Null),
            Action::OtherModelText(text) => {
                self.event("tour@v2", &json!({ "content": text }), &Value::Null)
            }
            Action::OtherRequestText(text) => chunk(json!({ "content": text }), Value::Null)
                .replace(self.request.head.request.as_str(), "another"),
            Action::Finish => chunk(json!({}), json!("stop")),
            Action::Usage(prompt_tokens, completion_tokens) => {
                self.usage(*prompt_tokens, *completion_tokens)
            }
            Action::Done => "data: [DONE]\n\n".to_owned(),
            Action::Completion(text) => self.completion(text).to_string(),
            Action::CompletionWithCached(text, cached) => {
                let mut body = self.completion(text);
                let cached: Value = serde_json::from_str(cached).unwrap();
                body["usage"] = json!({
                    "prompt_tokens": 20, "completion_tokens": 1,
                    "prompt_tokens_details": {"cached_tokens": cached},
                });
                body.to_string()
            }
            Action::Bytes(bytes) => (*bytes).to_owned(),
            action => panic!("{action:?} has no data"),
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

    fn usage(&self, prompt_tokens: u64, completion_tokens: u64) -> String {
        let event = json!({
            "id": self.id(), "object": "chat.completion.chunk", "created": self.created(),
            "model": "tour@v1", "choices": [],
            "usage": {
                "prompt_tokens": prompt_tokens, "completion_tokens": completion_tokens,
                "total_tokens": prompt_tokens + completion_tokens,
            },
        });
        format!("data: {event}\n\n")
    }

    /// Creation time, which differs between attempts.
    fn created(&self) -> u64 {
        1_700_000_000 + u64::from(self.request.head.attempt)
    }

    fn completion(&self, text: &str) -> Value {
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

impl Drop for Playback {
    fn drop(&mut self) {
        if !self.ended {
            self.state
                .closed_early
                .set(self.state.closed_early.get() + 1);
        }
    }
}

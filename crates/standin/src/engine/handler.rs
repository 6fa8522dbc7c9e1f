//! The engine's requests.

use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use async_channel::Receiver;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Method};
use pumicecleat_net::{Body, Reply, json_reply, plain_reply};
use pumicecleat_types::Millis;

use super::batch::Run;
use super::chat::ChatRequest;
use super::metrics::Sample;
use super::model::ModelList;
use super::piece::{Count, Head, Piece};
use super::stream::Pieces;
use super::text::Source;
use super::{Engine, EngineFaults};
use crate::serve::{
    Call, FaultCell, Part, Refusal, Work, broken, cut, error, not_found, retry_later,
};

const REQUEST_ID: &str = "x-request-id";

impl Engine {
    async fn serve(self: Rc<Self>, call: &Call) -> Result<Reply, Refusal> {
        while self.faults.get().freeze {
            self.work.next().wait().await;
        }
        if self.timer.now() < self.state.borrow().cold_until {
            return Err(retry_later(503, "starting").into());
        }
        match (&call.method, call.path.as_str()) {
            (&Method::POST, "/v1/chat/completions") => self.chat(call).await,
            (&Method::POST, "/v1/load_lora_adapter") => self.load(call).await,
            (&Method::POST, "/v1/unload_lora_adapter") => self.unload(call),
            (&Method::GET, "/v1/models") => Ok(self.models()),
            (&Method::GET, "/health") => Ok(plain_reply(200, "")),
            (&Method::GET, "/metrics") => Ok(self.metrics()),
            _ => Err(not_found().into()),
        }
    }

    async fn chat(self: Rc<Self>, call: &Call) -> Result<Reply, Refusal> {
        if self.faults.take(|f| &mut f.refuse) {
            return Err(retry_later(503, "refused on request").into());
        }
        let request = call.json::<ChatRequest>()?;
        if let Some(fault) = request.fault() {
            return Err(error(400, fault).into());
        }
        let truncate = self.faults.take(|f| &mut f.truncate);
        let rest = self.enqueue(&request, call, truncate)?;
        let Ok(first) = rest.recv().await else {
            return Err(broken().into());
        };
        let late = Duration::from_millis(self.faults.get().late_ms);
        self.timer.sleep(late).await;
        let head = Rc::clone(&first.head);
        let pieces = Pieces::new(first, rest, request.wants_usage(), &self.timer);
        let reply = if request.stream {
            stream_reply(pieces)
        } else {
            self.whole_reply(pieces, truncate).await
        };
        Ok(with_request_id(reply, &head))
    }

    /// Puts a request among those that wait.
    fn enqueue(
        &self,
        request: &ChatRequest,
        call: &Call,
        truncate: bool,
    ) -> Result<Receiver<Piece>, Refusal> {
        let mut state = self.state.borrow_mut();
        if !state.adapters.resident().contains_key(&request.model) {
            let message = format!("The model `{}` does not exist.", request.model);
            return Err(error(404, &message).into());
        }
        let (out, rest) = async_channel::unbounded();
        let model = self.answering_model(&request.model);
        let span = request.span();
        let cached = state.prefixes.visit(&request.model, &request.messages);
        let cut_at = (truncate && request.stream).then_some((span.end - span.from) / 2);
        let run = Run {
            lora: request.model.clone(),
            priority: request.priority,
            source: Source::new(&model, &request.messages),
            head: Rc::new(head(call, model)),
            span,
            count: Count {
                prompt: request.messages.iter().map(super::ChatMessage::words).sum(),
                cached,
                told: self.told_cached(cached),
                answer: 0,
            },
            cut_at,
            out,
        };
        let crossed = state.parked.is_some() || self.faults.take(|f| &mut f.cross);
        if crossed {
            state.push_crossed(run);
        } else {
            state.push(run);
        }
        drop(state);
        self.work.notify();
        Ok(rest)
    }

    /// What an answer tells of its cached tokens.
    fn told_cached(&self, cached: u64) -> Option<i64> {
        let faults = self.faults.get();
        let told = faults.false_cached.or_else(|| i64::try_from(cached).ok());
        told.filter(|_| !faults.hide_cached)
    }

    /// Model that answers: the one asked for, but for a fault.
    fn answering_model(&self, asked: &str) -> String {
        if self.faults.take(|f| &mut f.wrong_model) {
            format!("{asked}.wrong")
        } else {
            asked.into()
        }
    }

    async fn whole_reply(&self, pieces: Pieces, truncate: bool) -> Reply {
        let Some(body) = pieces.into_whole().await else {
            return broken();
        };
        let reply = with_type(Reply::new(Body::whole(body)), "application/json");
        if truncate {
            cut(reply, &self.timer)
        } else {
            reply
        }
    }

    fn models(&self) -> Reply {
        let state = self.state.borrow();
        let list = ModelList::new(&self.options.base, state.adapters.resident());
        json_reply(200, &list)
    }

    fn metrics(&self) -> Reply {
        let mut state = self.state.borrow_mut();
        let lag = Millis(self.options.metrics_lag_ms);
        let sample = match lag {
            Millis(0) => Sample::of(&state.batch),
            _ => state.sample_at(self.timer.now() - lag),
        };
        let text = sample.text(&self.options.base, state.adapters.slots());
        plain_reply(200, &text)
    }

    fn effects(&self) -> Reply {
        let state = self.state.borrow();
        let report = state.effects.report(&state.batch, state.parked.as_ref());
        json_reply(200, &report)
    }
}

impl Part for Engine {
    type Faults = EngineFaults;

    fn faults(&self) -> &FaultCell<EngineFaults> {
        &self.faults
    }

    fn faults_set(&self) {
        let restart = std::mem::take(&mut self.faults.edit().restart);
        if restart {
            let cold = Millis(self.faults.get().cold_ms);
            self.state.borrow_mut().restart(self.timer.now() + cold);
        }
        self.work.notify();
    }

    fn answer(self: Rc<Self>, call: Call) -> Work {
        Box::pin(async move {
            match (&call.method, call.path.as_str()) {
                (&Method::GET, "/effects") => self.effects(),
                _ => self.serve(&call).await.unwrap_or_else(|refusal| *refusal),
            }
        })
    }
}

fn head(call: &Call, model: String) -> Head {
    let request = call.header(REQUEST_ID).unwrap_or_default().to_owned();
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Head {
        id: format!("chatcmpl-{request}"),
        request,
        model,
        created: now.as_secs(),
    }
}

fn stream_reply(pieces: Pieces) -> Reply {
    let body = Body::Stream(pieces.into_events());
    with_type(Reply::new(body), "text/event-stream; charset=utf-8")
}

fn with_type(mut reply: Reply, kind: &'static str) -> Reply {
    let kind = HeaderValue::from_static(kind);
    reply.headers_mut().insert(CONTENT_TYPE, kind);
    reply
}

fn with_request_id(mut reply: Reply, head: &Head) -> Reply {
    if let Ok(id) = HeaderValue::from_str(&head.request) {
        reply.headers_mut().insert(REQUEST_ID, id);
    }
    reply
}

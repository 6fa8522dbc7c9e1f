//! Chat requests.

use std::rc::Rc;

use http::header::{CACHE_CONTROL, CONTENT_TYPE};
use http::{HeaderMap, HeaderValue};
use pumicecleat_net::{Body, Reply};
use pumicecleat_upstream::{BodyFault, ChatBody, ChatLimits};
use serde::Deserialize;

use super::headers::{put_attempts, read_deadline, read_priority};
use super::{Call, read_body};
use crate::api_error::ApiError;
use crate::request::{Answer, Content, Exchange, Job, Repeat, read_prompt, resolve_model};
use crate::shared::Shared;
use crate::stream::{Opened, open};

/// Tokens expected where a body sets no limit.
const TOKENS: u32 = 512;

/// Fields of a body that limit its answer.
#[derive(Default, Deserialize)]
struct TokenLimit {
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
}

/// Answers a chat request.
pub(super) async fn answer(shared: &Rc<Shared>, mut call: Call) -> Result<Reply, ApiError> {
    let bytes = read_body(shared, &mut call).await?;
    let chat = parse(&bytes)?;
    let mut job = make_job(shared, &call, chat)?;
    job.tokens = read_tokens(&bytes);
    let stream = job.stream;
    // Its headers hold the connection's first read buffer.
    drop(call.incoming);
    let mut exchange = Exchange::new(shared, job, call.guard);
    if stream {
        return Ok(streamed(exchange).await);
    }
    let result = exchange.whole().await;
    Ok(finish(exchange, result))
}

fn parse(bytes: &[u8]) -> Result<ChatBody, ApiError> {
    let limits = ChatLimits {
        bytes: bytes.len().max(1),
        ..ChatLimits::default()
    };
    let parsed = ChatBody::parse(bytes, &limits);
    parsed.map_err(|fault| ApiError::rejected(400, body_code(&fault), fault.to_string()))
}

fn body_code(fault: &BodyFault) -> &'static str {
    match fault {
        BodyFault::TooLong { .. } => "body_too_long",
        BodyFault::Encoding { .. } => "body_not_utf8",
        BodyFault::Json { .. } => "body_not_json",
        BodyFault::TooDeep { .. } => "body_too_deep",
        BodyFault::Field { .. } => "bad_field",
    }
}

fn make_job(shared: &Shared, call: &Call, chat: ChatBody) -> Result<Job, ApiError> {
    let headers = call.incoming.headers();
    let resolved = resolve_model(shared, &call.caller, chat.model())?;
    let prompt = read_prompt(&chat, resolved.prefix_seed);
    Ok(Job {
        resolved,
        request: call.request.clone(),
        caller: call.caller.clone(),
        arrived: call.arrived,
        deadline: call.arrived + read_deadline(shared, headers)?,
        priority: read_priority(shared, &call.caller, headers)?,
        stream: chat.stream(),
        tokens: TOKENS,
        key: None,
        repeat: Repeat::Freely,
        prompt: Some(prompt),
        content: Content::Chat(Box::new(chat)),
    })
}

/// Most tokens that a checked body allows.
fn read_tokens(bytes: &[u8]) -> u32 {
    let limit = serde_json::from_slice::<TokenLimit>(bytes).unwrap_or_default();
    let most = limit.max_completion_tokens.or(limit.max_tokens);
    most.unwrap_or(TOKENS)
}

async fn streamed(exchange: Exchange) -> Reply {
    let relay = match open(exchange).await {
        Opened::Stream(relay) => relay,
        Opened::Whole(answer, exchange) => return finish(exchange, Ok(answer)),
        Opened::Fault(fault, exchange) => return finish(exchange, Err(fault)),
    };
    let mut headers = HeaderMap::new();
    let kind = HeaderValue::from_static("text/event-stream; charset=utf-8");
    headers.insert(CONTENT_TYPE, kind);
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    put_attempts(&mut headers, relay.exchange());
    let mut reply = Reply::new(relay.into_body());
    *reply.headers_mut() = headers;
    reply
}

/// Reply by an answer's whole body, or by a fault.
fn finish(mut exchange: Exchange, result: Result<Answer, ApiError>) -> Reply {
    let mut reply = match result {
        Ok(answer) => {
            exchange.note_first();
            exchange.note_whole();
            let mut reply = Reply::new(Body::whole(answer.body));
            let kind = HeaderValue::from_static("application/json");
            reply.headers_mut().insert(CONTENT_TYPE, kind);
            reply
        }
        Err(fault) => {
            exchange.note_fault(&fault);
            fault.to_reply()
        }
    };
    put_attempts(reply.headers_mut(), &exchange);
    reply
}

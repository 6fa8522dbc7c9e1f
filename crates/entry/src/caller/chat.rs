//! Chat requests.

use std::rc::Rc;

use http::header::{CACHE_CONTROL, CONTENT_TYPE};
use http::{HeaderMap, HeaderValue};
use pumicecleat_net::{Body, Reply};
use pumicecleat_upstream::{ChatBody, ChatBodyError, ChatLimits};
use serde::Deserialize;

use super::headers::{insert_attempt_headers, read_deadline, read_priority};
use super::{ATTEMPT_FORMS, CallerRequest, PARSED_FORMS, lease_forms, read_body};
use crate::api_error::ApiError;
use crate::request::{
    BufferedResponse, Exchange, Job, RequestBody, RetryMode, prompt_affinity, resolve_model,
};
use crate::shared::Shared;
use crate::stream::{StreamStart, open_stream};

/// Expected number of tokens if the body sets no limit.
const DEFAULT_MAX_TOKENS: u32 = 512;

/// Fields of the body that limit the length of the response.
#[derive(Default, Deserialize)]
struct TokenLimit {
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
}

/// Handles a chat request.
pub(super) async fn handle(
    shared: &Rc<Shared>,
    mut call: CallerRequest,
) -> Result<Reply, ApiError> {
    let bytes = read_body(shared, &mut call).await?;
    let chat = parse_chat(&bytes)?;
    let mut job = make_job(shared, &call, chat)?;
    job.lease = lease_forms(shared, &bytes, PARSED_FORMS + ATTEMPT_FORMS)?;
    job.max_tokens = read_max_tokens(&bytes);
    drop(bytes);
    let stream = job.stream;
    // The request headers keep the connection's first read buffer alive.
    drop(call.incoming);
    let mut exchange = Exchange::new(shared, job, call.guard);
    if stream {
        return Ok(stream_reply(exchange).await);
    }
    let result = exchange.buffered_response().await;
    Ok(buffered_reply(exchange, result))
}

fn parse_chat(bytes: &[u8]) -> Result<ChatBody, ApiError> {
    let limits = ChatLimits {
        bytes: bytes.len().max(1),
        ..ChatLimits::default()
    };
    let parsed = ChatBody::parse(bytes, &limits);
    parsed.map_err(|error| ApiError::rejected(400, body_error_code(&error), error.to_string()))
}

fn body_error_code(error: &ChatBodyError) -> &'static str {
    match error {
        ChatBodyError::TooLong { .. } => "body_too_long",
        ChatBodyError::Encoding { .. } => "body_not_utf8",
        ChatBodyError::Json { .. } => "body_not_json",
        ChatBodyError::TooDeep { .. } => "body_too_deep",
        ChatBodyError::Field { .. } => "bad_field",
    }
}

fn make_job(shared: &Shared, call: &CallerRequest, chat: ChatBody) -> Result<Job, ApiError> {
    let headers = call.incoming.headers();
    let resolved = resolve_model(shared, &call.caller, chat.model())?;
    let prompt = prompt_affinity(&chat, resolved.prefix_seed);
    Ok(Job {
        resolved,
        request_id: call.request_id.clone(),
        caller: call.caller.clone(),
        received_at: call.received_at,
        deadline: call.received_at + read_deadline(shared, headers)?,
        priority: read_priority(shared, &call.caller, headers)?,
        stream: chat.stream(),
        max_tokens: DEFAULT_MAX_TOKENS,
        idempotency_key: None,
        retry_mode: RetryMode::Idempotent,
        prompt: Some(prompt),
        body: RequestBody::Chat(Box::new(chat)),
        lease: shared.budget.lease(),
    })
}

/// Maximum number of tokens that a checked body allows.
fn read_max_tokens(bytes: &[u8]) -> u32 {
    let limit = serde_json::from_slice::<TokenLimit>(bytes).unwrap_or_default();
    let max_tokens = limit.max_completion_tokens.or(limit.max_tokens);
    max_tokens.unwrap_or(DEFAULT_MAX_TOKENS)
}

async fn stream_reply(exchange: Exchange) -> Reply {
    let relay = match open_stream(exchange).await {
        StreamStart::Stream(relay) => relay,
        StreamStart::Buffered(response, exchange) => return buffered_reply(exchange, Ok(response)),
        StreamStart::Fault(fault, exchange) => return buffered_reply(exchange, Err(fault)),
    };
    let mut headers = HeaderMap::new();
    let content_type = HeaderValue::from_static("text/event-stream; charset=utf-8");
    headers.insert(CONTENT_TYPE, content_type);
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    insert_attempt_headers(&mut headers, relay.exchange());
    let mut reply = Reply::new(relay.into_body());
    *reply.headers_mut() = headers;
    reply
}

/// Reply with a complete response or a fault.
fn buffered_reply(mut exchange: Exchange, result: Result<BufferedResponse, ApiError>) -> Reply {
    let mut reply = match result {
        Ok(response) => {
            exchange.record_first_byte();
            exchange.record_completion();
            let mut reply = Reply::new(Body::whole(response.body));
            let content_type = HeaderValue::from_static("application/json");
            reply.headers_mut().insert(CONTENT_TYPE, content_type);
            reply
        }
        Err(fault) => {
            exchange.record_fault(&fault);
            fault.to_reply()
        }
    };
    insert_attempt_headers(reply.headers_mut(), &exchange);
    reply
}

//! Calls of plain services.

use std::rc::Rc;

use bytes::Bytes;
use http::StatusCode;
use pumicecleat_config::model::IdempotencyKeyRule;
use pumicecleat_net::{Body, Reply};
use pumicecleat_types::HeaderField;

use super::headers::{
    IDEMPOTENCY_KEY, forwarded_headers, insert_attempt_headers, insert_forwarded, read_deadline,
    read_key, read_priority,
};
use super::{ATTEMPT_FORMS, CallerRequest, lease_forms, read_body};
use crate::api_error::ApiError;
use crate::request::{
    BufferedResponse, Exchange, Job, RequestBody, RetryMode, ServiceRoute, resolve_service,
};
use crate::shared::Shared;

/// Handles a call of a plain service.
pub(super) async fn handle(
    shared: &Rc<Shared>,
    mut call: CallerRequest,
) -> Result<Reply, ApiError> {
    let job = make_job(shared, &call)?;
    let body = read_body(shared, &mut call).await?;
    let job = Job {
        lease: lease_forms(shared, &body, ATTEMPT_FORMS)?,
        body: RequestBody::Plain(body),
        ..job
    };
    // The request headers keep the connection's first read buffer alive.
    drop(call.incoming);
    let mut exchange = Exchange::new(shared, job, call.guard);
    let result = exchange.buffered_response().await;
    Ok(buffered_reply(exchange, result))
}

fn make_job(shared: &Shared, call: &CallerRequest) -> Result<Job, ApiError> {
    let headers = call.incoming.headers();
    let uri = call.incoming.uri();
    let path = uri.path_and_query().map_or(uri.path(), |p| p.as_str());
    let method = call.incoming.method().as_str();
    let key = read_key(headers)?;
    let fields = forwarded_headers(headers);
    let route = resolve_service(shared, &call.caller, method, path, fields)?;
    let retry_mode = read_retry_mode(&route, key.as_deref())?;
    let mut job = Job {
        resolved: route.resolved,
        request_id: call.request_id.clone(),
        caller: call.caller.clone(),
        received_at: call.received_at,
        deadline: call.received_at + read_deadline(shared, headers)?,
        priority: read_priority(shared, &call.caller, headers)?,
        stream: false,
        max_tokens: 1,
        idempotency_key: key,
        retry_mode,
        prompt: None,
        body: RequestBody::Plain(Bytes::new()),
        lease: shared.budget.lease(),
    };
    if retry_mode == RetryMode::Idempotent {
        forward_key(&mut job);
    }
    Ok(job)
}

fn read_retry_mode(route: &ServiceRoute, key: Option<&str>) -> Result<RetryMode, ApiError> {
    match (route.idempotent, key, route.key_rule) {
        (true, _, _) => Ok(RetryMode::Idempotent),
        (false, Some(_), _) => Ok(RetryMode::OnceByKey),
        (false, None, IdempotencyKeyRule::Optional) => Ok(RetryMode::Never),
        (false, None, IdempotencyKeyRule::Required) => {
            let message = "this route wants an Idempotency-Key";
            Err(ApiError::rejected(400, "key_required", message))
        }
    }
}

/// Forwards the idempotency key of an idempotent route to the service as a header; sides need not
/// record it.
fn forward_key(job: &mut Job) {
    let Some(value) = job.idempotency_key.take() else {
        return;
    };
    let name = IDEMPOTENCY_KEY.as_str().to_owned();
    if let pumicecleat_types::Target::Service(service) = &mut job.resolved.target {
        service.headers.push(HeaderField { name, value });
    }
}

fn buffered_reply(mut exchange: Exchange, result: Result<BufferedResponse, ApiError>) -> Reply {
    let mut reply = match result {
        Ok(response) => {
            exchange.record_first_byte();
            exchange.record_completion();
            let mut reply = Reply::new(Body::whole(response.body));
            let status = StatusCode::from_u16(response.status);
            *reply.status_mut() = status.unwrap_or(StatusCode::BAD_GATEWAY);
            insert_forwarded(reply.headers_mut(), &response.headers);
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

//! Calls of plain services.

use std::rc::Rc;

use http::StatusCode;
use pumicecleat_config::model::KeyRule;
use pumicecleat_net::{Body, Reply};
use pumicecleat_types::HeaderField;

use super::headers::{
    KEY, passed_on, put_attempts, put_passed, read_deadline, read_key, read_priority,
};
use super::{Call, read_body};
use crate::api_error::ApiError;
use crate::request::{Answer, Content, Exchange, Job, Repeat, ServiceRoute, resolve_service};
use crate::shared::Shared;

/// Answers a call of a plain service.
pub(super) async fn answer(shared: &Rc<Shared>, mut call: Call) -> Result<Reply, ApiError> {
    let job = make_job(shared, &call)?;
    let body = read_body(shared, &mut call).await?;
    let job = Job {
        content: Content::Plain(body),
        ..job
    };
    // Its headers hold the connection's first read buffer.
    drop(call.incoming);
    let mut exchange = Exchange::new(shared, job, call.guard);
    let result = exchange.whole().await;
    Ok(finish(exchange, result))
}

fn make_job(shared: &Shared, call: &Call) -> Result<Job, ApiError> {
    let headers = call.incoming.headers();
    let uri = call.incoming.uri();
    let path = uri.path_and_query().map_or(uri.path(), |p| p.as_str());
    let method = call.incoming.method().as_str();
    let key = read_key(headers)?;
    let fields = passed_on(headers);
    let route = resolve_service(shared, &call.caller, method, path, fields)?;
    let repeat = read_repeat(&route, key.as_deref())?;
    let mut job = Job {
        resolved: route.resolved,
        request: call.request.clone(),
        caller: call.caller.clone(),
        arrived: call.arrived,
        deadline: call.arrived + read_deadline(shared, headers)?,
        priority: read_priority(shared, &call.caller, headers)?,
        stream: false,
        tokens: 1,
        key,
        repeat,
        prompt: None,
        content: Content::Plain(Vec::new()),
    };
    if repeat == Repeat::Freely {
        pass_key(&mut job);
    }
    Ok(job)
}

fn read_repeat(route: &ServiceRoute, key: Option<&str>) -> Result<Repeat, ApiError> {
    match (route.idempotent, key, route.key) {
        (true, _, _) => Ok(Repeat::Freely),
        (false, Some(_), _) => Ok(Repeat::ByKey),
        (false, None, KeyRule::Optional) => Ok(Repeat::Never),
        (false, None, KeyRule::Required) => {
            let message = "this route wants an Idempotency-Key";
            Err(ApiError::rejected(400, "key_required", message))
        }
    }
}

/// A key on an idempotent route is the service's own matter: sides need not record it.
fn pass_key(job: &mut Job) {
    let Some(value) = job.key.take() else {
        return;
    };
    let name = KEY.as_str().to_owned();
    if let pumicecleat_types::Target::Service(service) = &mut job.resolved.target {
        service.headers.push(HeaderField { name, value });
    }
}

fn finish(mut exchange: Exchange, result: Result<Answer, ApiError>) -> Reply {
    let mut reply = match result {
        Ok(answer) => {
            exchange.note_first();
            exchange.note_whole();
            let mut reply = Reply::new(Body::whole(answer.body));
            let status = StatusCode::from_u16(answer.status);
            *reply.status_mut() = status.unwrap_or(StatusCode::BAD_GATEWAY);
            put_passed(reply.headers_mut(), &answer.headers);
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

//! Orders: load and unload, with their fencing numbers.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::header::ETAG;
use pumicecleat_net::{Reply, json_reply, plain_reply};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::Engine;
use super::adapters::{NoReserve, Ticket};
use super::effects::{OrderEffect, OrderKind};
use crate::serve::{Call, Refusal, error};

const FENCING: &str = "x-fencing-number";
const FETCH_SPAN: Duration = Duration::from_mins(2);
const WEIGHTS_LIMIT: u64 = 1024 * 1024;

/// Load order.
#[derive(Deserialize)]
pub(crate) struct LoadOrder {
    lora_name: String,
    lora_path: String,
}

/// Unload order.
#[derive(Deserialize)]
struct UnloadOrder {
    lora_name: String,
}

#[derive(Serialize)]
struct Fenced {
    fencing: u64,
}

/// How a load failed.
enum LoadError {
    /// No such weights.
    Missing,
    /// For another cause.
    Failed(String),
}

impl LoadError {
    fn reply(&self) -> Reply {
        match self {
            Self::Missing => error(404, "no such weights"),
            Self::Failed(cause) => error(500, cause),
        }
    }
}

impl Engine {
    /// Loads a LoRA; goes on even if the one who ordered it goes away.
    pub(crate) async fn load(self: Rc<Self>, call: &Call) -> Result<Reply, Refusal> {
        let order = call.json::<LoadOrder>()?;
        self.admit_order(OrderKind::Load, &order.lora_name, call)?;
        let ticket = self.reserve(&order.lora_name)?;
        let (done, result) = async_channel::bounded(1);
        monoio::spawn(async move {
            let reply = self.fetch_and_settle(&order, ticket).await;
            // Nobody may wait for it any more; the load stands all the same.
            let _ = done.try_send(reply);
        });
        result
            .recv()
            .await
            .map_err(|_| error(500, "load broke off").into())
    }

    /// Unloads a LoRA, also one in use, which counts as a violation.
    pub(crate) fn unload(&self, call: &Call) -> Result<Reply, Refusal> {
        let order = call.json::<UnloadOrder>()?;
        let name = &order.lora_name;
        self.admit_order(OrderKind::Unload, name, call)?;
        let mut state = self.state.borrow_mut();
        if !state.adapters.unload(name) {
            return Err(error(404, "this LoRA is not loaded").into());
        }
        let used = u64::from(state.uses(name));
        state.effects.counters.unloads += 1;
        state.effects.counters.evicted_in_use += used;
        Ok(plain_reply(200, "unloaded\n"))
    }

    fn admit_order(&self, order: OrderKind, lora: &str, call: &Call) -> Result<(), Refusal> {
        let fencing = fencing_number(call)?;
        let mut state = self.state.borrow_mut();
        let admitted = state.fencing.admit(fencing.unwrap_or(0));
        state.effects.order(OrderEffect {
            order,
            lora: lora.into(),
            fencing,
            accepted: admitted.is_ok(),
        });
        admitted.map_err(|fencing| json_reply(409, &Fenced { fencing }).into())
    }

    fn reserve(&self, name: &str) -> Result<Ticket, Refusal> {
        let reserved = self.state.borrow_mut().adapters.reserve(name);
        reserved.map_err(|e| match e {
            NoReserve::Present => error(400, "this LoRA is already loaded").into(),
            NoReserve::Full => error(400, "no LoRA slot is free").into(),
        })
    }

    async fn fetch_and_settle(&self, order: &LoadOrder, ticket: Ticket) -> Reply {
        let fetched = self.fetch(&order.lora_path).await;
        match fetched.and_then(|()| self.settle(order, ticket)) {
            Ok(()) => plain_reply(200, "loaded\n"),
            Err(e) => {
                self.release(order, ticket);
                e.reply()
            }
        }
    }

    /// Makes fetched weights resident, but for a fault.
    fn settle(&self, order: &LoadOrder, ticket: Ticket) -> Result<(), LoadError> {
        if self.faults.take(|f| &mut f.fail_loads) {
            return Err(LoadError::Failed("failed on request".into()));
        }
        if self.faults.take(|f| &mut f.lie_loads) {
            self.release(order, ticket);
            return Ok(());
        }
        let mut state = self.state.borrow_mut();
        let adapters = &mut state.adapters;
        if !adapters.settle(&order.lora_name, &order.lora_path, ticket) {
            return Err(LoadError::Failed("engine restarted meanwhile".into()));
        }
        state.effects.counters.loads += 1;
        Ok(())
    }

    fn release(&self, order: &LoadOrder, ticket: Ticket) {
        let mut state = self.state.borrow_mut();
        state.adapters.release(&order.lora_name, ticket);
    }

    /// Fetches weights from the store and compares them with their digest.
    async fn fetch(&self, path: &str) -> Result<(), LoadError> {
        let Some(store) = &self.options.store else {
            return Ok(());
        };
        let request = Request::get(format!("/v1/weights/{path}"))
            .body(Bytes::new())
            .map_err(|e| LoadError::Failed(e.to_string()))?;
        let mut response = self
            .client
            .send(store, request, FETCH_SPAN)
            .await
            .map_err(|e| LoadError::Failed(e.to_string()))?;
        let status = response.status();
        let etag = response.headers().get(ETAG).cloned();
        let weights = response
            .read(WEIGHTS_LIMIT, FETCH_SPAN)
            .await
            .map_err(|e| LoadError::Failed(e.to_string()))?;
        match status {
            200 => {}
            404 => return Err(LoadError::Missing),
            _ => return Err(LoadError::Failed(format!("weight store gave {status}"))),
        }
        let digest = format!("\"{:016x}\"", xxh3_64(&weights));
        if etag.is_some_and(|e| e.as_bytes() == digest.as_bytes()) {
            Ok(())
        } else {
            Err(LoadError::Failed("weights don't match their digest".into()))
        }
    }
}

fn fencing_number(call: &Call) -> Result<Option<u64>, Refusal> {
    let Some(text) = call.header(FENCING) else {
        return Ok(None);
    };
    match text.parse() {
        Ok(number) => Ok(Some(number)),
        Err(_) => Err(error(400, "fencing number is no number").into()),
    }
}

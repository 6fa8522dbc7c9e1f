//! The VM list's requests.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::Method;
use http::header::{ETAG, HeaderValue, IF_NONE_MATCH};
use pumicecleat_net::{Reply, Timer, json_reply, plain_reply};
use pumicecleat_types::{Millis, VmEntry};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::VmFaults;
use super::history::{History, Vms};
use crate::serve::{
    Call, FaultCell, Part, Refusal, Running, StandinError, Work, error, not_found, retry_later,
    start,
};

const LIST: &str = "/v1/vms";

/// Options of the VM list.
#[derive(Clone, Debug)]
pub struct VmListOptions {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Time until a change shows, milliseconds.
    pub lag_ms: u64,
    /// VMs listed from the start.
    pub vms: Vec<VmEntry>,
}

impl Default for VmListOptions {
    fn default() -> Self {
        Self {
            listen: crate::ANY_PORT,
            lag_ms: 0,
            vms: Vec::new(),
        }
    }
}

/// The VM list.
pub struct VmList {
    lag: Millis,
    timer: Timer,
    faults: FaultCell<VmFaults>,
    history: RefCell<History>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Whole {
    vms: Vec<VmEntry>,
}

#[derive(Serialize)]
struct Listing<'a> {
    vms: Vec<&'a VmEntry>,
    version: u64,
}

impl VmList {
    /// Starts the list on this thread's loop.
    ///
    /// # Errors
    /// [`StandinError`] if the address can't be bound.
    pub fn start(options: VmListOptions, timer: &Timer) -> Result<Running<VmFaults>, StandinError> {
        let listen = options.listen;
        let list = Rc::new(Self {
            lag: Millis(options.lag_ms),
            timer: timer.clone(),
            faults: FaultCell::default(),
            history: RefCell::new(History::new(by_id(options.vms))),
        });
        start(&list, listen, timer)
    }

    fn serve(&self, call: &Call) -> Result<Reply, Refusal> {
        let vm = call.path.strip_prefix("/v1/vms/").filter(|v| !v.is_empty());
        match (&call.method, vm) {
            (&Method::GET, None) if call.path == LIST => Ok(self.list(call)),
            (&Method::PUT, None) if call.path == LIST => {
                let whole = call.json::<Whole>()?;
                Ok(self.change(|vms| *vms = by_id(whole.vms)))
            }
            (&Method::POST, Some(vm)) => {
                let entry = call.json::<VmEntry>()?;
                if entry.vm.as_str() != vm {
                    return Err(error(400, "path and body name different VMs").into());
                }
                Ok(self.change(|vms| {
                    vms.insert(entry.vm.clone(), entry);
                }))
            }
            (&Method::DELETE, Some(vm)) => Ok(self.change(|vms| {
                vms.remove(vm);
            })),
            _ => Err(not_found().into()),
        }
    }

    fn list(&self, call: &Call) -> Reply {
        let region = call.field("region");
        let mut history = self.history.borrow_mut();
        let version = history.at(self.timer.now());
        let wanted = |e: &&VmEntry| region.is_none_or(|r| e.region.as_str() == r);
        let listing = Listing {
            vms: version.vms.values().filter(wanted).collect(),
            version: version.number,
        };
        let tag = tag_of(&listing);
        if call.header(IF_NONE_MATCH.as_str()) == Some(tag.as_str()) {
            return tagged(plain_reply(304, ""), &tag);
        }
        tagged(json_reply(200, &listing), &tag)
    }

    fn change(&self, edit: impl FnOnce(&mut Vms)) -> Reply {
        let now = self.timer.now();
        let mut history = self.history.borrow_mut();
        history.at(now);
        history.change(now + self.lag, edit);
        json_reply(200, &serde_json::json!({}))
    }
}

impl Part for VmList {
    type Faults = VmFaults;

    fn faults(&self) -> &FaultCell<VmFaults> {
        &self.faults
    }

    fn answer(self: Rc<Self>, call: Call) -> Work {
        Box::pin(async move {
            let faults = self.faults.get().clone();
            self.timer
                .sleep(Duration::from_millis(faults.delay_ms))
                .await;
            if faults.down {
                return retry_later(503, "down on request");
            }
            self.serve(&call).unwrap_or_else(|refusal| *refusal)
        })
    }
}

/// Tag of a listing: of its VMs alone, so that changes in other regions don't touch it.
fn tag_of(listing: &Listing<'_>) -> String {
    // Texts and numbers only: it always encodes.
    let vms = serde_json::to_vec(&listing.vms).unwrap_or_default();
    format!("\"{:016x}\"", xxh3_64(&vms))
}

fn tagged(mut reply: Reply, tag: &str) -> Reply {
    if let Ok(value) = HeaderValue::from_str(tag) {
        reply.headers_mut().insert(ETAG, value);
    }
    reply
}

fn by_id(list: Vec<VmEntry>) -> Vms {
    list.into_iter().map(|e| (e.vm.clone(), e)).collect()
}

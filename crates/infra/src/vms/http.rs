//! VM list over HTTP.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use http::HeaderValue;
use pumicecleat_net::Client;

use super::{VmList, Vms, VmsError};
use crate::http::{Exchange, check_name};
use crate::{Local, Peers};

/// Status of an answer that what is held still stands.
const NOT_MODIFIED: u16 = 304;

/// Client of the VM list. It holds the last list of each region asked for, so that one that has not
/// changed costs a head only.
#[derive(Clone)]
pub struct HttpVms {
    exchange: Exchange,
    held: Rc<RefCell<BTreeMap<String, Held>>>,
}

/// A list and its tag.
struct Held {
    etag: HeaderValue,
    list: Rc<VmList>,
}

impl HttpVms {
    /// Client that gives each exchange `timeout`.
    #[must_use]
    pub fn new(client: &Client, peers: Peers, timeout: Duration) -> Self {
        let exchange = Exchange::new(client, peers, timeout);
        let held = Rc::default();
        Self { exchange, held }
    }

    async fn get_list(&self, region: Option<&str>) -> Result<Rc<VmList>, VmsError> {
        let path = match region {
            Some(region) => {
                check_name(region, &self.exchange.peers)?;
                format!("/v1/vms?region={region}")
            }
            None => "/v1/vms".to_owned(),
        };
        let etag = self.held.borrow().get(&path).map(|h| h.etag.clone());
        let answer = self.exchange.get_unless(&path, etag.as_ref()).await?;
        if answer.status == NOT_MODIFIED
            && let Some(held) = self.held.borrow().get(&path)
        {
            return Ok(Rc::clone(&held.list));
        }
        let etag = answer.etag.clone();
        let list: Rc<VmList> = Rc::new(answer.decode()?);
        self.hold(path, etag, &list);
        Ok(list)
    }

    fn hold(&self, path: String, etag: Option<HeaderValue>, list: &Rc<VmList>) {
        let mut held = self.held.borrow_mut();
        let list = Rc::clone(list);
        match etag {
            Some(etag) => drop(held.insert(path, Held { etag, list })),
            None => drop(held.remove(&path)),
        }
    }
}

impl Vms for HttpVms {
    fn list<'a>(&'a self, region: Option<&'a str>) -> Local<'a, Result<Rc<VmList>, VmsError>> {
        Box::pin(self.get_list(region))
    }
}

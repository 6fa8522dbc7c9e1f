//! VM list over HTTP.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use http::HeaderValue;
use pumicecleat_net::Client;

use super::{VmList, Vms, VmsError};
use crate::http::{ServiceClient, check_name};
use crate::{Local, Peers};

/// Status of a response that the cached list is current.
const NOT_MODIFIED: u16 = 304;

/// Client of the VM list. Caches the last list of each requested region, so that an unchanged list is
/// not transferred again.
#[derive(Clone)]
pub struct HttpVms {
    client: ServiceClient,
    cache: Rc<RefCell<BTreeMap<String, CachedList>>>,
}

/// List with its entity tag.
struct CachedList {
    etag: HeaderValue,
    list: Rc<VmList>,
}

impl HttpVms {
    /// Client with a `timeout` for each request.
    #[must_use]
    pub fn new(client: &Client, peers: Peers, timeout: Duration) -> Self {
        let client = ServiceClient::new(client, peers, timeout);
        let cache = Rc::default();
        Self { client, cache }
    }

    async fn get_list(&self, region: Option<&str>) -> Result<Rc<VmList>, VmsError> {
        let path = match region {
            Some(region) => {
                check_name(region, &self.client.peers)?;
                format!("/v1/vms?region={region}")
            }
            None => "/v1/vms".to_owned(),
        };
        let etag = self
            .cache
            .borrow()
            .get(&path)
            .map(|cached| cached.etag.clone());
        let response = self.client.get_if_changed(&path, etag.as_ref()).await?;
        if response.status == NOT_MODIFIED
            && let Some(cached) = self.cache.borrow().get(&path)
        {
            return Ok(Rc::clone(&cached.list));
        }
        let etag = response.etag.clone();
        let list: Rc<VmList> = Rc::new(response.decode()?);
        self.update_cache(path, etag, &list);
        Ok(list)
    }

    fn update_cache(&self, path: String, etag: Option<HeaderValue>, list: &Rc<VmList>) {
        let mut cache = self.cache.borrow_mut();
        let list = Rc::clone(list);
        match etag {
            Some(etag) => drop(cache.insert(path, CachedList { etag, list })),
            None => drop(cache.remove(&path)),
        }
    }
}

impl Vms for HttpVms {
    fn list<'a>(&'a self, region: Option<&'a str>) -> Local<'a, Result<Rc<VmList>, VmsError>> {
        Box::pin(self.get_list(region))
    }
}

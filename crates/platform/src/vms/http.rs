//! VM list over HTTP.

use std::time::Duration;

use pumicecleat_net::Client;

use super::{VmList, Vms, VmsError};
use crate::http::{Exchange, check_name};
use crate::{Local, Peers};

/// Client of the VM list.
#[derive(Clone)]
pub struct HttpVms {
    exchange: Exchange,
}

impl HttpVms {
    /// Client that gives each exchange `timeout`.
    #[must_use]
    pub fn new(client: &Client, peers: Peers, timeout: Duration) -> Self {
        let exchange = Exchange::new(client, peers, timeout);
        Self { exchange }
    }

    async fn get_list(&self, region: Option<&str>) -> Result<VmList, VmsError> {
        let path = match region {
            Some(region) => {
                check_name(region, &self.exchange.peers)?;
                format!("/v1/vms?region={region}")
            }
            None => "/v1/vms".to_owned(),
        };
        let answer = self.exchange.get(&path, Duration::ZERO).await?;
        Ok(answer.decode()?)
    }
}

impl Vms for HttpVms {
    fn list<'a>(&'a self, region: Option<&'a str>) -> Local<'a, Result<VmList, VmsError>> {
        Box::pin(self.get_list(region))
    }
}

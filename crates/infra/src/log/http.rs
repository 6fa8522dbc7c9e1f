//! Log service over HTTP.

use std::time::Duration;

use pumicecleat_net::Client;
use pumicecleat_types::LogRecord;
use serde::{Deserialize, Serialize};
use serde_with::base64::Base64;
use serde_with::serde_as;

use super::{AppendError, Appended, Batch, Log, ReadError};
use crate::http::{ServiceClient, check_name};
use crate::{Local, Peers, RequestError};

/// Status of a read from a trimmed offset.
const GONE: u16 = 410;

/// Client of the log service.
#[derive(Clone)]
pub struct HttpLog {
    client: ServiceClient,
}

#[serde_as]
#[derive(Serialize)]
struct AppendBody {
    #[serde_as(as = "Vec<Base64>")]
    records: Vec<Vec<u8>>,
}

#[derive(Deserialize)]
struct AppendedBody {
    first: u64,
    at: u64,
}

#[serde_as]
#[derive(Deserialize)]
struct RecordBody {
    offset: u64,
    at: u64,
    #[serde_as(as = "Base64")]
    data: Vec<u8>,
}

#[derive(Deserialize)]
struct BatchBody {
    records: Vec<RecordBody>,
    first: u64,
    next: u64,
}

#[derive(Deserialize)]
struct TrimmedBody {
    first: u64,
    next: u64,
}

impl HttpLog {
    /// Client with a `timeout` for each request, which should be longer than the connect timeout.
    #[must_use]
    pub fn new(client: &Client, peers: Peers, timeout: Duration) -> Self {
        let client = ServiceClient::new(client, peers, timeout);
        Self { client }
    }

    async fn post_records(
        &self,
        stream: &str,
        records: Vec<Vec<u8>>,
    ) -> Result<Appended, RequestError> {
        check_name(stream, &self.client.peers)?;
        let path = format!("/v1/streams/{stream}/records");
        let body = AppendBody { records };
        let response = self.client.post(&path, &body).await?;
        let AppendedBody { first, at } = response.decode()?;
        Ok(Appended { first, at })
    }

    async fn get_records(
        &self,
        stream: &str,
        from: u64,
        max: u32,
        wait: Duration,
    ) -> Result<Batch, ReadError> {
        check_name(stream, &self.client.peers)?;
        let ms = wait.as_millis();
        let path = format!("/v1/streams/{stream}/records?from={from}&max={max}&wait_ms={ms}");
        let response = self.client.get(&path, wait).await?;
        if response.status == GONE {
            let peer = response.peer.clone();
            let TrimmedBody { first, next } = response.decode_any()?;
            return Err(ReadError::Trimmed { peer, first, next });
        }
        Ok(response.decode::<BatchBody>()?.into())
    }
}

impl Log for HttpLog {
    fn append<'a>(
        &'a self,
        stream: &'a str,
        records: Vec<Vec<u8>>,
    ) -> Local<'a, Result<Appended, AppendError>> {
        Box::pin(async move {
            let appended = self.post_records(stream, records).await?;
            Ok(appended)
        })
    }

    fn read<'a>(
        &'a self,
        stream: &'a str,
        from: u64,
        max: u32,
        wait: Duration,
    ) -> Local<'a, Result<Batch, ReadError>> {
        Box::pin(self.get_records(stream, from, max, wait))
    }
}

impl From<BatchBody> for Batch {
    fn from(body: BatchBody) -> Self {
        Self {
            records: body.records.into_iter().map(LogRecord::from).collect(),
            first: body.first,
            next: body.next,
            era: None,
        }
    }
}

impl From<RecordBody> for LogRecord {
    fn from(body: RecordBody) -> Self {
        Self {
            offset: body.offset,
            at: body.at,
            data: body.data,
        }
    }
}

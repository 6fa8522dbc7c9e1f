//! Requests of a command to a process.

use std::time::Duration;

use bytes::Bytes;
use pumicecleat_net::{Client, ClientOptions, Timer};
use serde::de::DeserializeOwned;
use snafu::ResultExt;

use crate::error::{AskSnafu, CliError, DumpSnafu};

const SPAN: Duration = Duration::from_secs(5);
const LIMIT: u64 = 256 << 20;

/// Whole state of the process whose admin listener is at `peer`.
pub(crate) async fn ask_dump<T: DeserializeOwned>(peer: &str) -> Result<T, CliError> {
    let timer = Timer::start();
    let client = Client::new_ext(ClientOptions::default(), &timer);
    let mut request = http::Request::new(Bytes::new());
    *request.uri_mut() = http::Uri::from_static("/dump");
    let mut response = client.send(peer, request, SPAN).await.context(AskSnafu)?;
    let body = response.read(LIMIT, SPAN).await.context(AskSnafu)?;
    serde_json::from_slice(&body).context(DumpSnafu { peer })
}

//! Exchanges between our own processes: `MessagePack` bodies over HTTP.

use std::time::Duration;

use bytes::Bytes;
use pumicecleat_types::{decode, encode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;

use crate::error::{DecodeSnafu, StatusSnafu};
use crate::{Client, NetError};

/// Longest answer of an exchange that may bring a whole configuration, bytes.
const ANSWER_LIMIT: u64 = 64 << 20;

/// Longest answer of an exchange that brings what changes, bytes. Bounds what many faulty peers can have a process hold.
pub const SHORT_ANSWER: u64 = 1 << 20;

/// Posts `message` to `path` at `peer` and gives its answer.
///
/// # Errors
/// [`NetError`], with the step at which the exchange failed.
pub async fn post<M: Serialize, A: DeserializeOwned>(
    client: &Client,
    peer: &str,
    path: &str,
    message: &M,
    span: Duration,
) -> Result<A, NetError> {
    post_ext(client, peer, path, message, span, ANSWER_LIMIT).await
}

/// The same with an answer of at most `limit` bytes.
///
/// # Errors
/// [`NetError`], with the step at which the exchange failed.
pub async fn post_ext<M: Serialize, A: DeserializeOwned>(
    client: &Client,
    peer: &str,
    path: &str,
    message: &M,
    span: Duration,
    limit: u64,
) -> Result<A, NetError> {
    let request = peer_request(path, encode(message));
    let mut response = client.send(peer, request, span).await?;
    let status = response.status();
    if status != 200 {
        return StatusSnafu { peer, status }.fail();
    }
    let body = response.read(limit, span).await?;
    decode(&body).context(DecodeSnafu { peer })
}

pub(crate) fn peer_request(path: &str, body: Vec<u8>) -> http::Request<Bytes> {
    let mut request = http::Request::new(Bytes::from(body));
    *request.method_mut() = http::Method::POST;
    *request.uri_mut() = path.parse().unwrap_or_default();
    request
}

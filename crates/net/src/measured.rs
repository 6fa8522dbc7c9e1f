//! Answers to callers of HTTP/1.0, which know no chunks.
//!
//! Such an answer ends with its length or with its connection, and a connection that ends early looks the
//! same. So a streamed one is collected, and sent with its length or not at all.

use bytes::Bytes;
use futures_util::StreamExt;

use crate::memory::{Buffer, MemoryBudget};
use crate::{Body, ByteStream, Reply, plain_reply};

/// Longest streamed answer that is collected, bytes.
const LIMIT: usize = 1024 * 1024;

/// `reply` with its length, or 502 if it breaks off, is over the limit or finds no memory.
pub(crate) async fn measured(reply: Reply, budget: &MemoryBudget) -> Reply {
    let (head, body) = reply.into_parts();
    let Body::Stream(stream) = body else {
        return Reply::from_parts(head, body);
    };
    match collect(stream, budget).await {
        Some(bytes) => Reply::from_parts(head, Body::whole(bytes)),
        None => plain_reply(502, "no whole answer; a stream wants HTTP/1.1\n"),
    }
}

async fn collect(mut stream: ByteStream, budget: &MemoryBudget) -> Option<Bytes> {
    let mut buffer = Buffer::new_ext(budget, LIMIT);
    while let Some(piece) = stream.next().await {
        let piece = piece.ok()?;
        if buffer.len() + piece.len() > LIMIT || !buffer.try_push(&piece) {
            return None;
        }
    }
    Some(buffer.freeze())
}

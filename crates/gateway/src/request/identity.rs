//! What makes two tries the same request.
//!
//! Host, path with its query, caller and body do; ids, deadlines and all else that changes with a try
//! don't. The digest is a cryptographic one, so that nobody can make a request that is taken for
//! another caller's: half of SHA-256 leaves a chance of 2^-128 for a pair, and a forger's work of 2^128.

use http::header::AUTHORIZATION;
use http::request::Parts;
use pumicecleat_types::Fingerprint;
use sha2::{Digest, Sha256};

use super::head::host;

/// Fingerprint of a request. The caller is known by its credentials only: one and the same has many
/// addresses.
pub(super) fn fingerprint(head: &Parts, body: &[u8]) -> Fingerprint {
    let path = head.uri.path_and_query().map_or("/", |p| p.as_str());
    let credentials = head.headers.get(AUTHORIZATION);
    let caller = credentials.map_or(&b""[..], |c| c.as_bytes());
    let mut digest = Sha256::new();
    for part in [host(head).as_bytes(), path.as_bytes(), caller, body] {
        digest.update((part.len() as u64).to_be_bytes());
        digest.update(part);
    }
    let mut bytes = [0; 16];
    bytes.copy_from_slice(&digest.finalize()[..16]);
    Fingerprint(bytes)
}

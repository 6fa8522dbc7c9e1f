//! Fingerprints that identify repeated attempts of the same request, and parts of prompts that requests share.
//!
//! That of a request covers host, path with query, caller and body; request IDs, deadlines and everything else that
//! changes between attempts is excluded. That of a part covers its ID alone. The digest is cryptographic, so that
//! nobody can forge a request with another caller's fingerprint: half of SHA-256 leaves a collision chance of 2^-128
//! for a pair, and a forger needs 2^128 attempts.

use http::header::AUTHORIZATION;
use http::request::Parts;
use pumicecleat_types::Fingerprint;
use sha2::{Digest, Sha256};

use super::authenticate::Caller;
use super::hop_headers::host;

/// Fingerprint of a request. The caller is identified by its account, or by its credentials where there are no
/// accounts, because one caller may use many addresses.
pub(super) fn fingerprint(head: &Parts, caller: &Caller, body: &[u8]) -> Fingerprint {
    let path = head.uri.path_and_query().map_or("/", |p| p.as_str());
    let caller = match caller {
        Caller::Unmanaged => {
            let credentials = head.headers.get(AUTHORIZATION);
            credentials.map_or(&b""[..], |c| c.as_bytes())
        }
        Caller::Anonymous => b"",
        Caller::Account(account) => account.name.as_bytes(),
    };
    digest([host(head).as_bytes(), path.as_bytes(), caller, body])
}

/// Fingerprint of a part of prompts.
pub(super) fn part_fingerprint(id: &str) -> Fingerprint {
    digest([id.as_bytes()])
}

fn digest<const N: usize>(fields: [&[u8]; N]) -> Fingerprint {
    let mut digest = Sha256::new();
    for field in fields {
        digest.update((field.len() as u64).to_be_bytes());
        digest.update(field);
    }
    let mut bytes = [0; 16];
    bytes.copy_from_slice(&digest.finalize()[..16]);
    Fingerprint(bytes)
}

//! Inputs: valid samples changed in a few places, and now and then random bytes.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Longest input, bytes.
const LENGTH: usize = 8 << 10;

/// Longest input of random bytes.
const RANDOM: usize = 300;

/// One input of so many is random bytes.
const RANDOM_SHARE: u32 = 16;

/// One input of so many is a sample as it is.
const SOUND_SHARE: u32 = 32;

/// Most changes of one input.
const CHANGES: usize = 6;

/// Longest part that a change cuts or doubles, bytes.
const PART: usize = 64;

/// Texts and bytes that parsers treat in a way of their own.
const WORDS: [&[u8]; 30] = [
    b"\n\n",
    b"\r\n",
    b"\r",
    b"data:",
    b"data: [DONE]\n\n",
    b":",
    b",",
    b"{",
    b"}",
    b"[",
    b"]",
    b"[[",
    b"\"",
    b"'''",
    b"\\",
    b"\\ud800",
    b"=",
    b"null",
    b"-1",
    b"1e999",
    b"18446744073709551615",
    b"0.0",
    b"\0",
    b"\xff\xff\xff\xff",
    b"\xc0",
    b"\xc1",
    b"\xdf\xff\xff\xff\xff",
    b"\xdd\xff\xff\xff\xff",
    b"\xc6\xff\xff\xff\xff",
    b"\xe0\xb4\xb5",
];

/// Input number `number` of a target whose valid inputs are `samples`.
///
/// # Panics
/// If there are no samples.
#[must_use]
pub fn draw(samples: &[Vec<u8>], seed: u64, number: u64) -> Vec<u8> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(number);
    if rng.random_range(0..RANDOM_SHARE) == 0 {
        return random_bytes(&mut rng);
    }
    let mut bytes = samples[rng.random_range(0..samples.len())].clone();
    if rng.random_range(0..SOUND_SHARE) != 0 {
        for _ in 0..rng.random_range(1..=CHANGES) {
            change(&mut rng, &mut bytes, samples);
        }
    }
    bytes.truncate(LENGTH);
    bytes
}

fn random_bytes(rng: &mut ChaCha8Rng) -> Vec<u8> {
    let length = rng.random_range(0..RANDOM);
    (0..length).map(|_| rng.random()).collect()
}

fn change(rng: &mut ChaCha8Rng, bytes: &mut Vec<u8>, samples: &[Vec<u8>]) {
    let at = rng.random_range(0..=bytes.len());
    let end = bytes.len().min(at + rng.random_range(0..=PART));
    match rng.random_range(0..8_u32) {
        0 => set(bytes, at, rng.random()),
        1 => flip(bytes, at, rng.random_range(0..8)),
        2 => insert(bytes, at, WORDS[rng.random_range(0..WORDS.len())]),
        3 => drop(bytes.drain(at..end)),
        4 => {
            let part = bytes[at..end].to_vec();
            insert(bytes, at, &part);
        }
        5 => bytes.truncate(at),
        6 => {
            let other = &samples[rng.random_range(0..samples.len())];
            let from = rng.random_range(0..=other.len());
            bytes.truncate(at);
            bytes.extend_from_slice(&other[from..]);
        }
        _ => move_digit(bytes, at, rng.random_range(b'0'..=b'9')),
    }
}

fn set(bytes: &mut [u8], at: usize, value: u8) {
    if let Some(byte) = bytes.get_mut(at) {
        *byte = value;
    }
}

fn flip(bytes: &mut [u8], at: usize, bit: u32) {
    if let Some(byte) = bytes.get_mut(at) {
        *byte ^= 1 << bit;
    }
}

fn insert(bytes: &mut Vec<u8>, at: usize, part: &[u8]) {
    bytes.splice(at..at, part.iter().copied());
}

/// Sets the next digit, which keeps the rest readable.
fn move_digit(bytes: &mut [u8], at: usize, digit: u8) {
    let found = bytes[at..].iter_mut().find(|b| b.is_ascii_digit());
    if let Some(byte) = found {
        *byte = digit;
    }
}

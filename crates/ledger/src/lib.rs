//! At-most-once decisions for calls that may not be repeated, from the order of records in the log.
//!
//! A side owns a [`Ledger`] for its service's stream. To run a call it appends an intent, reads the
//! stream back, and sends the call only if its intent is the first live one for the key. No lease
//! is involved: a side that was paused still owns what it won, and nobody else can have won it.
//!
//! Nothing here does I/O or reads a clock. The side that drives it appends what
//! [`Ledger::admit`] and [`Ledger::pending_records`] give, and passes each record of the stream, in order, to
//! [`Ledger::apply`]. Lost append replies need no care: what counts is what is read back.
//!
//! ```
//! use pumicecleat_ledger::{
//!     Admission, RecordedResponse, Call, Digest, Event, Key, Ledger, Limits, Outcome, Owner, Record, OffsetRange,
//! };
//! use pumicecleat_types::{LogRecord, Millis};
//!
//! let limits = Limits::new(Millis(3_600_000), Millis(60_000), Millis(7_200_000)).unwrap();
//! let owner = Owner { vm: "booking-1".into(), incarnation: 1 };
//! let mut ledger = Ledger::new(owner, limits, OffsetRange { first: 0, end: 0 });
//!
//! let key = Key::parse(&"csillagkapu".into(), "seat-41").unwrap();
//! let digest = Digest::of_call("POST", "/holds", b"{\"seat\":41}");
//! let call = Call { key: &key, digest, now: Millis(1_000), deadline: Millis(6_000) };
//! let Admission::Claim(intent) = ledger.admit(&call) else { panic!("a new key is free") };
//!
//! // The driver appends the intent, in a batch with others, and reads it back.
//! let data = Record::encode_batch(&[Record::Intent(intent)]);
//! let events = ledger.apply(&LogRecord { offset: 0, at: 1_004, data });
//! let [Event::Won(won)] = &events[..] else { panic!("it was first") };
//!
//! // Just before the first byte goes to the upstream:
//! let sent = ledger.mark_sent(won.clone(), Millis(1_005)).unwrap();
//! let response = RecordedResponse::new(201, Vec::new(), b"held", 4_096);
//! let record = ledger.finish(sent, Outcome::Response(response.clone())).unwrap().clone();
//! let data = Record::encode_batch(&[record]);
//! ledger.apply(&LogRecord { offset: 1, at: 1_050, data });
//!
//! // A repeat gets the recorded answer, from this side or any other.
//! let again = Call { now: Millis(2_000), deadline: Millis(7_000), ..call };
//! assert_eq!(ledger.admit(&again), Admission::Replay(&Outcome::Response(response)));
//! ```

mod digest;
mod key;
mod ledger;
mod limits;
mod record;

pub use digest::Digest;
pub use key::{Key, KeyError, MAX_KEY_BYTES};
pub use ledger::{
    Admission, AttemptDump, Call, Dump, Event, Ledger, NotRunProof, OffsetRange, SendPermit,
    SentAttempt, StepError, Verdict,
};
pub use limits::{LimitError, Limits};
pub use record::{Abandon, Attempt, Body, Done, Intent, Outcome, Owner, Record, RecordedResponse};

//! At-most-once execution of calls, decided by the order of records in a shared log.
//!
//! A side is the process beside a service instance, and has a [`Ledger`] for the service's stream.
//! To run a call, the side appends an intent, reads the stream back, and sends the call only if its
//! intent is the first live one for the key. There are no leases: a side that was paused still
//! holds the claims it won, and no other side can have won them.
//!
//! This crate does no I/O and reads no clock. The side appends the records that [`Ledger::admit`]
//! and [`Ledger::pending_records`] return, and passes each record of the stream, in order, to
//! [`Ledger::apply`]. Lost replies to appends need no handling, because only the records read back
//! count.
//!
//! ```
//! use pumicecleat_ledger::{
//!     Admission, Call, Digest, Event, Key, Ledger, Limits, OffsetRange, Outcome, Owner, Record,
//!     RecordedResponse,
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
//! // The side appends the intent, possibly in a batch with others, and reads it back.
//! let data = Record::encode_batch(&[Record::Intent(intent)]);
//! let events = ledger.apply(&LogRecord { offset: 0, at: 1_004, data });
//! let [Event::Won(permit)] = &events[..] else { panic!("its intent is the first") };
//!
//! // Called just before the first byte goes to the upstream.
//! let sent = ledger.mark_sent(permit.clone(), Millis(1_005)).unwrap();
//! let response = RecordedResponse::new(201, Vec::new(), b"held", 4_096);
//! let record = ledger.finish(sent, Outcome::Response(response.clone())).unwrap().clone();
//! let data = Record::encode_batch(&[record]);
//! ledger.apply(&LogRecord { offset: 1, at: 1_050, data });
//!
//! // A retry gets the recorded response, from this side or any other.
//! let retry = Call { now: Millis(2_000), deadline: Millis(7_000), ..call };
//! assert_eq!(ledger.admit(&retry), Admission::Replay(&Outcome::Response(response)));
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

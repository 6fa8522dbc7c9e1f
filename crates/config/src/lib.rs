//! Declarative configuration: parsing, validation, comparison, and the fold over the log that
//! determines which configuration is in force.
//!
//! [`parse`] builds one [`model::Config`] from several TOML files, or reports all faults by file,
//! line and field. [`diff`] and [`Delta`] describe how two configurations differ, and [`digest`]
//! is the same for equal ones. A [`Change`] carries a delta through the platform's log; every
//! reader has a [`Fold`], and all folds reach the same [`Verdict`].
//!
//! ```
//! use pumicecleat_config::{Change, ChangeId, Fold, FoldEvent, Record, Source, parse};
//! use pumicecleat_types::LogRecord;
//!
//! let file = b"[base.malayalam-7b]
//! context = 8192
//! [adapter.sowing]
//! base = 'malayalam-7b'
//! version.v1.path = 'sowing/v1'";
//! let name = "kerala.toml";
//! let config = parse(&[Source { name, bytes: file }]).unwrap();
//!
//! let mut fold = Fold::new();
//! let id = ChangeId::try_from("first".to_owned()).unwrap();
//! let change = Change::new(id, fold.revision(), fold.config(), &config, "asha");
//! let data = Record::Change(Box::new(change)).to_bytes();
//! let event = fold.apply(&LogRecord { offset: 0, at: 0, data }).unwrap();
//! assert!(matches!(event, FoldEvent::Accepted { revision: 1, .. }));
//! assert_eq!(fold.config(), &config);
//! ```

mod check;
mod delta;
mod diff;
mod digest;
mod fault;
mod fold;
mod key;
pub mod model;
mod parse;
mod state;

pub use check::check;
pub use delta::{Delta, DeltaError};
pub use diff::{Difference, diff};
pub use digest::{Digest, digest};
pub use fault::{Fault, Faults, Place, Problem};
pub use fold::{
    Change, ChangeId, ChangeIdError, DueReason, DueSnapshot, Fold, FoldEvent, GapError, Record,
    RecordError, RefusalCause, SettledChange, Snapshot, SnapshotError, SnapshotProgress,
    SnapshotRejection, SnapshotScan, VERDICT_WINDOW, Verdict,
};
pub use key::{KeyIndex, hash_key};
pub use parse::{Source, parse};

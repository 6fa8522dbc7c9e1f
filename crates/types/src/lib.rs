//! Ids, units and the messages that the processes of pumicecleat exchange.
//!
//! Every message between an entry, a side and the operators' command-line tool has a type here.
//! [`encode`] and [`decode`] convert it to and from `MessagePack`. Code without I/O takes the current
//! time as a [`Millis`] argument.
//!
//! ```
//! use pumicecleat_types::{Lora, decode, encode};
//!
//! let lora = Lora::new("malayalam-7b", "sowing", "v3");
//! assert_eq!(lora.engine_name(), "sowing@v3");
//! let bytes = encode(&lora);
//! assert_eq!(decode::<Lora>(&bytes).unwrap(), lora);
//! ```

mod codec;
mod fingerprint;
mod id;
mod lora;
mod message;
mod position;
mod time;

pub use codec::{CodecError, decode, decode_prefix, encode};
pub use fingerprint::Fingerprint;
pub use id::{
    AdapterId, BaseId, CallerId, DataCentre, PoolId, RegionId, RequestId, ServiceId,
    SoftwareVersion, VersionId, VmId,
};
pub use lora::Lora;
pub use message::{
    AllowanceAsk, AllowanceCall, AllowanceOutcome, AllowanceReply, BidRequest, BidRequestReply,
    CachedAdapters, CandidatesCall, CandidatesReply, ChangeCursor, ChangedRecord, ConfigCall,
    ConfigReply, EndRead, EngineFigures, EngineTraits, FiguresCall, FiguresReply, Frame,
    HeaderField, LimitNews, LoadBid, LoadFigures, LoadTurn, LogRecord, MAX_VIEW_BYTES, Member,
    ModelTarget, OriginCall, OriginReply, Ran, Reachability, ReadPositions, Reason, Refusal,
    Report, ReportReply, RunHead, RunNews, RunRequest, ServiceTarget, StreamChanges, StreamMarks,
    StreamOrigin, StreamsReply, SuspectKey, SuspectKind, SuspectNews, SuspectReport, Target, Trial,
    TrialCall, TrialReply, Turn, TurnAsk, TurnCall, TurnRefusal, TurnReply, UpstreamEnd, ViewCall,
    ViewReply, ViewRow, Viewer, VmEntry, VmRole, VmState,
};
pub use position::Position;
pub use time::{BootTime, Millis};

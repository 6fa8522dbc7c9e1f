//! Messages between processes, one module per kind of exchange.

mod allowance;
mod changes;
mod config;
mod load;
mod origin;
mod report;
mod run;
mod suspect;
mod turn;
mod view;
mod vm;

pub use allowance::{AllowanceAsk, AllowanceCall, AllowanceOutcome, AllowanceReply};
pub use changes::{ChangedRecord, ReadPositions, StreamChanges, StreamsReply};
pub use config::{ConfigCall, ConfigReply, LogRecord};
pub use load::{BidRequest, BidRequestReply, LoadBid, LoadTurn};
pub use origin::{OriginCall, OriginReply, StreamOrigin};
pub use report::{LoadFigures, Report, ReportReply};
pub use run::{
    Frame, HeaderField, ModelTarget, Ran, Reason, Refusal, RunHead, RunRequest, ServiceTarget,
    Target,
};
pub use suspect::{
    SuspectKey, SuspectKind, SuspectNews, SuspectReport, Trial, TrialCall, TrialReply, UpstreamEnd,
};
pub use turn::{
    CachedAdapters, EndRead, EngineFigures, EngineTraits, LimitNews, RunNews, StreamMarks, Turn,
    TurnAsk, TurnCall, TurnRefusal, TurnReply,
};
pub use view::{
    CandidatesCall, CandidatesReply, ChangeCursor, FiguresCall, FiguresReply, MAX_VIEW_BYTES,
    Member, Reachability, ViewCall, ViewReply, ViewRow, Viewer,
};
pub use vm::{VmEntry, VmRole, VmState};

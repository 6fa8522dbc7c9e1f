//! Messages between processes, one file per exchange.

mod config;
mod load;
mod report;
mod run;
mod suspect;
mod turn;
mod view;
mod vm;

pub use config::{ConfigAsk, ConfigReply, LogRecord};
pub use load::{LoadBid, LoadCall, LoadCalled, LoadTurn};
pub use report::{LoadFigures, Report, ReportReply};
pub use run::{
    Frame, HeaderField, ModelTarget, Ran, Reason, Refusal, RunHead, RunRequest, ServiceTarget,
    Target,
};
pub use suspect::{SuspectNews, SuspectWord, Trial, TrialCall, TrialReply, UpstreamEnd};
pub use turn::{
    EngineFigures, EngineTraits, KeptAdapters, LimitNews, ListRead, RunNews, StreamMarks, Turn,
    TurnAsk, TurnCall, TurnRefusal, TurnReply,
};
pub use view::{
    FiguresCall, FiguresReply, Member, Reach, Seen, ViewCall, ViewReply, ViewRow, Viewer,
};
pub use vm::{VmEntry, VmRole, VmState};

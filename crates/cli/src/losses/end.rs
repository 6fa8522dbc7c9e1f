//! The end of one request, as its gateway logged it.

use std::collections::BTreeSet;

use crate::line::Line;

/// Lowest status by which an upstream tells that it failed.
const SERVER_ERROR: i64 = 500;

/// Group in which a request is counted.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Group {
    pub(super) route: String,
    pub(super) account: String,
    pub(super) centre: String,
}

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Outcome {
    OnTime,
    Late,
    Refused,
    Failed,
}

/// A turn at an engine, as its agent logged it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Turn {
    pub(super) waited_ms: i64,
    /// State of the adapter at the engine.
    pub(super) hold: String,
}

impl Turn {
    /// Turn that `line` tells of.
    pub(super) fn read(line: &Line) -> Self {
        Self {
            waited_ms: line.waited_ms(),
            hold: line.text("hold").unwrap_or_default().to_owned(),
        }
    }
}

/// Times of a response that was forwarded.
#[derive(Debug)]
struct Response {
    status: i64,
    is_whole: bool,
    first_ms: i64,
    turn_ms: i64,
    /// 0 if nothing is declared.
    objective_ms: i64,
    pause_ms: i64,
    /// 0 if nothing is declared.
    pause_limit_ms: i64,
}

#[derive(Debug)]
enum Kind {
    PassedOn(Response),
    TurnedDown { reason: String },
    Unsettled,
    CallerLeft,
}

/// The end of one request.
#[derive(Debug)]
pub(super) struct End {
    pub(super) time_ms: i64,
    pub(super) request: String,
    pub(super) group: Group,
    /// Whether the line names an objective; lines of older gateways don't.
    pub(super) has_objective: bool,
    fingerprint: String,
    kind: Kind,
}

/// Whether `code` is the number of an event that ends a request.
pub(super) fn is_end(code: &str) -> bool {
    matches!(code, "E7101" | "E7102" | "E7103" | "E7105")
}

impl End {
    /// End that `line` tells of; `None` if a field is missing without which it can't be counted.
    pub(super) fn read(line: &Line) -> Option<Self> {
        let kind = match line.code() {
            "E7101" => Kind::PassedOn(Response::read(line)?),
            "E7102" => Kind::TurnedDown {
                reason: line.text("reason")?.to_owned(),
            },
            "E7103" => Kind::Unsettled,
            "E7105" => Kind::CallerLeft,
            _ => return None,
        };
        let text = |name| line.text(name).unwrap_or_default().to_owned();
        Some(Self {
            time_ms: line.time_ms,
            request: line.request().unwrap_or_default().to_owned(),
            group: Group {
                route: line.text("route")?.to_owned(),
                account: text("account"),
                centre: data_centre(&line.origin).to_owned(),
            },
            has_objective: line.number("objective_ms").is_some(),
            fingerprint: text("fingerprint"),
            kind,
        })
    }

    pub(super) fn outcome(&self) -> Outcome {
        match &self.kind {
            Kind::PassedOn(response) => response.outcome(),
            Kind::TurnedDown { .. } => Outcome::Refused,
            Kind::Unsettled | Kind::CallerLeft => Outcome::Failed,
        }
    }

    /// Main cause why the request was not served on time; `None` if it was. `refused` holds the fingerprints of
    /// earlier refusals.
    pub(super) fn cause(
        &self,
        turn: Option<&Turn>,
        refused: &mut BTreeSet<String>,
    ) -> Option<String> {
        match &self.kind {
            Kind::PassedOn(response) => response.cause(turn),
            Kind::TurnedDown { reason } => {
                let is_known = !self.fingerprint.is_empty();
                let is_repeated = is_known && !refused.insert(self.fingerprint.clone());
                Some(if is_repeated {
                    "refused again".to_owned()
                } else {
                    format!("refused: {reason}")
                })
            }
            Kind::Unsettled => Some("unknown outcome".to_owned()),
            Kind::CallerLeft => Some("caller left".to_owned()),
        }
    }
}

impl Response {
    fn read(line: &Line) -> Option<Self> {
        Some(Self {
            status: line.number("status")?,
            is_whole: line.flag("whole")?,
            first_ms: line.number("first_ms")?,
            turn_ms: line.number("turn_ms")?,
            objective_ms: line.number("objective_ms").unwrap_or_default(),
            pause_ms: line.number("pause_ms").unwrap_or_default(),
            pause_limit_ms: line.number("pause_limit_ms").unwrap_or_default(),
        })
    }

    fn is_error(&self) -> bool {
        self.status >= SERVER_ERROR
    }

    fn is_first_late(&self) -> bool {
        self.objective_ms > 0 && self.first_ms > self.objective_ms
    }

    fn is_pause_late(&self) -> bool {
        self.pause_limit_ms > 0 && self.pause_ms > self.pause_limit_ms
    }

    fn outcome(&self) -> Outcome {
        if !self.is_whole || self.is_error() {
            Outcome::Failed
        } else if self.is_first_late() || self.is_pause_late() {
            Outcome::Late
        } else {
            Outcome::OnTime
        }
    }

    fn cause(&self, turn: Option<&Turn>) -> Option<String> {
        if !self.is_whole {
            Some("cut".to_owned())
        } else if self.is_error() {
            Some(format!("status {} of the upstream", self.status))
        } else if self.is_first_late() {
            Some(self.first_cause(turn))
        } else {
            self.is_pause_late()
                .then(|| "late: pause between events".to_owned())
        }
    }

    /// Why the first event was late: the larger part of its time.
    fn first_cause(&self, turn: Option<&Turn>) -> String {
        let is_engine = turn.is_some() || self.turn_ms > 0;
        if !is_engine {
            return "late: response of the upstream".to_owned();
        }
        if self.first_ms - self.turn_ms > self.turn_ms {
            return "late: prefill at the engine".to_owned();
        }
        match turn.map(|t| t.hold.as_str()) {
            None => "late: wait for a turn, adapter state unknown".to_owned(),
            Some("") => "late: wait for a turn, base model".to_owned(),
            Some(hold) => format!("late: wait for a turn, adapter {hold}"),
        }
    }
}

/// Data centre in the name of a VM such as `edge-bp-a-2`, which names its role, the data centre and a number; the
/// VM if its name has another form.
fn data_centre(origin: &str) -> &str {
    let vm = origin.rsplit('/').next().unwrap_or(origin);
    let Some((role_and_centre, number)) = vm.rsplit_once('-') else {
        return vm;
    };
    let is_number = !number.is_empty() && number.bytes().all(|b| b.is_ascii_digit());
    match role_and_centre.split_once('-') {
        Some((_, centre)) if is_number && !centre.is_empty() => centre,
        _ => vm,
    }
}

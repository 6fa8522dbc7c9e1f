//! Counts of requests by group, outcome and cause, and how they are printed.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use super::end::{End, Group, Outcome, Turn, is_end};
use crate::line::Line;

/// Number of the event of a turn at an engine.
const ENGINE_TURN: &str = "E7205";

/// Name printed for an empty route or account.
const NO_NAME: &str = "(none)";

/// Columns of the table of requests.
const COLUMNS: [&str; 5] = ["requests", "on time", "late", "refused", "failed"];

/// Lines that were read, by what they are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct LineCounts {
    /// Ends of requests that are counted.
    pub(crate) ends: u64,
    turns: u64,
    /// Lines of other events.
    others: u64,
    /// Lines that are not of a log.
    foreign: u64,
    /// Ends of requests that lack a field.
    incomplete: u64,
    /// Ends of requests without an objective, which are counted.
    unjudged: u64,
}

/// Counts of requests by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct OutcomeCounts {
    on_time: u64,
    late: u64,
    refused: u64,
    failed: u64,
}

/// Reader of log lines in any order.
#[derive(Debug, Default)]
pub(crate) struct LossReader {
    ends: Vec<End>,
    /// Longest turn of each request.
    turns: BTreeMap<String, Turn>,
    lines: LineCounts,
}

/// How requests ended, and why those that were not served on time were not.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LossReport {
    groups: BTreeMap<Group, OutcomeCounts>,
    causes: BTreeMap<String, u64>,
    lines: LineCounts,
}

impl LossReader {
    /// Reads a line; what precedes its JSON is skipped.
    pub(crate) fn read_line(&mut self, text: &str) {
        let Some(line) = Line::read(text) else {
            // Empty lines hold nothing that could be lost.
            self.lines.foreign += u64::from(!text.trim().is_empty());
            return;
        };
        if is_end(line.code()) {
            self.read_end(&line);
        } else if line.code() == ENGINE_TURN {
            self.read_turn(&line);
        } else {
            self.lines.others += 1;
        }
    }

    fn read_end(&mut self, line: &Line) {
        let Some(end) = End::read(line) else {
            self.lines.incomplete += 1;
            return;
        };
        self.lines.ends += 1;
        self.lines.unjudged += u64::from(!end.has_objective);
        self.ends.push(end);
    }

    fn read_turn(&mut self, line: &Line) {
        self.lines.turns += 1;
        let Some(request) = line.request().filter(|r| !r.is_empty()) else {
            return;
        };
        let turn = Turn::read(line);
        let longest = self.turns.entry(request.to_owned()).or_insert(turn.clone());
        if turn > *longest {
            *longest = turn;
        }
    }

    /// Counts what was read.
    pub(crate) fn into_report(mut self) -> LossReport {
        let mut report = LossReport {
            lines: self.lines,
            ..LossReport::default()
        };
        let mut refused = BTreeSet::new();
        self.ends.sort_by_key(|e| e.time_ms);
        for end in self.ends {
            let turn = self.turns.get(&end.request);
            if let Some(cause) = end.cause(turn, &mut refused) {
                *report.causes.entry(cause).or_default() += 1;
            }
            let outcome = end.outcome();
            let counts = report.groups.entry(end.group).or_default();
            counts.add(outcome);
        }
        report
    }
}

impl LossReport {
    /// Report of the log lines in `text`.
    #[must_use]
    pub fn read(text: &str) -> Self {
        let mut reader = LossReader::default();
        for line in text.lines() {
            reader.read_line(line);
        }
        reader.into_report()
    }

    pub(crate) fn lines(&self) -> LineCounts {
        self.lines
    }

    /// Rows of the table of requests: all, each route, each of its accounts, each data centre of these.
    fn rows(&self) -> Vec<(String, OutcomeCounts)> {
        let mut sums: BTreeMap<Vec<&str>, OutcomeCounts> = BTreeMap::new();
        for (group, counts) in &self.groups {
            let path = [&group.route, &group.account, &group.centre].map(String::as_str);
            for depth in 0..=path.len() {
                let sum = sums.entry(path[..depth].to_vec()).or_default();
                sum.merge(*counts);
            }
        }
        let rows = sums.into_iter().map(|(path, sum)| (label(&path), sum));
        rows.collect()
    }

    /// Causes with their number, the largest first.
    fn sorted_causes(&self) -> Vec<(&str, u64)> {
        let mut causes: Vec<(&str, u64)> =
            self.causes.iter().map(|(c, n)| (c.as_str(), *n)).collect();
        causes.sort_by_key(|(_, number)| std::cmp::Reverse(*number));
        causes
    }
}

fn label(path: &[&str]) -> String {
    let Some(name) = path.last() else {
        return "all".to_owned();
    };
    let name = if name.is_empty() { NO_NAME } else { name };
    format!("{}{name}", "  ".repeat(path.len()))
}

impl OutcomeCounts {
    fn add(&mut self, outcome: Outcome) {
        let count = match outcome {
            Outcome::OnTime => &mut self.on_time,
            Outcome::Late => &mut self.late,
            Outcome::Refused => &mut self.refused,
            Outcome::Failed => &mut self.failed,
        };
        *count += 1;
    }

    fn merge(&mut self, other: Self) {
        self.on_time += other.on_time;
        self.late += other.late;
        self.refused += other.refused;
        self.failed += other.failed;
    }

    /// Numbers in the order of the columns.
    fn numbers(self) -> [u64; 5] {
        let all = self.on_time + self.late + self.refused + self.failed;
        [all, self.on_time, self.late, self.refused, self.failed]
    }
}

impl fmt::Display for LossReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let head = "route / account / data centre";
        let rows = self.rows();
        let widths = rows.iter().map(|(label, _)| label.chars().count());
        let width = widths.max().unwrap_or_default().max(head.len());
        write!(f, "{head:width$}")?;
        for column in COLUMNS {
            write!(f, "  {column:>8}")?;
        }
        writeln!(f)?;
        for (label, counts) in rows {
            write!(f, "{label:width$}")?;
            for number in counts.numbers() {
                write!(f, "  {number:>8}")?;
            }
            writeln!(f)?;
        }
        let causes = self.sorted_causes();
        if !causes.is_empty() {
            writeln!(f, "\nrequests  main cause")?;
        }
        for (cause, number) in causes {
            writeln!(f, "{number:>8}  {cause}")?;
        }
        writeln!(f, "\n{}", self.lines)
    }
}

impl fmt::Display for LineCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            ends,
            turns,
            others,
            foreign,
            incomplete,
            unjudged,
        } = self;
        write!(
            f,
            "lines: {ends} ends of requests, {turns} turns; passed over: {others} of other events, {foreign} not of a log, \
             {incomplete} ends of requests that lack a field"
        )?;
        if *unjudged > 0 {
            write!(
                f,
                "; {unjudged} ends of requests name no objective and count as never late"
            )?;
        }
        Ok(())
    }
}

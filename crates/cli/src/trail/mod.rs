//! The trail of one request through the logs of several processes.

use std::collections::BTreeMap;

use snafu::{ResultExt, ensure};

use crate::args::TrailArgs;
use crate::error::{CliError, FileSnafu, NoFileSnafu, NoTrailSnafu};
use crate::line::Line;

/// One log line of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// Time since the request arrived at its entry, ms.
    pub at_ms: i64,
    /// What was taken off the process's clock, ms.
    pub skew_ms: i64,
    /// Program and VM.
    pub origin: String,
    /// Number and name of the event.
    pub event: String,
    /// Fields, without the request's id.
    pub fields: String,
}

/// Prints the trail of a request.
pub(crate) fn trail(args: &TrailArgs) -> Result<(), CliError> {
    ensure!(!args.files.is_empty(), NoFileSnafu);
    let mut text = String::new();
    for file in &args.files {
        let bytes = std::fs::read(file).context(FileSnafu { file })?;
        text.push_str(&String::from_utf8_lossy(&bytes));
        text.push('\n');
    }
    let steps = gather(&args.request, &text);
    let (request, files) = (args.request.as_str(), args.files.len());
    ensure!(!steps.is_empty(), NoTrailSnafu { request, files });
    for step in steps {
        let skew = match step.skew_ms {
            0 => String::new(),
            ms => format!(" (clock {ms:+} ms)"),
        };
        let (at, event) = (step.at_ms, step.event);
        println!(
            "{at:>8} ms  {}{skew}  {event}  {}",
            step.origin, step.fields
        );
    }
    Ok(())
}

/// All lines of `request` in `text`, in the order of their time.
///
/// The entry's last line tells how long the request took, and each line of another process is from
/// within that time: where its clock says otherwise, all lines of that process are moved by the least
/// that brings them in.
#[must_use]
pub fn gather(request: &str, text: &str) -> Vec<Step> {
    let lines = text.lines().filter_map(Line::read);
    let mut lines: Vec<Line> = lines.filter(|l| l.request() == Some(request)).collect();
    lines.sort_by_key(|l| l.time_ms);
    let span = lines.iter().rev().find_map(Line::span);
    let (from, to) = span.unwrap_or_else(|| {
        let time = |l: Option<&Line>| l.map_or(0, |l| l.time_ms);
        (time(lines.first()), time(lines.last()))
    });
    let skews = skews(&lines, from, to);
    // An entry's last line is the end, also where another's clock was moved to the same time.
    let mut steps: Vec<(bool, Step)> = lines
        .iter()
        .map(|line| {
            let skew = skews.get(line.origin.as_str()).copied().unwrap_or_default();
            let step = Step {
                at_ms: line.time_ms - skew - from,
                skew_ms: skew,
                origin: line.origin.clone(),
                event: line.event(),
                fields: line.fields(),
            };
            (line.span().is_some(), step)
        })
        .collect();
    steps.sort_by_key(|(end, step)| (step.at_ms, *end));
    steps.into_iter().map(|(_, step)| step).collect()
}

/// What each process's clock is ahead of the entry's, as far as its lines show.
fn skews(lines: &[Line], from: i64, to: i64) -> BTreeMap<&str, i64> {
    let mut spans: BTreeMap<&str, (i64, i64)> = BTreeMap::new();
    for line in lines {
        let (first, last) = (line.time_ms - line.waited_ms(), line.time_ms);
        let span = spans.entry(&line.origin).or_insert((first, last));
        *span = (span.0.min(first), span.1.max(last));
    }
    let skew = |(first, last): (i64, i64)| match (first < from, last > to) {
        (true, _) => first - from,
        (false, true) => last - to,
        (false, false) => 0,
    };
    spans.into_iter().map(|(o, span)| (o, skew(span))).collect()
}

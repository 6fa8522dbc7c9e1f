//! Parsing of an engine's metrics page.

use super::EngineMetrics;

const RUNNING: &str = "vllm:num_requests_running";
const WAITING: &str = "vllm:num_requests_waiting";
const LORAS: &str = "vllm:lora_requests_info";

/// A sample of the page.
struct Sample<'a> {
    name: &'a str,
    labels: &'a str,
    value: f64,
}

/// Parses the page. Returns `None` if the number of running or waiting requests is missing.
pub(crate) fn parse_metrics(page: &str) -> Option<EngineMetrics> {
    let mut running = None;
    let mut waiting = None;
    let mut latest: Option<Sample<'_>> = None;
    for sample in page.lines().filter_map(parse_sample) {
        match sample.name {
            RUNNING => running = Some(running.unwrap_or(0) + to_count(sample.value)),
            WAITING => waiting = Some(waiting.unwrap_or(0) + to_count(sample.value)),
            // The value is the time of the sample; samples with older label sets stay on the page.
            LORAS if latest.as_ref().is_none_or(|l| sample.value >= l.value) => {
                latest = Some(sample);
            }
            _ => {}
        }
    }
    let labels = latest.map_or("", |s| s.labels);
    Some(EngineMetrics {
        requests: running?,
        waiting: waiting?,
        slots: read_label(labels, "max_lora").and_then(|t| t.parse().ok()),
        loras: read_loras(labels),
    })
}

fn parse_sample(line: &str) -> Option<Sample<'_>> {
    if line.starts_with('#') {
        return None;
    }
    let (name, labels, rest) = if let Some((name, rest)) = line.split_once('{') {
        let (labels, rest) = rest.rsplit_once('}')?;
        (name, labels, rest)
    } else {
        let (name, rest) = line.split_once(' ')?;
        (name, "", rest)
    };
    let value = rest.split_whitespace().next()?.parse().ok()?;
    Some(Sample {
        name,
        labels,
        value,
    })
}

fn read_loras(labels: &str) -> Vec<String> {
    let mut loras = Vec::new();
    for name in ["running_lora_adapters", "waiting_lora_adapters"] {
        let list = read_label(labels, name).unwrap_or("");
        let names = list.split(',').map(str::trim).filter(|n| !n.is_empty());
        loras.extend(names.map(str::to_owned));
    }
    loras.sort();
    loras.dedup();
    loras
}

/// Value of a label. The values read here have no quotes, so escapes are not handled.
fn read_label<'a>(labels: &'a str, name: &str) -> Option<&'a str> {
    let start = labels
        .match_indices(name)
        .map(|(at, _)| at)
        .find(|at| is_label_start(labels, *at, name))?;
    let rest = &labels[start + name.len() + 2..];
    rest.split('"').next()
}

fn is_label_start(labels: &str, at: usize, name: &str) -> bool {
    let before = labels[..at].trim_end();
    let after = &labels[at + name.len()..];
    (before.is_empty() || before.ends_with(',')) && after.starts_with("=\"")
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "clamped to the range of counts first"
)]
fn to_count(value: f64) -> u32 {
    value.clamp(0.0, f64::from(u32::MAX)) as u32
}

//! Load figures in the vLLM names, shown with a lag.

use std::collections::VecDeque;

use pumicecleat_types::Millis;

use super::batch::Batch;

/// Figures at one moment.
#[derive(Clone, Default)]
pub(crate) struct Sample {
    running: usize,
    waiting: usize,
    running_loras: String,
    waiting_loras: String,
}

impl Sample {
    /// Figures of `batch` now.
    pub(crate) fn of(batch: &Batch) -> Self {
        let join = |names: std::collections::BTreeSet<&str>| {
            let names: Vec<&str> = names.into_iter().collect();
            names.join(",")
        };
        Self {
            running: batch.running().len(),
            waiting: batch.waiting().len(),
            running_loras: join(batch.running_loras()),
            waiting_loras: join(batch.waiting_loras()),
        }
    }

    /// Text in the Prometheus form.
    pub(crate) fn text(&self, base: &str, slots: usize) -> String {
        let labels = format!("engine=\"0\",model_name=\"{base}\"");
        let loras = format!(
            "running_lora_adapters=\"{}\",waiting_lora_adapters=\"{}\",max_lora=\"{slots}\"",
            self.running_loras, self.waiting_loras
        );
        [
            "# TYPE vllm:num_requests_running gauge".into(),
            format!("vllm:num_requests_running{{{labels}}} {}", self.running),
            "# TYPE vllm:num_requests_waiting gauge".into(),
            format!("vllm:num_requests_waiting{{{labels}}} {}", self.waiting),
            "# TYPE vllm:lora_requests_info gauge".into(),
            format!("vllm:lora_requests_info{{{loras}}} 1"),
            String::new(),
        ]
        .join("\n")
    }
}

/// Figures of the last moments.
#[derive(Default)]
pub(crate) struct Lagging {
    recent: VecDeque<(Millis, Sample)>,
}

impl Lagging {
    /// Adds figures taken at `now`.
    pub(crate) fn push(&mut self, now: Millis, sample: Sample) {
        self.recent.push_back((now, sample));
    }

    /// Newest figures taken at `until` or before, else the oldest.
    pub(crate) fn at(&mut self, until: Millis) -> Sample {
        while self.recent.get(1).is_some_and(|(at, _)| *at <= until) {
            self.recent.pop_front();
        }
        let oldest = self.recent.front();
        oldest.map(|(_, sample)| sample.clone()).unwrap_or_default()
    }
}

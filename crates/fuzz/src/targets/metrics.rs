//! Engines' metrics pages, read over HTTP as the side reads them.

use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, Sender};

use pumicecleat_net::{Client, ClientOptions, Timer, run};
use pumicecleat_upstream::{Engine, EngineMetrics, VllmEngine};

use super::page::{Page, SPAN};
use super::{Broken, Target, require};

/// What the client said of a page: `None` if it could not be read.
type Said = Option<EngineMetrics>;

/// A metrics page.
pub(super) struct MetricsPage(Page<Said>);

impl MetricsPage {
    /// Target with its peer and its client started.
    pub(super) fn start() -> Self {
        Self(Page::start(ask))
    }
}

impl Target for MetricsPage {
    fn name(&self) -> &'static str {
        "metrics"
    }

    fn weight(&self) -> u64 {
        1
    }

    fn samples(&self) -> Vec<Vec<u8>> {
        let page = concat!(
            "# TYPE vllm:num_requests_running gauge\n",
            "vllm:num_requests_running{engine=\"0\",model_name=\"b\"} 3.0\n",
            "vllm:num_requests_waiting{engine=\"0\",model_name=\"b\"} 1.0\n",
            "vllm:lora_requests_info{running_lora_adapters=\"sowing@v3,sky@v1\",",
            "waiting_lora_adapters=\"\",max_lora=\"4\"} 1.7e9\n",
        );
        let short = "vllm:num_requests_running 2\nvllm:num_requests_waiting 0 17\n";
        vec![page.into(), short.into()]
    }

    fn check(&self, input: &[u8]) -> Result<bool, Broken> {
        let Some(metrics) = self.0.read(input)? else {
            return Ok(false);
        };
        let named = metrics.loras.iter().all(|l| !l.is_empty());
        require(named, "a LoRA without a name")?;
        let ordered = metrics.loras.is_sorted_by(|a, b| a < b);
        require(ordered, "LoRAs out of order or twice")?;
        Ok(true)
    }
}

/// Reads the page each time it is asked to.
fn ask(address: SocketAddr, asked: &Receiver<()>, said: &Sender<Said>) {
    let loop_ended = run(async {
        let client = Client::new_ext(ClientOptions::default(), &Timer::start());
        let engine = VllmEngine::new(&client, &address.to_string(), SPAN);
        while asked.recv().is_ok() {
            let metrics = engine.metrics().await.ok();
            if said.send(metrics).is_err() {
                return;
            }
        }
    });
    // Without a loop there are no answers, which each check reports.
    let _ = loop_ended;
}

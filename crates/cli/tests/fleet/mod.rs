//! Real processes on loopback: entries, sides and stand-ins, each killed at the end of its test.
#![allow(dead_code, unused_imports, reason = "each test file uses a part")]

mod folder;
mod http;
mod process;

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::{Duration, Instant};

pub use folder::Folder;
pub use http::{Answer, Live, get, post};
pub use process::{Process, command};

/// Longest wait of any step of a test.
pub const SPAN: Duration = Duration::from_secs(30);

/// Bearer key of the configuration.
pub const KEY: &str = "demo-key";

/// Any free port of loopback.
const ANY: &str = "127.0.0.1:0";

/// Flags that entries and sides share.
const PLACE: &str =
    "--data-centre bp-a --region hu-central --listen 127.0.0.1:0 --admin 127.0.0.1:0";

/// A deployment of real processes.
pub struct Fleet {
    pub log: Process,
    pub store: Process,
    pub vms: Process,
    pub engines: Vec<Process>,
    pub service: Process,
    retention: &'static str,
    traces: Option<PathBuf>,
    pub entries: Vec<Process>,
    pub sides: BTreeMap<String, Process>,
}

/// Sizes of a deployment.
pub struct FleetOptions {
    pub entries: usize,
    pub engines: usize,
    pub engine_args: &'static [&'static str],
    pub log_args: &'static [&'static str],
    /// Time that entries take the log to keep records.
    pub retention: &'static str,
    /// Folder for traces of the entries' and sides' system calls, a file a VM.
    pub traces: Option<PathBuf>,
}

impl Default for FleetOptions {
    fn default() -> Self {
        Self {
            entries: 1,
            engines: 2,
            engine_args: &["--slots", "2", "--batch", "8"],
            log_args: &[],
            retention: "48h",
            traces: None,
        }
    }
}

impl Fleet {
    /// Starts a deployment with the sample configuration, and waits until it is ready.
    pub fn start(options: &FleetOptions) -> Self {
        let mut fleet = Self::start_platform(options);
        fleet.apply_sample();
        for n in 0..options.entries {
            fleet.start_entry(n);
        }
        for n in 0..options.engines {
            fleet.start_engine_side(n);
        }
        fleet.start_service_side("booking-0");
        fleet.until_ready();
        fleet
    }

    fn start_platform(options: &FleetOptions) -> Self {
        let log = Process::standin("log", options.log_args);
        let store = Process::standin("store", &["--load-ms", "100"]);
        let vms = Process::standin("vms", &[]);
        let weights = store.address.clone();
        let mut args = vec!["--base", "hu-base", "--store", &weights];
        args.extend(options.engine_args);
        let engines = (0..options.engines).map(|_| Process::standin("engine", &args));
        let engines = engines.collect();
        Self {
            log,
            store,
            vms,
            engines,
            service: Process::standin("service", &[]),
            retention: options.retention,
            traces: options.traces.clone(),
            entries: Vec::new(),
            sides: BTreeMap::new(),
        }
    }

    fn apply_sample(&self) {
        let file = sample("demo.toml");
        let out = operate(&["apply", "--log", &self.log.address, &file]);
        assert!(out.status.success(), "{out:?}");
    }

    /// Starts entry number `n` and lists its VM.
    pub fn start_entry(&mut self, n: usize) {
        let vm = format!("entry-{n}");
        let peers: Vec<String> = self.entries.iter().map(|e| e.peer.clone()).collect();
        let peers = peers.join(",");
        let (log, vms) = (&self.log.address, &self.vms.address);
        let args = format!(
            "--vm {vm} {PLACE} --peer-listen {ANY} --log {log} --vms {vms} --retention {}",
            self.retention
        );
        let mut args: Vec<&str> = args.split(' ').collect();
        args.extend(["--peers", &peers]);
        let entry = Process::entry(&args, self.trace_of(&vm).as_deref());
        self.list_vm(&vm, "entry", "live", &entry.peer, None);
        self.entries.push(entry);
    }

    /// Starts the side of engine number `n`.
    pub fn start_engine_side(&mut self, n: usize) {
        let vm = format!("engine-{n}");
        let upstream = self.engines[n].address.clone();
        self.start_side(&vm, "engines", &upstream);
    }

    /// Starts a side of the service.
    pub fn start_service_side(&mut self, vm: &str) {
        let upstream = self.service.address.clone();
        self.start_side(vm, "booking", &upstream);
    }

    fn start_side(&mut self, vm: &str, pool: &str, upstream: &str) {
        let (log, vms) = (&self.log.address, &self.vms.address);
        let args = format!(
            "--vm {vm} {PLACE} --slot {ANY} --pool {pool} --upstream {upstream} --log {log} \
             --vms {vms} --stall 1s"
        );
        let args: Vec<&str> = args.split(' ').collect();
        let side = Process::side(&args, self.trace_of(vm).as_deref());
        self.list_vm(vm, "upstream", "live", &side.address, Some(pool));
        self.sides.insert(vm.to_owned(), side);
    }

    fn trace_of(&self, vm: &str) -> Option<PathBuf> {
        let traces = self.traces.as_ref()?;
        Some(traces.join(vm))
    }

    /// Puts a VM on the platform's list.
    pub fn list_vm(&self, vm: &str, role: &str, state: &str, address: &str, pool: Option<&str>) {
        let body = serde_json::json!({
            "vm": vm, "role": role, "state": state, "address": address,
            "centre": "bp-a", "region": "hu-central", "pool": pool,
        });
        let answer = post(
            &self.vms.address,
            &format!("/v1/vms/{vm}"),
            &[],
            &body.to_string(),
        );
        assert_eq!(answer.status, 200, "{answer:?}");
    }

    /// Waits until every entry sees every side healthy, at the newest revision.
    pub fn until_ready(&self) {
        for entry in &self.entries {
            until("an entry sees all sides", || {
                let dump = get(&entry.admin, "/dump").json();
                let revision = dump["config"]["revision"].as_u64().unwrap_or(0);
                let sides = dump["sides"].as_array().cloned().unwrap_or_default();
                let fine = |s: &serde_json::Value| {
                    let vm = s["vm"].as_str().unwrap_or_default();
                    let address = self.sides.get(vm).map(|p| p.address.as_str());
                    s["healthy"] == true
                        && s["revision"] == revision
                        && s["address"].as_str() == address
                };
                revision > 0
                    && dump["ready"] == true
                    && sides.len() == self.sides.len()
                    && sides.iter().all(fine)
            });
        }
    }

    /// Sends a chat request that is not streamed.
    pub fn chat(&self, entry: usize, model: &str, tokens: u32) -> Answer {
        let body = chat_body(model, tokens, false);
        post(
            &self.entries[entry].address,
            "/v1/chat/completions",
            &[],
            &body,
        )
    }

    /// Starts a stream.
    pub fn stream(&self, entry: usize, model: &str, tokens: u32) -> Live {
        let body = chat_body(model, tokens, true);
        Live::post(&self.entries[entry].address, "/v1/chat/completions", &body)
    }

    /// Numbers of the engines that run a request now.
    pub fn running(&self) -> Vec<usize> {
        let is_running = |e: &Process| {
            let effects = get(&e.address, "/effects").json();
            let runs = effects["runs"].as_array().cloned().unwrap_or_default();
            runs.iter().any(|r| r["state"] == "running")
        };
        let engines = self.engines.iter().enumerate();
        engines
            .filter(|(_, e)| is_running(e))
            .map(|(n, _)| n)
            .collect()
    }

    /// Side of engine number `n`.
    pub fn engine_side(&mut self, n: usize) -> &mut Process {
        self.sides.get_mut(&format!("engine-{n}")).unwrap()
    }

    /// Holds a seat.
    pub fn hold(&self, entry: usize, key: &str, body: &str) -> Answer {
        let headers = [("idempotency-key", key)];
        post(&self.entries[entry].address, "/seats/hold", &headers, body)
    }

    /// Times that calls with `key` took effect.
    pub fn effects(&self, key: &str) -> u64 {
        let effects = get(&self.service.address, "/effects").json();
        let rows = effects.as_array().cloned().unwrap_or_default();
        let counts = rows
            .iter()
            .filter(|r| r["key"] == key)
            .filter_map(|r| r["count"].as_u64());
        counts.sum()
    }

    /// Sum over the engines of a counter of theirs.
    pub fn engine_count(&self, counter: &str) -> u64 {
        let effects = self
            .engines
            .iter()
            .map(|e| get(&e.address, "/effects").json());
        effects
            .filter_map(|e| e["counters"][counter].as_u64())
            .sum()
    }
}

/// Runs the operators' command.
pub fn operate(args: &[&str]) -> std::process::Output {
    command("pumicecleat").args(args).output().unwrap()
}

/// Sets faults of a stand-in.
pub fn set_faults(peer: &str, faults: &serde_json::Value) {
    let answer = post(peer, "/faults", &[], &faults.to_string());
    assert_eq!(answer.status, 200, "{answer:?}");
}

/// Body of a chat request.
pub fn chat_body(model: &str, tokens: u32, stream: bool) -> String {
    serde_json::json!({
        "model": model,
        "stream": stream,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": "tonight?"}],
    })
    .to_string()
}

/// Text that an engine gives for [`chat_body`].
pub fn expected_text(lora: &str, tokens: u64) -> String {
    let messages = [pumicecleat_standin::ChatMessage::new("user", "tonight?")];
    pumicecleat_standin::expected_tokens(lora, &messages, 0, tokens).concat()
}

/// Path of a sample file.
pub fn sample(name: &str) -> String {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    root.join("../../examples")
        .join(name)
        .to_string_lossy()
        .into_owned()
}

/// Waits until `holds`.
pub fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + SPAN;
    while !holds() {
        assert!(Instant::now() < end, "never: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

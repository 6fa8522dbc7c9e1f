//! Engines' metrics pages, read over HTTP as the side reads them.
//!
//! A page comes from a peer on loopback over one kept connection; a thread of its own holds the
//! client. A panic ends that thread, which the next answer shows.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use pumicecleat_net::{Client, ClientOptions, Timer, run};
use pumicecleat_upstream::{Engine, Running, VllmEngine};

use super::{Broken, BrokenSnafu, Target, require};

/// Time for one page.
const SPAN: Duration = Duration::from_secs(10);

/// What the client said of a page: `None` if it could not be read.
type Said = Option<Running>;

/// A metrics page.
pub(super) struct MetricsPage {
    page: Arc<Mutex<Vec<u8>>>,
    asks: Sender<()>,
    said: Receiver<Said>,
}

impl MetricsPage {
    /// Target with its peer and its client started.
    pub(super) fn start() -> Self {
        let page = Arc::new(Mutex::new(Vec::new()));
        let (asks, asked) = channel();
        let (sender, said) = channel();
        if let Ok(listener) = TcpListener::bind("127.0.0.1:0")
            && let Ok(address) = listener.local_addr()
        {
            let served = Arc::clone(&page);
            thread::spawn(move || serve(&listener, &served));
            thread::spawn(move || ask(address, &asked, &sender));
        }
        Self { page, asks, said }
    }

    fn read(&self, page: &[u8]) -> Result<Said, Broken> {
        *self.page.lock().unwrap_or_else(PoisonError::into_inner) = page.to_vec();
        // A client that ended shows by its missing answer.
        let _ = self.asks.send(());
        self.said.recv_timeout(SPAN).map_err(|e| {
            let what = format!("no word on the page: {e}");
            BrokenSnafu { what }.build()
        })
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
        let Some(running) = self.read(input)? else {
            return Ok(false);
        };
        let named = running.loras.iter().all(|l| !l.is_empty());
        require(named, "a LoRA without a name")?;
        let ordered = running.loras.is_sorted_by(|a, b| a < b);
        require(ordered, "LoRAs out of order or twice")?;
        Ok(true)
    }
}

/// Answers each request with the page as it is then.
fn serve(listener: &TcpListener, page: &Mutex<Vec<u8>>) {
    for stream in listener.incoming().flatten() {
        // A connection that breaks is followed by another.
        let _ = serve_one(&stream, page);
    }
}

fn serve_one(stream: &TcpStream, page: &Mutex<Vec<u8>>) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut lines = BufReader::new(stream).lines();
    let mut writer = stream;
    while let Some(line) = lines.next().transpose()? {
        if !line.is_empty() {
            continue;
        }
        let body = page.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&body);
        writer.write_all(&bytes)?;
    }
    Ok(())
}

/// Reads the page each time it is asked to.
fn ask(address: SocketAddr, asked: &Receiver<()>, said: &Sender<Said>) {
    let loop_ended = run(async {
        let client = Client::new_ext(ClientOptions::default(), &Timer::start());
        let engine = VllmEngine::new(&client, &address.to_string(), SPAN);
        while asked.recv().is_ok() {
            let running = engine.running().await.ok();
            if said.send(running).is_err() {
                return;
            }
        }
    });
    // Without a loop there are no answers, which each check reports.
    let _ = loop_ended;
}

//! Sides that report, and do nothing else.

use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::time::Duration;

use pumicecleat_net::{
    Client, ClientOptions, Handler, Incoming, Reply, Server, ServerOptions, Timer, bind,
    peer_reply, post, read_all,
};
use pumicecleat_types::{ConfigCall, ConfigReply, ReportReply};

use crate::path::Thread;
use crate::slopes::fleet::report;

const SPAN: Duration = Duration::from_secs(2);

/// Time in which the first reports start.
const SPREAD_MS: u64 = 2_000;

/// Time between two reports to the stand-in.
const WARM_MS: u64 = 500;

/// Time between two asks for the configuration, as a side's.
const ASK: Duration = Duration::from_secs(2);

/// Entries of a region: a side asks each in turn, so that one entry hears one side in so many.
const ENTRIES: u32 = 57;

/// Longest message, bytes.
const LIMIT: u64 = 1 << 20;

/// Sides on a thread of their own.
pub(super) struct Sides {
    shared: Arc<Shared>,
}

/// What the sides share with the measurement.
#[derive(Default)]
struct Shared {
    target: Mutex<String>,
    sent: AtomicU64,
    stopped: AtomicBool,
}

impl Sides {
    /// Starts so many; they report to a stand-in of an entry.
    pub(super) fn start(count: u32) -> Self {
        let shared = Arc::new(Shared::default());
        let held = Arc::clone(&shared);
        Thread::start("sides", move |told| run(count, held, told));
        Self { shared }
    }

    /// Lets them report to the entry at `address`.
    pub(super) fn aim(&self, address: &str) {
        self.shared.set_target(address);
    }

    /// Reports answered so far.
    pub(super) fn sent(&self) -> u64 {
        self.shared.sent.load(Ordering::Relaxed)
    }

    /// Ends all.
    pub(super) fn stop(&self) {
        self.shared.stopped.store(true, Ordering::Relaxed);
    }
}

impl Shared {
    fn set_target(&self, address: &str) {
        if let Ok(mut target) = self.target.lock() {
            address.clone_into(&mut target);
        }
    }

    fn target(&self) -> String {
        self.target.lock().map(|t| t.clone()).unwrap_or_default()
    }

    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }
}

async fn run(count: u32, shared: Arc<Shared>, told: mpsc::Sender<()>) {
    let timer = Timer::start();
    shared.set_target(&start_standin(&timer));
    let client = Client::new_ext(ClientOptions::default(), &timer);
    for side in 0..count {
        let one = Side {
            index: side,
            client: client.clone(),
            shared: Arc::clone(&shared),
        };
        let first = Duration::from_millis(SPREAD_MS * u64::from(side) / u64::from(count));
        let timer = timer.clone();
        monoio::spawn(async move {
            timer.sleep(first).await;
            one.report_on(&timer).await;
        });
    }
    for _ in 0..count / ENTRIES {
        monoio::spawn(ask_on(client.clone(), Arc::clone(&shared), timer.clone()));
    }
    // The starter waits for it.
    let _ = told.send(());
    std::future::pending::<()>().await;
}

/// One side that reports.
struct Side {
    index: u32,
    client: Client,
    shared: Arc<Shared>,
}

impl Side {
    async fn report_on(&self, timer: &Timer) {
        let mut whole = true;
        let mut seq = 0;
        while !self.shared.is_stopped() {
            seq += 1;
            let message = report(self.index, seq, whole);
            let peer = self.shared.target();
            let path = "/peer/v1/report";
            let reply = post::<_, ReportReply>(&self.client, &peer, path, &message, SPAN).await;
            let (next, wanted) =
                reply.map_or((WARM_MS, true), |r| (r.next_ms, r.needs_full_report));
            self.shared.sent.fetch_add(1, Ordering::Relaxed);
            whole = wanted;
            timer.sleep(Duration::from_millis(next)).await;
        }
    }
}

/// Asks for the configuration again and again, with nothing newer to come.
async fn ask_on(client: Client, shared: Arc<Shared>, timer: Timer) {
    let ask = ConfigCall { from: Some(1) };
    while !shared.is_stopped() {
        let peer = shared.target();
        // Whether one is answered shows in the entry's figures only.
        let _ = post::<_, ConfigReply>(&client, &peer, "/peer/v1/config", &ask, SPAN).await;
        timer.sleep(ASK).await;
    }
}

/// Starts a stand-in of an entry on this loop, and gives its address.
fn start_standin(timer: &Timer) -> String {
    let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    let handler = Rc::new(Standin(timer.clone()));
    let server = Server::new_ext(ServerOptions::default(), handler, timer);
    monoio::spawn(async move { server.serve(listener).await });
    address
}

/// Asks every side to come back soon.
struct Standin(Timer);

impl Handler for Standin {
    fn handle(&self, mut request: Incoming, _: SocketAddr) -> Pin<Box<dyn Future<Output = Reply>>> {
        let timer = self.0.clone();
        Box::pin(async move {
            // What came does not matter.
            let _ = read_all(request.body_mut(), LIMIT, SPAN, &timer).await;
            peer_reply(&ReportReply {
                next_ms: WARM_MS,
                revision: 1,
                needs_full_report: true,
            })
        })
    }
}

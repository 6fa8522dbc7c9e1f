//! A daemon that uses all parts of this crate. It answers each request with a stream of `ticks`
//! chunks.

use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use pumicecleat_net::{
    Body, Handler, Incoming, Reply, Server, ServerOptions, Timer, bind, json_reply, run,
};
use pumicecleat_ops::{
    Admin, Counter, Drain, DrainOutcome, Dump, HumanDuration, Log, Metrics, Readiness, Settings,
    Stop, events, field, settings,
};
use serde_json::{Value, json};

settings! {
    /// Answers each request with a stream of chunks.
    pub struct TickSettings {
        /// address for callers
        listen: SocketAddr = "127.0.0.1:0", "ip:port";
        /// chunks in a response
        ticks: u32 = "10", "pieces";
        /// time between chunks
        pace: HumanDuration = "20ms", "span";
    }
}

const PROGRAM: &str = "ticker";

/// Longest wait until the last bytes of the responses are sent.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

struct Ticker {
    settings: TickSettings,
    timer: Timer,
    drain: Drain,
    stop: Stop,
    last_request: Cell<u64>,
    requests: Counter,
}

impl Handler for Ticker {
    fn handle(&self, _: Incoming, _: SocketAddr) -> Pin<Box<dyn Future<Output = Reply>>> {
        if self.stop.is_requested() {
            let rejection = json_reply(503, &json!({ "code": "leaving", "ran": "no" }));
            return Box::pin(std::future::ready(rejection));
        }
        self.requests.inc();
        self.last_request.set(self.last_request.get() + 1);
        let request = format!("request-{}", self.last_request.get()).into();
        let guard = self.drain.track(&request);
        let timer = self.timer.clone();
        let TickSettings { ticks, pace, .. } = self.settings;
        let chunks = stream::unfold((0, guard), move |(n, guard)| {
            let timer = timer.clone();
            async move {
                timer.sleep(pace.0).await;
                let chunk = Bytes::from(format!("{n};"));
                (n < ticks).then_some((Ok(chunk), (n + 1, guard)))
            }
        });
        let reply = Reply::new(Body::Stream(Box::pin(chunks)));
        Box::pin(std::future::ready(reply))
    }
}

impl Dump for Ticker {
    fn dump(&self) -> Value {
        json!({ "open": self.drain.in_flight(), "requests": self.requests.get() })
    }
}

fn main() -> ExitCode {
    let settings = match TickSettings::from_process(PROGRAM) {
        Ok(settings) => settings,
        Err(exit) => return exit.report(PROGRAM),
    };
    let log = Log::new_ext(&settings.common.log_options(PROGRAM));
    match run(serve(settings, log)) {
        Ok(status) => status,
        Err(_) => ExitCode::FAILURE,
    }
}

async fn serve(settings: TickSettings, log: Log) -> ExitCode {
    log.emit(&events::STARTED, &[field("program", PROGRAM)]);
    let timer = Timer::start();
    let Ok(stop) = Stop::listen() else {
        return ExitCode::FAILURE;
    };
    let metrics = Metrics::new();
    let readiness = Readiness::new(&["listening"], &log);
    let drain = Drain::new();
    let (listen, admin) = (settings.listen, settings.common.admin);
    let limit = settings.common.drain_limit;
    let ticker = Rc::new(Ticker {
        settings,
        timer: timer.clone(),
        drain: drain.clone(),
        stop: stop.clone(),
        last_request: Cell::new(0),
        requests: metrics.counter("ticker_requests", "Requests"),
    });
    let admin_handler = Rc::new(Admin::new(&metrics, &readiness, ticker.clone()));
    let Some(_admin) = start_server("admin", admin, admin_handler, &timer, &log) else {
        return ExitCode::FAILURE;
    };
    let Some(callers) = start_server("callers", listen, ticker, &timer, &log) else {
        return ExitCode::FAILURE;
    };
    readiness.set_met("listening");

    stop.requested().await;
    log.emit(&events::STOP_ASKED, &[field("source", "signal")]);
    readiness.set_unmet("listening", "stopping");
    let outcome = drain.finish(&stop, limit, &timer, &log).await;
    callers.stop();
    // The last bytes of finished responses may not be written to the sockets yet.
    let _ = timer.within(CLOSE_TIMEOUT, callers.closed()).await;
    log.emit_and_flush(&events::STOPPED, &[field("cut", outcome.aborted().len())]);
    match outcome {
        DrainOutcome::Finished => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}

fn start_server(
    purpose: &str,
    address: SocketAddr,
    handler: Rc<dyn Handler>,
    timer: &Timer,
    log: &Log,
) -> Option<Server> {
    let address_field = field("address", &address);
    let listener = match bind(address) {
        Ok(listener) => listener,
        Err(e) => {
            let fields = [field("purpose", purpose), address_field, field("error", &e)];
            log.emit(&events::BIND_FAILED, &fields);
            return None;
        }
    };
    let bound_address = listener.local_addr().unwrap_or(address);
    let fields = [field("purpose", purpose), field("address", &bound_address)];
    log.emit(&events::LISTENING, &fields);
    let server = Server::new_ext(ServerOptions::default(), handler, timer);
    let acceptor = server.clone();
    monoio::spawn(async move { acceptor.serve(listener).await });
    Some(server)
}

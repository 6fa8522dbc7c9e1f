//! Measures many appenders that share one log with a limit on appends: appended and refused records,
//! and the latency of a record. Prints a JSON line for each number of appenders, first limited by the
//! pushback of the log alone, then with each appender paced by their number.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use pumicecleat_infra::{AppendOptions, Appender, HttpLog, Peers};
use pumicecleat_net::{Client, ClientOptions, Timer, run};
use pumicecleat_standin::{Log, LogOptions};

/// Records per second submitted to each appender.
const RECORDS_PER_SECOND: u64 = 100;
const DURATION_SECONDS: u64 = 10;
const APPENDER_COUNTS: [u64; 4] = [5, 10, 20, 40];

#[derive(Default)]
struct Results {
    appended: usize,
    refused: usize,
    latencies: Vec<Duration>,
}

/// Total appends per second of paced appenders; the log accepts 400.
const PACED_APPENDS_PER_SECOND: u64 = 360;

fn main() {
    for paced in [false, true] {
        for appenders in APPENDER_COUNTS {
            let results = run(measure(appenders, paced)).expect("a loop starts");
            print(appenders, paced, &results);
        }
    }
}

async fn measure(appenders: u64, paced: bool) -> Results {
    let timer = Timer::start();
    let log = Log::start(LogOptions::default(), &timer).expect("the log starts");
    let client = Client::new_ext(ClientOptions::default(), &timer);
    let peer = log.address.to_string();
    let results = Rc::new(RefCell::new(Results::default()));
    let mut tasks = Vec::new();
    for seed in 0..appenders {
        let log = HttpLog::new(&client, Peers::parse(&peer), Duration::from_secs(2));
        let options = AppendOptions {
            seed,
            ..AppendOptions::default()
        };
        let appender = Appender::start(Rc::new(log), &timer, "intents.s", options);
        if paced {
            let share = Duration::from_micros(appenders * 1_000_000 / PACED_APPENDS_PER_SECOND);
            appender.set_interval(share.max(options.interval));
        }
        for n in 0..RECORDS_PER_SECOND * DURATION_SECONDS {
            let at = Duration::from_micros(n * 1_000_000 / RECORDS_PER_SECOND + seed * 137);
            let task = submit(appender.clone(), timer.clone(), at, Rc::clone(&results));
            tasks.push(monoio::spawn(task));
        }
    }
    for task in tasks {
        task.await;
    }
    results.take()
}

async fn submit(appender: Appender, timer: Timer, at: Duration, results: Rc<RefCell<Results>>) {
    timer.sleep(at).await;
    let from = Instant::now();
    let succeeded = appender.append(vec![0; 200]).await.is_ok();
    let mut results = results.borrow_mut();
    if succeeded {
        results.appended += 1;
    } else {
        results.refused += 1;
    }
    results.latencies.push(from.elapsed());
}

fn print(appenders: u64, paced: bool, results: &Results) {
    let mut latencies = results.latencies.clone();
    latencies.sort();
    let at = |part: usize| latencies[latencies.len() * part / 100].as_millis();
    println!(
        "{{\"appenders\":{appenders},\"paced\":{paced},\"records_a_second\":{},\"stood\":{},\"refused\":{},\
         \"wait_ms_p50\":{},\"wait_ms_p95\":{}}}",
        appenders * RECORDS_PER_SECOND,
        results.appended,
        results.refused,
        at(50),
        at(95),
    );
}

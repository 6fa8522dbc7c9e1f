//! Many appenders at one log with a limit on appends: what stands, what is refused, and how long
//! a record waits. Prints a JSON line for each number of appenders: sharing by the log's pushback
//! alone, then each paced by their number.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use pumicecleat_infra::{AppendOptions, Appender, HttpLog, Peers};
use pumicecleat_net::{Client, ClientOptions, Timer, run};
use pumicecleat_standin::{Log, LogOptions};

/// Records that each appender's callers give in a second.
const RECORDS: u64 = 100;
const SECONDS: u64 = 10;
const APPENDERS: [u64; 4] = [5, 10, 20, 40];

#[derive(Default)]
struct Tally {
    stood: usize,
    refused: usize,
    waits: Vec<Duration>,
}

/// Appends a second that paced appenders may make together; the log takes 400.
const RATE: u64 = 360;

fn main() {
    for paced in [false, true] {
        for appenders in APPENDERS {
            let tally = run(measure(appenders, paced)).expect("a loop starts");
            print(appenders, paced, &tally);
        }
    }
}

async fn measure(appenders: u64, paced: bool) -> Tally {
    let timer = Timer::start();
    let log = Log::start(LogOptions::default(), &timer).expect("the log starts");
    let client = Client::new_ext(ClientOptions::default(), &timer);
    let peer = log.address.to_string();
    let tally = Rc::new(RefCell::new(Tally::default()));
    let mut tasks = Vec::new();
    for seed in 0..appenders {
        let log = HttpLog::new(&client, Peers::parse(&peer), Duration::from_secs(2));
        let options = AppendOptions {
            seed,
            ..AppendOptions::default()
        };
        let appender = Appender::start(Rc::new(log), &timer, "intents.s", options);
        if paced {
            let share = Duration::from_micros(appenders * 1_000_000 / RATE);
            appender.set_interval(share.max(options.interval));
        }
        for n in 0..RECORDS * SECONDS {
            let at = Duration::from_micros(n * 1_000_000 / RECORDS + seed * 137);
            let task = submit(appender.clone(), timer.clone(), at, Rc::clone(&tally));
            tasks.push(monoio::spawn(task));
        }
    }
    for task in tasks {
        task.await;
    }
    tally.take()
}

async fn submit(appender: Appender, timer: Timer, at: Duration, tally: Rc<RefCell<Tally>>) {
    timer.sleep(at).await;
    let from = Instant::now();
    let stood = appender.append(vec![0; 200]).await.is_ok();
    let mut tally = tally.borrow_mut();
    if stood {
        tally.stood += 1;
    } else {
        tally.refused += 1;
    }
    tally.waits.push(from.elapsed());
}

fn print(appenders: u64, paced: bool, tally: &Tally) {
    let mut waits = tally.waits.clone();
    waits.sort();
    let at = |part: usize| waits[waits.len() * part / 100].as_millis();
    println!(
        "{{\"appenders\":{appenders},\"paced\":{paced},\"records_a_second\":{},\"stood\":{},\"refused\":{},\
         \"wait_ms_p50\":{},\"wait_ms_p95\":{}}}",
        appenders * RECORDS,
        tally.stood,
        tally.refused,
        at(50),
        at(95),
    );
}

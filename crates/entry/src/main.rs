//! The process that serves callers: authentication, choice of upstream, retries, and complete
//! answers. Reads the settings and calls the library.

use std::process::ExitCode;

use pumicecleat_entry::{Entry, EntryContext, EntrySettings};
use pumicecleat_net::{Timer, run};
use pumicecleat_ops::{DrainOutcome, Log, Settings, Stop, events, field};

const PROGRAM: &str = "pumicecleat-entry";

fn main() -> ExitCode {
    let settings = match EntrySettings::from_process(PROGRAM) {
        Ok(settings) => settings,
        Err(exit) => return exit.report(PROGRAM),
    };
    let log = Log::new_ext(&settings.common.log_options(PROGRAM));
    match run(serve(&settings, &log)) {
        Ok(Some(DrainOutcome::Finished)) => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}

async fn serve(settings: &EntrySettings, log: &Log) -> Option<DrainOutcome> {
    let common = &settings.common;
    let fields = [
        field("program", PROGRAM),
        field("version", env!("CARGO_PKG_VERSION")),
        field("vm", &common.vm),
        field("centre", &common.centre),
        field("region", &common.region),
    ];
    log.emit(&events::STARTED, &fields);
    let timer = Timer::start();
    let stop = match Stop::listen() {
        Ok(stop) => stop,
        Err(e) => {
            let fields = [field("step", "listen for signals"), field("error", &e)];
            log.emit_and_flush(&events::INTERNAL, &fields);
            return None;
        }
    };
    let context = EntryContext::over_http(settings, &timer);
    // A listener that can't be bound has been logged.
    let entry = Entry::start(settings, &context, &timer, log, &stop).ok()?;
    let addresses = entry.addresses();
    println!(
        "listening {} peers {} admin {}",
        addresses.callers, addresses.peers, addresses.admin
    );
    let end = entry.run().await;
    Entry::log_end(log, &end);
    Some(end)
}

//! Program that runs a [`Side`] until it is told to stop.

use std::process::ExitCode;

use pumicecleat_net::{Timer, run};
use pumicecleat_ops::{DrainOutcome, Log, Settings, Stop, events, field};
use pumicecleat_side::{Side, SideSettings};

const PROGRAM: &str = "pumicecleat-side";

fn main() -> ExitCode {
    let settings = match SideSettings::from_process(PROGRAM) {
        Ok(settings) => settings,
        Err(exit) => return exit.report(PROGRAM),
    };
    let log = Log::new_ext(&settings.common.log_options(PROGRAM));
    match run(serve(settings, log.clone())) {
        Ok(code) => code,
        Err(e) => {
            let fields = [field("step", "start"), field("error", &e)];
            log.emit_and_flush(&events::INTERNAL, &fields);
            ExitCode::FAILURE
        }
    }
}

async fn serve(settings: SideSettings, log: Log) -> ExitCode {
    let timer = Timer::start();
    let started = Stop::listen().map_err(|e| e.to_string());
    let started = started.and_then(|stop| {
        let side = Side::start(settings, &timer, &log).map_err(|e| e.to_string())?;
        Ok((stop, side))
    });
    let (stop, side) = match started {
        Ok(started) => started,
        Err(e) => {
            let fields = [field("step", "start"), field("error", &e)];
            log.emit_and_flush(&events::INTERNAL, &fields);
            return ExitCode::FAILURE;
        }
    };
    println!("listening {} admin {}", side.address(), side.admin());
    stop.requested().await;
    let end = side.finish(&stop).await;
    let fields = [
        field("cut", end.aborted().len()),
        field("dropped_lines", log.dropped()),
    ];
    log.emit_and_flush(&events::STOPPED, &fields);
    if end == DrainOutcome::Finished {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

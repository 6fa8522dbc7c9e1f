//! Reads arguments and calls the library.

mod args;

use std::io::Write;
use std::net::SocketAddr;
use std::process::ExitCode;

use args::{Args, Kind};
use pumicecleat_net::{RuntimeError, Timer, run};
use pumicecleat_standin::{Engine, Log, Service, StandinError, Store, VmList};
use snafu::{ResultExt, Snafu};

#[derive(Debug, Snafu)]
enum MainError {
    #[snafu(transparent)]
    Runtime { source: RuntimeError },
    #[snafu(transparent)]
    Start { source: StandinError },
    #[snafu(display("step print address: {source}"))]
    Print { source: std::io::Error },
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match run(serve(args.kind)).map_err(MainError::from) {
        Ok(Ok(())) => ExitCode::SUCCESS,
        Ok(Err(e)) | Err(e) => {
            eprintln!("{e}");
            ExitCode::FAILURE
        }
    }
}

async fn serve(kind: Kind) -> Result<(), MainError> {
    let timer = Timer::start();
    let address = start(kind, &timer)?;
    print_address(address).context(PrintSnafu)?;
    std::future::pending().await
}

fn start(kind: Kind, timer: &Timer) -> Result<SocketAddr, StandinError> {
    match kind {
        Kind::Engine(args) => Ok(Engine::start(args.into(), timer)?.address),
        Kind::Service(args) => Ok(Service::start(args.into(), timer)?.address),
        Kind::Store(args) => Ok(Store::start(args.into(), timer)?.address),
        Kind::Log(args) => Ok(Log::start(args.into(), timer)?.address),
        Kind::Vms(args) => Ok(VmList::start(args.into(), timer)?.address),
    }
}

fn print_address(address: SocketAddr) -> std::io::Result<()> {
    let mut out = std::io::stdout();
    writeln!(out, "listening {address}")?;
    out.flush()
}

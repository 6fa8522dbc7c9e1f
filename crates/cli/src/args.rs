//! Arguments.

use std::net::SocketAddr;

use argh::FromArgs;

/// Declares, shows and tries out a pumicecleat deployment.
#[derive(Debug, FromArgs)]
pub struct Args {
    #[argh(subcommand)]
    pub(crate) command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    Check(CheckArgs),
    Diff(DiffArgs),
    Apply(ApplyArgs),
    Status(StatusArgs),
    Dump(DumpArgs),
    Key(KeyArgs),
    Trail(TrailArgs),
    Losses(LossesArgs),
    Demo(DemoArgs),
}

/// Print every fault of the files, taken as one configuration; exit status 2 if there is one.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct CheckArgs {
    /// TOML files
    #[argh(positional)]
    pub(crate) files: Vec<String>,
}

/// Print how the files differ from the configuration in force.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "diff")]
pub(crate) struct DiffArgs {
    /// addresses of the log service, ip:port,...
    #[argh(option)]
    pub(crate) log: String,
    /// TOML files
    #[argh(positional)]
    pub(crate) files: Vec<String>,
}

/// Put the files in force as a whole; answers when the log holds the verdict. Exit status 3 if it
/// is refused, as when another operator was first.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub(crate) struct ApplyArgs {
    /// addresses of the log service, ip:port,...
    #[argh(option)]
    pub(crate) log: String,
    /// name that the change carries (default: operator)
    #[argh(option, default = "\"operator\".into()")]
    pub(crate) author: String,
    /// revision that the change is made from (default: the one in force)
    #[argh(option)]
    pub(crate) base: Option<u64>,
    /// longest wait for the verdict, seconds (default: 30)
    #[argh(option, default = "30")]
    pub(crate) wait: u64,
    /// TOML files
    #[argh(positional)]
    pub(crate) files: Vec<String>,
}

/// Print revision, residency and load of every process that the entries know.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct StatusArgs {
    /// admin addresses of entries
    #[argh(positional)]
    pub(crate) admin: Vec<SocketAddr>,
}

/// Print all log lines of one request over several processes, in the order of their time, with what
/// their clocks differ by taken off. Exit status 1 if there is none.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "trail")]
pub(crate) struct TrailArgs {
    /// id of the request
    #[argh(positional)]
    pub(crate) request: String,
    /// files with lines of JSON, each of one or more processes
    #[argh(positional)]
    pub(crate) files: Vec<String>,
}

/// Print how many requests of each route, account and data centre were served on time, late, refused or
/// failed, and the causes, by the log lines of gateways and agents. Exit status 1 if no request ended.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "losses")]
pub(crate) struct LossesArgs {
    /// files with lines of JSON, each of one or more processes
    #[argh(positional)]
    pub(crate) files: Vec<String>,
}

/// Print the whole state of a process as JSON.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "dump")]
pub(crate) struct DumpArgs {
    /// admin address of the process
    #[argh(positional)]
    pub(crate) admin: SocketAddr,
}

/// Print the hash of a bearer key, as the configuration holds it.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "key")]
pub(crate) struct KeyArgs {
    /// bearer key
    #[argh(positional)]
    pub(crate) bearer: String,
}

/// Run entry, sides and stand-ins in this one process, and send some requests.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
pub(crate) struct DemoArgs {
    /// leave it up until interrupted, and print how to call it
    #[argh(switch)]
    pub(crate) serve: bool,
    /// port for callers; 0 lets the system choose (default: 0)
    #[argh(option, default = "0")]
    pub(crate) port: u16,
}

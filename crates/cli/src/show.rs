//! `diff`, `status` and `dump`.

use pumicecleat_entry::{EntryDump, SideDump};
use pumicecleat_net::Timer;

use crate::args::{DiffArgs, DumpArgs, StatusArgs};
use crate::error::CliError;
use crate::exchange::ask_dump;
use crate::files;
use crate::reader::ConfigReader;

/// Prints how files differ from what is in force.
pub(crate) async fn diff(args: DiffArgs) -> Result<(), CliError> {
    let config = files::read(&args.files)?;
    let timer = Timer::start();
    let mut reader = ConfigReader::new(&args.log, &timer);
    reader.catch_up().await?;
    let changes = pumicecleat_config::diff(reader.fold.config(), &config);
    println!(
        "revision {}: {} changes",
        reader.fold.revision(),
        changes.len()
    );
    for change in &changes {
        println!("{change}");
    }
    Ok(())
}

/// Prints the state of every process in short; fails if an entry does not answer.
pub(crate) async fn status(args: StatusArgs) -> Result<(), CliError> {
    let mut failed = None;
    for admin in &args.admin {
        match ask_dump::<EntryDump>(&admin.to_string()).await {
            Ok(dump) => print_entry(&dump),
            Err(e) => {
                println!("entry at {admin}: no answer");
                failed = Some(e);
            }
        }
    }
    failed.map_or(Ok(()), Err)
}

/// Prints the whole state of a process.
pub(crate) async fn dump(args: DumpArgs) -> Result<(), CliError> {
    let value: serde_json::Value = ask_dump(&args.admin.to_string()).await?;
    println!("{value:#}");
    Ok(())
}

fn print_entry(dump: &EntryDump) {
    let ready = if dump.ready { "ready" } else { "not ready" };
    println!(
        "entry {} {}: revision {}, {ready}, {} open requests, {} sides",
        dump.vm,
        dump.address,
        dump.config.revision,
        dump.open.len(),
        dump.sides.len(),
    );
    for side in &dump.sides {
        print_side(side);
    }
}

fn print_side(side: &SideDump) {
    let state = match (side.leaving, side.healthy) {
        (true, _) => "leaving",
        (false, true) => "up",
        (false, false) => "down",
    };
    println!(
        "  side {} {} pool {}: revision {}, {state}, running {}/{}, waiting {}, resident [{}], \
         heard {} ms ago",
        side.vm,
        side.address,
        side.pool,
        side.revision,
        side.load.running,
        side.load.max_batch_size,
        side.load.waiting,
        side.resident.join(" "),
        side.age_ms,
    );
}

//! `demo`: entry, sides and stand-ins on one loop, and some requests.

mod calls;
mod world;

use pumicecleat_ops::Stop;

use crate::args::DemoArgs;
use crate::error::CliError;
use calls::Tally;
use world::World;

/// Bearer key of the sample configuration.
const KEY: &str = "demo-key";

/// Runs the demo.
pub(crate) async fn demo(args: DemoArgs) -> Result<(), CliError> {
    let stop = Stop::listen().map_err(|e| fault("listen for signals", &e))?;
    let world = World::start(args.port, &stop).await?;
    println!(
        "in force: revision {}, callers at http://{}",
        world.revision(),
        world.callers()
    );
    let tally = calls::run(&world).await?;
    print_summary(&tally);
    if args.serve {
        print_curl(&world);
        stop.requested().await;
    }
    stop.request_once();
    world.finish(&stop).await;
    if tally.failed == 0 {
        return Ok(());
    }
    Err(fault("requests", &format!("{} failed", tally.failed)))
}

fn fault(step: &'static str, detail: &impl ToString) -> CliError {
    CliError::Demo {
        step,
        detail: detail.to_string(),
    }
}

fn print_summary(tally: &Tally) {
    println!();
    println!(
        "{} requests answered whole, {} failed; {} tokens; {} loads; seat holds sent twice: {}, \
         that took effect: {}",
        tally.whole, tally.failed, tally.tokens, tally.loads, tally.holds, tally.effects,
    );
}

fn print_curl(world: &World) {
    println!();
    println!("up until interrupted; try:");
    println!(
        "curl -N http://{}/v1/chat/completions -H 'Authorization: Bearer {KEY}' -H \
         'Content-Type: application/json' -d '{{\"model\":\"sky-brief\",\"stream\":true,\
         \"messages\":[{{\"role\":\"user\",\"content\":\"tonight?\"}}]}}'",
        world.callers(),
    );
    println!("pumicecleat status {}", world.admin());
}

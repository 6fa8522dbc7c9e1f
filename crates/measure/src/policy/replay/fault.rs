//! Timetable of faults, and what each does.

use pumicecleat_policy::{AttemptOutcome, UpstreamIx};
use pumicecleat_types::{Millis, Reason};

use super::World;
use super::event::Turn;
use crate::policy::fault::Fault;
use crate::policy::shape::Shape;
use crate::policy::trace::Trace;

/// Time of a restart.
const RESTART: Millis = Millis(10_000);

/// Span between restarts.
const BETWEEN: Millis = Millis(30_000);

/// Engines that restart.
const RESTARTS: u32 = 3;

/// Time until a leaving upstream has been replaced.
const REPLACED: Millis = Millis(60_000);

/// Time for which the store is down.
const DOWN: Millis = Millis(30_000);

/// Speed of a slow store.
const SLOW: f64 = 0.25;

/// When each turn of the fault comes.
pub(super) fn turns(fault: Fault, shape: &Shape, trace: &Trace) -> Vec<(Millis, Turn)> {
    let (begin, end) = trace.third;
    let first = UpstreamIx(0);
    match fault {
        Fault::None | Fault::FailedLoads | Fault::LateReports => Vec::new(),
        Fault::ColdRestart => restarts(begin),
        Fault::StoreSlow => vec![(begin, Turn::Speed(SLOW)), (end, Turn::Speed(1.0))],
        Fault::StoreDown => vec![(begin, Turn::Speed(0.0)), (begin + DOWN, Turn::Speed(1.0))],
        Fault::Leaving => vec![
            (begin, Turn::Leave(first)),
            (begin + REPLACED, Turn::Crash(first)),
            (begin + REPLACED, Turn::Recover(first)),
        ],
        Fault::CentreLost => centre(shape, begin, end),
        Fault::OrderDown => vec![
            (begin, Turn::OrderDown(true)),
            (end, Turn::OrderDown(false)),
        ],
    }
}

fn restarts(begin: Millis) -> Vec<(Millis, Turn)> {
    (0..RESTARTS)
        .flat_map(|n| {
            let at = begin + Millis(BETWEEN.0 * u64::from(n));
            let up = UpstreamIx(n);
            [(at, Turn::Crash(up)), (at + RESTART, Turn::Recover(up))]
        })
        .collect()
}

fn centre(shape: &Shape, begin: Millis, end: Millis) -> Vec<(Millis, Turn)> {
    (0..shape.engines)
        .filter(|n| n % shape.centres == 0)
        .flat_map(|n| {
            let up = UpstreamIx(n);
            [(begin, Turn::Crash(up)), (end, Turn::Recover(up))]
        })
        .collect()
}

impl World<'_> {
    pub(super) fn fault(&mut self, turn: Turn) {
        match turn {
            Turn::Crash(up) => self.crash(up),
            Turn::Recover(up) => self.recover(up),
            Turn::Leave(up) => self.leave(up),
            Turn::Speed(speed) => {
                let now = self.clock.now();
                self.store.set_speed(speed, now);
                self.plan_store();
            }
            Turn::OrderDown(down) => self.order_down = down,
        }
    }

    fn crash(&mut self, up: UpstreamIx) {
        let now = self.clock.now();
        let machine = self.machine(up);
        machine.up = false;
        machine.at.life += 1;
        machine.loading = None;
        machine.cache.clear();
        let running = machine.engine.crash();
        for id in &running {
            machine.side.finished(*id, false, now);
        }
        machine.side.close(Reason::UpstreamDown);
        self.store.abort(up, now);
        self.plan_store();
        for id in running {
            self.end(id, AttemptOutcome::Failed, Millis(0));
        }
        self.poll(up);
    }

    fn recover(&mut self, up: UpstreamIx) {
        let now = self.clock.now();
        let machine = self.machine(up);
        machine.up = true;
        machine.leaving = false;
        machine.side.reopen(now);
        self.report_now(up);
    }

    fn leave(&mut self, up: UpstreamIx) {
        let machine = self.machine(up);
        machine.leaving = true;
        machine.side.close(Reason::Leaving);
        self.poll(up);
        self.report_now(up);
    }
}

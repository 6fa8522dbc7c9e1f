//! The engine's start and its loop of steps.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use pumicecleat_net::{Client, ClientOptions, Timer};
use pumicecleat_types::Millis;

use super::metrics::Sample;
use super::state::State;
use super::{EngineFaults, EngineOptions};
use crate::serve::{Change, FaultCell, Running, StandinError, start};

/// Time between load figures that are kept to be shown late.
const SAMPLE_SPAN: Duration = Duration::from_millis(20);

/// The model engine.
pub struct Engine {
    pub(crate) options: EngineOptions,
    pub(crate) timer: Timer,
    pub(crate) client: Client,
    pub(crate) faults: FaultCell<EngineFaults>,
    pub(crate) state: RefCell<State>,
    /// Notified when there may be work to do.
    pub(crate) work: Change,
}

impl Engine {
    /// Starts the engine on this thread's loop.
    ///
    /// # Errors
    /// [`StandinError`] if the address can't be bound.
    pub fn start(
        options: EngineOptions,
        timer: &Timer,
    ) -> Result<Running<EngineFaults>, StandinError> {
        let engine = Rc::new(Self {
            state: RefCell::new(State::new(&options)),
            options,
            timer: timer.clone(),
            client: Client::new_ext(ClientOptions::default(), timer),
            faults: FaultCell::default(),
            work: Change::default(),
        });
        let running = start(&engine, engine.options.listen, timer)?;
        monoio::spawn(Rc::clone(&engine).run_steps());
        if engine.options.metrics_lag_ms > 0 {
            monoio::spawn(engine.take_samples());
        }
        Ok(running)
    }

    async fn run_steps(self: Rc<Self>) {
        let mut due = self.timer.now();
        loop {
            if !self.can_step() {
                self.work.next().wait().await;
                due = self.timer.now();
                continue;
            }
            due = next_due(due, self.begin_step(), self.timer.now());
            self.timer.sleep_until(due).await;
            if !self.faults.get().freeze {
                let die_at = &mut self.faults.edit().die_after_tokens;
                self.state.borrow_mut().step(die_at);
            }
        }
    }

    fn can_step(&self) -> bool {
        !self.faults.get().freeze && !self.state.borrow().batch.is_empty()
    }

    /// Admits what waits and gives the time of the step.
    fn begin_step(&self) -> Millis {
        let faults = self.faults.get();
        let mut state = self.state.borrow_mut();
        state.begin_step(&self.options, &faults)
    }

    async fn take_samples(self: Rc<Self>) {
        loop {
            let now = self.timer.now();
            {
                let mut state = self.state.borrow_mut();
                let sample = Sample::of(&state.batch);
                state.lagging.push(now, sample);
                let lag = Millis(self.options.metrics_lag_ms);
                state.sample_at(now - lag);
            }
            self.timer.sleep(SAMPLE_SPAN).await;
        }
    }
}

/// End of the step after the one that was due at `last`; a late wake-up doesn't delay it, unless
/// it came later than a whole step.
fn next_due(last: Millis, span: Millis, now: Millis) -> Millis {
    let due = last + span;
    if due > now { due } else { now + span }
}

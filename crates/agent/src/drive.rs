//! Scheduling loop: fetches the engine's report, runs the scheduler and carries out its actions.

use std::rc::Rc;
use std::time::Duration;

use futures_util::future::select;
use pumicecleat_catalog::{BaseModel, Engine};
use pumicecleat_ops::{events, field};
use pumicecleat_policy::{
    BaseLoadTimes, EngineOrder, EngineReport, OrderOutcome, TurnAction, TurnOptions,
};
use pumicecleat_types::{BaseId, Millis, Turn};

use crate::ReportError;
use crate::accounts::outcome;
use crate::meters::{OrderLabels, TurnLabels};
use crate::shared::{ENGINE_CONDITION, Shared};

/// Timeout for the engine's report. On the same VM it takes a few milliseconds; no requests are sent to an
/// engine that does not answer within this time.
const REPORT_TIMEOUT: Duration = Duration::from_millis(600);

/// Timeout for the response to an order, which may still be carried out later.
const ORDER_TIMEOUT: Duration = Duration::from_millis(800);

/// Interval between reports while a request waits for its adapter, or for a stream's next event. A finished load (250 ms from the store,
/// a tenth of that from the host's memory) or a slot whose last stream has ended stays unknown until the
/// next report: 12 ms on average, instead of 50 ms, in which both the slot and the caller wait.
const FAST_REPORT_INTERVAL: Duration = Duration::from_millis(25);

/// Runs the scheduler and fetches a report at least every `report_interval`. Never returns.
pub(crate) async fn drive(shared: Rc<Shared>, report_interval: Duration, options: TurnOptions) {
    let mut driver = Driver {
        shared,
        unreachable_since: None,
        last_report_at: Millis(0),
        report_interval,
        options,
        last_sequence: 0,
    };
    loop {
        driver.step().await;
        let time_left = driver.next_report_at().since(driver.shared.timer.now());
        let sleep = driver
            .shared
            .timer
            .sleep(Duration::from_millis(time_left.0.max(1)));
        let notified = Box::pin(driver.shared.wake.notified());
        select(Box::pin(sleep), notified).await;
    }
}

struct Driver {
    shared: Rc<Shared>,
    /// Time of the first failed report since the last successful one.
    unreachable_since: Option<Millis>,
    /// When the last report was requested.
    last_report_at: Millis,
    /// Interval between reports while no request waits for an adapter.
    report_interval: Duration,
    /// Options from the settings.
    options: TurnOptions,
    /// Sequence number in the last report.
    last_sequence: u64,
}

impl Driver {
    /// Time at which the next report is requested.
    fn next_report_at(&self) -> Millis {
        let scheduler = self.shared.scheduler.borrow();
        let is_urgent = scheduler.is_waiting_for_adapter() || scheduler.is_watching_streams();
        let interval = if is_urgent {
            FAST_REPORT_INTERVAL.min(self.report_interval)
        } else {
            self.report_interval
        };
        self.last_report_at + millis(interval)
    }

    async fn step(&mut self) {
        let now = self.shared.timer.now();
        let due = now >= self.next_report_at();
        if due {
            self.last_report_at = now;
        }
        let Some((base, engine)) = self.engine_config() else {
            return;
        };
        if due {
            self.shared.scheduler.borrow_mut().set_options(TurnOptions {
                adapter_slots: adapter_slots(&engine, &base),
                max_batch: engine.max_batch_size,
                base_load_times: base_load_times(&base),
                ..self.options
            });
            let report = self
                .shared
                .engine_client
                .fetch_report(&base.name, REPORT_TIMEOUT)
                .await;
            self.handle_report(report);
        }
        self.run_actions(&base.name);
    }

    /// Configuration of the engine and its base model, if known.
    fn engine_config(&self) -> Option<(BaseModel, Engine)> {
        let catalog = self.shared.catalog.borrow();
        let engine = catalog.layout()?.engine(&self.shared.service)?;
        Some((engine.base_models.first()?.clone(), engine.clone()))
    }

    fn handle_report(&mut self, report: Result<EngineReport, ReportError>) {
        let now = self.shared.timer.now();
        match report {
            Ok(report) => {
                self.detect_restart(&report);
                let mut scheduler = self.shared.scheduler.borrow_mut();
                scheduler.apply_report(&report, now);
                if report.base_loaded {
                    self.shared.readiness.set_met(ENGINE_CONDITION);
                }
            }
            Err(e) => {
                if self.unreachable_since.is_none() {
                    self.unreachable_since = Some(now);
                    let fields = [field("address", "own engine"), field("error", &e)];
                    self.shared.log.emit(&events::OWN_ENGINE_LOST, &fields);
                    self.shared
                        .readiness
                        .set_unmet(ENGINE_CONDITION, "engine does not answer");
                }
                self.shared.scheduler.borrow_mut().mark_unreachable();
            }
        }
    }

    /// Handles a restart of the engine if the report shows one. Logs this, or that the engine is reachable again.
    fn detect_restart(&mut self, report: &EngineReport) {
        let previous_start = self
            .shared
            .engine_start_time_ms
            .replace(report.start_time_ms);
        let restarted = has_restarted(report, previous_start, self.last_sequence);
        self.last_sequence = report.sequence;
        if restarted {
            self.shared.handle_engine_restart();
        }
        if self.unreachable_since.take().is_some() || restarted {
            let instance = self.shared.instance.borrow();
            let fields = [
                field("instance", instance.as_str()),
                field("sequence", report.sequence),
                field("held", report.loaded_adapters.len()),
            ];
            self.shared.log.emit(&events::OWN_ENGINE_SEEN, &fields);
        }
    }

    fn run_actions(&self, base: &BaseId) {
        let now = self.shared.timer.now();
        let actions = self.shared.scheduler.borrow_mut().poll(now);
        let paused = self.shared.scheduler.borrow_mut().take_paused_streams();
        self.shared.meters.paused_streams.inc_by(paused);
        let window = self.shared.scheduler.borrow().load_window();
        self.shared.meters.load_window.set(thousandths(window));
        for ratio in self.shared.scheduler.borrow_mut().take_first_event_ratios() {
            self.shared.meters.first_event_ratios.observe(ratio);
        }
        for action in actions {
            match action {
                TurnAction::Grant { turn, version } => {
                    self.deliver_turn(turn, Turn::Granted { version });
                }
                TurnAction::Refuse {
                    turn,
                    reason,
                    retry_after,
                } => {
                    let retry_ms = retry_after.0;
                    self.deliver_turn(turn, Turn::Refused { reason, retry_ms });
                }
                TurnAction::Order { order, sequence } => self.spawn_order(base, order, sequence),
            }
        }
    }

    fn deliver_turn(&self, id: pumicecleat_policy::TurnId, turn: Turn) {
        let labels = TurnLabels {
            outcome: outcome(turn),
        };
        self.shared.meters.turns.get_or_create(&labels).inc();
        if let Some(waiter) = self.shared.waiters.borrow_mut().remove(&id) {
            // If the gateway has disconnected in the meantime, the handler ends the run.
            let _ = waiter.try_send(turn);
        }
    }

    fn spawn_order(&self, base: &BaseId, order: EngineOrder, sequence: u64) {
        let shared = Rc::clone(&self.shared);
        let base = base.clone();
        monoio::spawn(async move { execute_order(&shared, &base, order, sequence).await });
    }
}

async fn execute_order(shared: &Shared, base: &BaseId, order: EngineOrder, sequence: u64) {
    let (name, adapter, version) = order_log_fields(&order);
    let fields = [
        field("order", name),
        field("adapter", adapter),
        field("version", version),
        field("sequence", sequence),
    ];
    shared.log.emit(&events::ORDER_SENT, &fields);
    let sent_at = shared.timer.now();
    let instance = shared.instance.borrow().clone();
    let start_count = shared.engine_start_count.get();
    let target = (!instance.is_empty()).then_some(instance.as_str());
    let response = shared
        .engine_client
        .send_order(base, &order, target, sequence, ORDER_TIMEOUT)
        .await;
    let now = shared.timer.now();
    let end = outcome_name(response.outcome);
    let fields = [
        field("order", name),
        field("adapter", adapter),
        field("end", end),
        field("took_ms", now.since(sent_at).0),
        field("error", response.detail.as_deref().unwrap_or_default()),
    ];
    shared.log.emit(&events::ORDER_ENDED, &fields);
    let labels = OrderLabels { order: name, end };
    shared.meters.orders.get_or_create(&labels).inc();
    if shared.engine_start_count.get() == start_count {
        shared
            .scheduler
            .borrow_mut()
            .order_ended(response.outcome, now);
        if response.outcome == OrderOutcome::Misdirected {
            shared.handle_denied_instance(&instance);
        }
    }
    shared.wake.notify();
}

/// Whether the engine has restarted since the previous report. Detected by the start time if the engine
/// reports one, otherwise by a decrease of the sequence number.
fn has_restarted(
    report: &EngineReport,
    previous_start: Option<u64>,
    previous_sequence: u64,
) -> bool {
    match (report.start_time_ms, previous_start) {
        (Some(current), Some(previous)) => current != previous,
        _ => report.sequence < previous_sequence,
    }
}

fn order_log_fields(order: &EngineOrder) -> (&'static str, &str, u64) {
    match order {
        EngineOrder::LoadBase => ("load_base", "", 0),
        EngineOrder::Load { adapter, version } => ("load", adapter, version.unwrap_or_default()),
        EngineOrder::Unload { adapter } => ("unload", adapter, 0),
    }
}

fn outcome_name(outcome: OrderOutcome) -> &'static str {
    match outcome {
        OrderOutcome::Accepted => "accepted",
        OrderOutcome::Done => "done",
        OrderOutcome::Conflict => "conflict",
        OrderOutcome::Refused => "refused",
        OrderOutcome::Misdirected => "misdirected",
        OrderOutcome::Unknown => "unknown",
    }
}

/// Number of adapter slots, limited by the configuration and by the memory that the base model leaves.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a float's cast saturates"
)]
fn adapter_slots(engine: &Engine, base: &BaseModel) -> u32 {
    if base.adapter_size_mb <= 0.0 {
        return engine.max_adapters;
    }
    let slots_that_fit =
        ((engine.weight_memory_mb - base.weights_mb) / base.adapter_size_mb).floor();
    engine.max_adapters.min(slots_that_fit.max(0.0) as u32)
}

/// Load times of the base model. A time that is not configured is taken from the next slower source.
fn base_load_times(base: &BaseModel) -> BaseLoadTimes {
    let or_slower = |own: f64, slower: f64| if own > 0.0 { own } else { slower };
    let disk = or_slower(base.disk_load_s, base.store_load_s);
    // The configured time may be any number; one that is not a valid duration counts as 0.
    let to_millis = |s: f64| millis(Duration::try_from_secs_f64(s).unwrap_or_default());
    BaseLoadTimes {
        memory: to_millis(or_slower(base.memory_load_s, disk)),
        disk: to_millis(disk),
        store: to_millis(base.store_load_s),
    }
}

#[allow(clippy::cast_possible_truncation, reason = "a small number")]
fn thousandths(n: f64) -> i64 {
    (n * 1_000.0) as i64
}

fn millis(duration: Duration) -> Millis {
    Millis(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
}

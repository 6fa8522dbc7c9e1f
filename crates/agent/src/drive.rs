//! The loop that drives the decisions: report, decide, carry out.

use std::rc::Rc;
use std::time::Duration;

use futures_util::future::select;
use pumicecleat_catalog::{Base, Engine};
use pumicecleat_ops::{events, field};
use pumicecleat_policy::{
    BaseLoadTimes, EngineOrder, EngineReport, OrderOutcome, TurnAction, TurnOptions,
};
use pumicecleat_types::{BaseId, Millis, Turn};

use crate::PortError;
use crate::meters::{OrderLabels, TurnLabels};
use crate::shared::{ENGINE, Shared};

/// Time for the engine's report. On the same VM it takes a few milliseconds; an engine that
/// doesn't give it for this long is not to be sent to.
const REPORT_SPAN: Duration = Duration::from_millis(600);

/// Time for an order's answer; the order may still be carried out after it.
const ORDER_SPAN: Duration = Duration::from_millis(800);

/// Time between two reports while a request waits for its adapter. A load takes 250 ms from the
/// store and a tenth of it from the host's memory, and a place is free when its last stream has
/// ended: until a report tells, both the place and the caller wait, 12 ms on average in place of 50.
const HASTE: Duration = Duration::from_millis(25);

/// Drives the decisions for good, with a report each `pause` at least.
pub(crate) async fn drive(shared: Rc<Shared>, pause: Duration) {
    let mut driver = Driver {
        shared,
        lost: None,
        asked: Millis(0),
        pause,
        sequence: 0,
    };
    loop {
        driver.step().await;
        let rest = driver.due().since(driver.shared.timer.now());
        let sleep = driver
            .shared
            .timer
            .sleep(Duration::from_millis(rest.0.max(1)));
        let rung = Box::pin(driver.shared.wake.rung());
        select(Box::pin(sleep), rung).await;
    }
}

struct Driver {
    shared: Rc<Shared>,
    /// Start of the present silence of the engine.
    lost: Option<Millis>,
    /// When the last report was asked for.
    asked: Millis,
    /// Time between two reports while nothing waits for one.
    pause: Duration,
    /// Sequence of the last report.
    sequence: u64,
}

impl Driver {
    /// When the next report is asked for.
    fn due(&self) -> Millis {
        let hasty = self.shared.turns.borrow().is_waiting_for_adapter();
        let pause = if hasty {
            HASTE.min(self.pause)
        } else {
            self.pause
        };
        self.asked + millis(pause)
    }

    async fn step(&mut self) {
        let now = self.shared.timer.now();
        let due = now >= self.due();
        if due {
            self.asked = now;
        }
        let Some((base, engine)) = self.engine() else {
            return;
        };
        if due {
            self.shared.turns.borrow_mut().set_options(TurnOptions {
                adapter_slots: places(&engine, &base),
                max_batch: engine.batch,
                base_load_times: base_loads(&base),
            });
            let report = self.shared.port.report(&base.name, REPORT_SPAN).await;
            self.take(report);
        }
        self.act(&base.name);
    }

    /// The engine's base model and figures, if the configuration tells them.
    fn engine(&self) -> Option<(Base, Engine)> {
        let catalog = self.shared.catalog.borrow();
        let engine = catalog.layout()?.engine(&self.shared.service)?;
        Some((engine.bases.first()?.clone(), engine.clone()))
    }

    fn take(&mut self, report: Result<EngineReport, PortError>) {
        let now = self.shared.timer.now();
        match report {
            Ok(report) => {
                self.meet(&report);
                let mut turns = self.shared.turns.borrow_mut();
                turns.apply_report(&report, now);
                if report.base_loaded {
                    self.shared.readiness.hold(ENGINE);
                }
            }
            Err(e) => {
                if self.lost.is_none() {
                    self.lost = Some(now);
                    let fields = [field("address", "own engine"), field("error", &e)];
                    self.shared.log.emit(&events::OWN_ENGINE_LOST, &fields);
                    self.shared.readiness.fail(ENGINE, "engine does not answer");
                }
                self.shared.turns.borrow_mut().mark_unreachable();
            }
        }
    }

    /// Notes that the engine answers, and whether it started anew.
    fn meet(&mut self, state: &EngineReport) {
        let born = self.shared.born.replace(state.start_time_ms);
        let restarted = has_restarted(state, born, self.sequence);
        self.sequence = state.sequence;
        if restarted {
            self.shared.engine_restarted();
        }
        if self.lost.take().is_some() || restarted {
            let instance = self.shared.instance.borrow();
            let fields = [
                field("instance", instance.as_str()),
                field("sequence", state.sequence),
                field("held", state.loaded_adapters.len()),
            ];
            self.shared.log.emit(&events::OWN_ENGINE_SEEN, &fields);
        }
    }

    fn act(&self, base: &BaseId) {
        let now = self.shared.timer.now();
        let actions = self.shared.turns.borrow_mut().poll(now);
        for miss in self.shared.turns.borrow_mut().take_first_event_ratios() {
            self.shared.meters.misses.observe(miss);
        }
        for action in actions {
            match action {
                TurnAction::Grant { turn, version } => self.tell(turn, Turn::Go { version }),
                TurnAction::Refuse {
                    turn,
                    reason,
                    retry_after,
                } => {
                    let retry_ms = retry_after.0;
                    self.tell(turn, Turn::No { reason, retry_ms });
                }
                TurnAction::Order { order, sequence } => self.order(base, order, sequence),
            }
        }
    }

    fn tell(&self, id: pumicecleat_policy::TurnId, turn: Turn) {
        let outcome = match turn {
            Turn::Go { .. } => "go",
            Turn::No { reason, .. } => reason.as_str(),
        };
        let labels = TurnLabels { outcome };
        self.shared.meters.turns.get_or_create(&labels).inc();
        if let Some(waiter) = self.shared.waiters.borrow_mut().remove(&id) {
            // Its entry may have left meanwhile; the handler then takes the run back.
            let _ = waiter.try_send(turn);
        }
    }

    fn order(&self, base: &BaseId, order: EngineOrder, sequence: u64) {
        let shared = Rc::clone(&self.shared);
        let base = base.clone();
        monoio::spawn(async move { give(&shared, &base, order, sequence).await });
    }
}

async fn give(shared: &Shared, base: &BaseId, order: EngineOrder, sequence: u64) {
    let (name, adapter, version) = describe(&order);
    let fields = [
        field("order", name),
        field("adapter", adapter),
        field("version", version),
        field("sequence", sequence),
    ];
    shared.log.emit(&events::ORDER_SENT, &fields);
    let from = shared.timer.now();
    let instance = shared.instance.borrow().clone();
    let starts = shared.starts.get();
    let named = (!instance.is_empty()).then_some(instance.as_str());
    let answer = shared
        .port
        .order(base, &order, named, sequence, ORDER_SPAN)
        .await;
    let now = shared.timer.now();
    let end = end_name(answer.end);
    let fields = [
        field("order", name),
        field("adapter", adapter),
        field("end", end),
        field("took_ms", now.since(from).0),
        field("error", answer.detail.as_deref().unwrap_or_default()),
    ];
    shared.log.emit(&events::ORDER_ENDED, &fields);
    let labels = OrderLabels { order: name, end };
    shared.meters.orders.get_or_create(&labels).inc();
    if shared.starts.get() == starts {
        shared.turns.borrow_mut().order_ended(answer.end, now);
        if answer.end == OrderOutcome::Misdirected {
            shared.engine_denied(&instance);
        }
    }
    shared.wake.ring();
}

/// Whether a report is of another start than the one before, which had `born` and `sequence`: engines
/// that tell when they started are known by it, others by a sequence that fell.
fn has_restarted(state: &EngineReport, born: Option<u64>, sequence: u64) -> bool {
    match (state.start_time_ms, born) {
        (Some(now), Some(before)) => now != before,
        _ => state.sequence < sequence,
    }
}

fn describe(order: &EngineOrder) -> (&'static str, &str, u64) {
    match order {
        EngineOrder::LoadBase => ("load_base", "", 0),
        EngineOrder::Load { adapter, version } => ("load", adapter, version.unwrap_or_default()),
        EngineOrder::Unload { adapter } => ("unload", adapter, 0),
    }
}

fn end_name(end: OrderOutcome) -> &'static str {
    match end {
        OrderOutcome::Accepted => "accepted",
        OrderOutcome::Done => "done",
        OrderOutcome::Conflict => "conflict",
        OrderOutcome::Refused => "refused",
        OrderOutcome::Misdirected => "misdirected",
        OrderOutcome::Unknown => "unknown",
    }
}

/// Places for adapters: by their number, and by the space that the base model leaves.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a float's cast saturates"
)]
fn places(engine: &Engine, base: &Base) -> u32 {
    if base.adapter_mb <= 0.0 {
        return engine.places;
    }
    let fitting = ((engine.space_mb - base.size_mb) / base.adapter_mb).floor();
    engine.places.min(fitting.max(0.0) as u32)
}

/// Times of a load of the base model; where one is not told, that of the next slower way.
fn base_loads(base: &Base) -> BaseLoadTimes {
    let known = |own: f64, slower: f64| if own > 0.0 { own } else { slower };
    let disk = known(base.disk_s, base.load_s);
    // A configuration's figure may be anything; none that makes sense is refused here.
    let span = |s: f64| millis(Duration::try_from_secs_f64(s).unwrap_or_default());
    BaseLoadTimes {
        memory: span(known(base.warm_s, disk)),
        disk: span(disk),
        store: span(base.load_s),
    }
}

fn millis(span: Duration) -> Millis {
    Millis(u64::try_from(span.as_millis()).unwrap_or(u64::MAX))
}

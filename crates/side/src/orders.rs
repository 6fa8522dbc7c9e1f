//! Load and unload orders to the engine, and bids for a turn at the weight store to the entry that
//! schedules loads.

use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use pumicecleat_net::post;
use pumicecleat_ops::{events, field};
use pumicecleat_policy::{Bid, LoadOutcome};
use pumicecleat_types::{LoadBid, LoadTurn, Lora, Millis};
use pumicecleat_upstream::{Engine, Order as EngineOrder, OrderError, load_and_confirm};
use xxhash_rust::xxh3::xxh3_64;

use crate::dispatch::{Dispatcher, Order};
use crate::state::{State, UPSTREAM_CONDITION};

const BID_PATH: &str = "/peer/v1/load";
const BID_TIMEOUT: Duration = Duration::from_millis(500);
/// Entries asked for a turn before the bid counts as unanswered.
const MAX_BID_ATTEMPTS: usize = 2;
const UNLOAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Rendezvous hash subject of a region's weight store; with it all sides rank the entries alike.
const STORE_SUBJECT: &str = "weight-store";

/// Carries out the orders of a dispatcher and reports their outcomes to it.
#[derive(Clone)]
pub(crate) struct OrderRunner {
    pub(crate) state: Rc<State>,
    pub(crate) dispatcher: Dispatcher,
    pub(crate) engine: Rc<dyn Engine>,
}

impl OrderRunner {
    /// Carries out each order in its own task; returns once the dispatcher is dropped.
    pub(crate) async fn run(self, orders: Receiver<Order>) {
        while let Ok(order) = orders.recv().await {
            let runner = self.clone();
            monoio::spawn(async move { runner.carry_out(order).await });
        }
    }

    async fn carry_out(&self, order: Order) {
        match order {
            Order::Bid(bid) => self.bid(&bid).await,
            Order::ReleaseTurn => self.release_turn().await,
            Order::Load(lora) => self.load(&lora).await,
            Order::Unload(lora) => self.unload(&lora).await,
        }
    }

    async fn bid(&self, bid: &Bid) {
        let message = LoadBid {
            vm: self.state.vm().clone(),
            lora: Some(self.dispatcher.name_of(bid.lora)),
            waiting: bid.waiting,
            time_left_ms: bid.left.0,
            waited_ms: bid.waited.0,
        };
        let turn = self.request_turn(&message).await;
        let seed = format!("{} {}", self.state.vm(), self.state.timer.now().0);
        self.dispatcher.bid_ended(turn, xxh3_64(seed.as_bytes()));
    }

    async fn release_turn(&self) {
        let message = LoadBid {
            vm: self.state.vm().clone(),
            lora: None,
            waiting: 0,
            time_left_ms: 0,
            waited_ms: 0,
        };
        // A turn that is not released expires by itself.
        let _ = self.request_turn(&message).await;
    }

    async fn request_turn(&self, message: &LoadBid) -> Option<LoadTurn> {
        let ranked = self.state.entries.ranked(STORE_SUBJECT);
        for entry in ranked.iter().take(MAX_BID_ATTEMPTS) {
            let reply = post(&self.state.client, entry, BID_PATH, message, BID_TIMEOUT).await;
            if let Ok(turn) = reply {
                return Some(turn);
            }
        }
        None
    }

    async fn load(&self, lora: &Lora) {
        let name = lora.engine_name();
        let started_at = self.state.timer.now();
        let outcome = match self.state.config.weights_path(lora) {
            Some(path) => self.order_load(&name, &path).await,
            None => LoadOutcome::Failed,
        };
        let took = self.state.timer.now().since(started_at);
        self.record_load(&name, outcome, took);
        self.dispatcher.loaded(lora, outcome);
        self.state.request_reports();
    }

    async fn order_load(&self, name: &str, path: &str) -> LoadOutcome {
        let fields = [
            field("lora", name),
            field("waiting", self.dispatcher.figures().waiting),
        ];
        self.state.log.emit(&events::LOAD_STARTED, &fields);
        let order = self.order(name, path);
        let timeout = self.state.settings.load_limit.0;
        match load_and_confirm(self.engine.as_ref(), order, timeout).await {
            Ok(_) => LoadOutcome::Done,
            Err(e) => {
                self.handle_order_error("load", name, &e);
                LoadOutcome::Failed
            }
        }
    }

    async fn unload(&self, lora: &Lora) {
        let name = lora.engine_name();
        let is_unloaded = !self.is_in_use(&name).await && self.order_unload(&name).await;
        if is_unloaded {
            self.state
                .log
                .emit(&events::UNLOADED, &[field("lora", &name)]);
            self.state.metrics.unloads.inc();
        }
        self.dispatcher.unloaded(lora, is_unloaded);
        self.state.request_reports();
    }

    /// Whether the engine still runs a request with the adapter: one aborted a moment ago, or one
    /// of an earlier side process. If the engine does not answer, the adapter counts as in use, so
    /// that no unload is ordered.
    async fn is_in_use(&self, name: &str) -> bool {
        match self.engine.metrics().await {
            Ok(metrics) => metrics.loras.iter().any(|l| l == name),
            Err(_) => true,
        }
    }

    async fn order_unload(&self, name: &str) -> bool {
        let order = self.order(name, "");
        match self.engine.unload(order, UNLOAD_TIMEOUT).await {
            Ok(()) => true,
            Err(e) => {
                self.handle_order_error("unload", name, &e);
                self.is_absent(name).await
            }
        }
    }

    async fn is_absent(&self, name: &str) -> bool {
        let resident = self.engine.resident().await;
        resident.is_ok_and(|r| !r.iter().any(|l| l == name))
    }

    fn order<'a>(&self, lora: &'a str, path: &'a str) -> EngineOrder<'a> {
        EngineOrder {
            lora,
            path,
            fence: self.state.incarnation,
        }
    }

    fn record_load(&self, name: &str, outcome: LoadOutcome, took: Millis) {
        let metrics = &self.state.metrics;
        metrics.load_seconds.observe(took.as_secs());
        if outcome == LoadOutcome::Done {
            metrics.loads.inc();
            let fields = [field("lora", name), field("took_ms", took.0)];
            self.state.log.emit(&events::LOAD_DONE, &fields);
        } else {
            metrics.failed_loads.inc();
        }
    }

    fn handle_order_error(&self, step: &str, name: &str, error: &OrderError) {
        if let OrderError::Stale { .. } = error {
            let fields = [
                field("upstream", self.engine.peer()),
                field("order", step),
                field("number", self.state.incarnation),
            ];
            self.state.log.emit(&events::ORDER_FENCED, &fields);
            // A newer side process gives orders to this engine, so this one must give no more.
            self.state
                .readiness
                .set_unmet(UPSTREAM_CONDITION, "it takes orders of a newer side");
            self.state.leave("fencing number");
            return;
        }
        let fields = [field("lora", name), field("error", error)];
        self.state.log.emit(&events::LOAD_FAILED, &fields);
    }
}

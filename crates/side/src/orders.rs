//! Orders to the engine, and bids at the entry that keeps the load order.

use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use pumicecleat_net::post;
use pumicecleat_ops::{events, field};
use pumicecleat_policy::{Bid, LoadOutcome};
use pumicecleat_types::{LoadBid, LoadTurn, Lora, Millis};
use pumicecleat_upstream::{Engine, Order as EngineOrder, OrderError, load_confirmed};
use xxhash_rust::xxh3::xxh3_64;

use crate::dispatch::{Dispatcher, Order};
use crate::state::{State, UPSTREAM};

const BID_PATH: &str = "/peer/v1/load";
const BID_SPAN: Duration = Duration::from_millis(500);
/// Entries asked for a turn before the side goes without.
const BID_TRIES: usize = 2;
const UNLOAD_SPAN: Duration = Duration::from_secs(10);
/// Name by which sides rank the entries for the one weight store of a region.
const STORE: &str = "weight-store";

/// What orders go to, and where their ends are told.
#[derive(Clone)]
pub(crate) struct OrderRunner {
    pub(crate) state: Rc<State>,
    pub(crate) dispatcher: Dispatcher,
    pub(crate) engine: Rc<dyn Engine>,
}

impl OrderRunner {
    /// Carries out orders, each on its own; ends with the dispatcher.
    pub(crate) async fn run(self, orders: Receiver<Order>) {
        while let Ok(order) = orders.recv().await {
            let runner = self.clone();
            monoio::spawn(async move { runner.carry_out(order).await });
        }
    }

    async fn carry_out(&self, order: Order) {
        match order {
            Order::Bid(bid) => self.bid(&bid).await,
            Order::ReleaseTurn => self.give_back().await,
            Order::Load(lora) => self.load(&lora).await,
            Order::Unload(lora) => self.unload(&lora).await,
        }
    }

    async fn bid(&self, bid: &Bid) {
        let message = LoadBid {
            vm: self.state.vm().clone(),
            lora: Some(self.dispatcher.name_of(bid.lora)),
            waiting: bid.waiting,
            left_ms: bid.left.0,
            waited_ms: bid.waited.0,
        };
        let turn = self.ask_turn(&message).await;
        let seed = format!("{} {}", self.state.vm(), self.state.timer.now().0);
        self.dispatcher.bid_ended(turn, xxh3_64(seed.as_bytes()));
    }

    async fn give_back(&self) {
        let message = LoadBid {
            vm: self.state.vm().clone(),
            lora: None,
            waiting: 0,
            left_ms: 0,
            waited_ms: 0,
        };
        // A turn that is not given back lapses by itself.
        let _ = self.ask_turn(&message).await;
    }

    async fn ask_turn(&self, message: &LoadBid) -> Option<LoadTurn> {
        let ranked = self.state.entries.ranked(STORE);
        for entry in ranked.iter().take(BID_TRIES) {
            let reply = post(&self.state.client, entry, BID_PATH, message, BID_SPAN).await;
            if let Ok(turn) = reply {
                return Some(turn);
            }
        }
        None
    }

    async fn load(&self, lora: &Lora) {
        let name = lora.engine_name();
        let from = self.state.timer.now();
        let end = match self.state.config.path(lora) {
            Some(path) => self.order_load(&name, &path).await,
            None => LoadOutcome::Failed,
        };
        let took = self.state.timer.now().since(from);
        self.note_load(&name, end, took);
        self.dispatcher.loaded(lora, end);
        self.state.reports_due();
    }

    async fn order_load(&self, name: &str, path: &str) -> LoadOutcome {
        let fields = [
            field("lora", name),
            field("waiting", self.dispatcher.figures().waiting),
        ];
        self.state.log.emit(&events::LOAD_STARTED, &fields);
        let order = self.order(name, path);
        let span = self.state.settings.load_limit.0;
        match load_confirmed(self.engine.as_ref(), order, span).await {
            Ok(_) => LoadOutcome::Done,
            Err(e) => {
                self.note_error("load", name, &e);
                LoadOutcome::Failed
            }
        }
    }

    async fn unload(&self, lora: &Lora) {
        let name = lora.engine_name();
        let gone = !self.is_in_use(&name).await && self.order_unload(&name).await;
        if gone {
            self.state
                .log
                .emit(&events::UNLOADED, &[field("lora", &name)]);
            self.state.metrics.unloads.inc();
        }
        self.dispatcher.unloaded(lora, gone);
        self.state.reports_due();
    }

    /// Whether the engine itself still runs a request with it: one cut short a moment ago, or one
    /// of an earlier side. An engine that does not tell gets no order.
    async fn is_in_use(&self, name: &str) -> bool {
        match self.engine.running().await {
            Ok(running) => running.loras.iter().any(|l| l == name),
            Err(_) => true,
        }
    }

    async fn order_unload(&self, name: &str) -> bool {
        let order = self.order(name, "");
        match self.engine.unload(order, UNLOAD_SPAN).await {
            Ok(()) => true,
            Err(e) => {
                self.note_error("unload", name, &e);
                self.is_gone(name).await
            }
        }
    }

    async fn is_gone(&self, name: &str) -> bool {
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

    fn note_load(&self, name: &str, end: LoadOutcome, took: Millis) {
        let metrics = &self.state.metrics;
        metrics.load_seconds.observe(took.as_secs());
        if end == LoadOutcome::Done {
            metrics.loads.inc();
            let fields = [field("lora", name), field("took_ms", took.0)];
            self.state.log.emit(&events::LOAD_DONE, &fields);
        } else {
            metrics.failed_loads.inc();
        }
    }

    fn note_error(&self, step: &str, name: &str, error: &OrderError) {
        if let OrderError::Stale { .. } = error {
            let fields = [
                field("upstream", self.engine.peer()),
                field("order", step),
                field("number", self.state.incarnation),
            ];
            self.state.log.emit(&events::ORDER_FENCED, &fields);
            // Another giver of orders has come after this one, which must give none any more.
            self.state
                .readiness
                .fail(UPSTREAM, "it takes orders of a newer side");
            self.state.leave("fencing number");
            return;
        }
        let fields = [field("lora", name), field("error", error)];
        self.state.log.emit(&events::LOAD_FAILED, &fields);
    }
}

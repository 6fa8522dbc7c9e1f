//! Exchanges with the agents beside engines: turns, news of requests, and figures.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use pumicecleat_catalog::{Catalog, Upstream};
use pumicecleat_net::{NetError, SHORT_ANSWER, post_ext};
use pumicecleat_ops::{events, field};
use pumicecleat_policy::RelaySelector;
use pumicecleat_types::{
    LimitNews, Millis, Reachability, RunNews, Turn, TurnAsk, TurnCall, TurnReply,
};

use crate::service_traits::service_traits;
use crate::shared::Shared;
use crate::suspects;
use crate::table::{SILENCE_TIMEOUT, UnreportedAsk, UpstreamRecord};

/// Path of the exchange.
const TURN_PATH: &str = "/peer/v1/turn";

/// Interval between checks for agents that are due for an exchange.
const SYNC_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Minimum interval between exchanges that carry news. Until news arrive, an agent counts the prompts of
/// requests that have begun as unread.
const MIN_NEWS_INTERVAL: Millis = Millis(50);

/// Interval between exchanges without news. Figures older than the time of a few prompts lead to poor
/// routing.
const SYNC_INTERVAL: Millis = Millis(200);

/// Interval between calls to an agent that could not be reached, where a relay collects figures.
const DIRECT_SYNC_INTERVAL: Millis = Millis(1_000);

/// Timeout of an exchange without an ask. A healthy agent responds within a few milliseconds.
const SYNC_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval at which a pending ask checks whether its agent is still reachable.
const ASK_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time that an ask may take beyond the patience of its caller.
const ASK_MARGIN: Millis = Millis(200);

/// Outcome of an ask.
pub(crate) struct AskOutcome {
    pub(crate) turn: Turn,
    /// Unix time of the engine's start in milliseconds, as the agent sees it; 0 if unknown.
    pub(crate) seen_start: u64,
}

/// The agent was lost before the ask had an outcome.
pub(crate) struct AgentLost;

/// Keeps figures fresh and delivers news; never returns.
pub(crate) async fn sync_agents(shared: Rc<Shared>) {
    loop {
        let now = shared.timer.now();
        for upstream in due_upstreams(&shared, now) {
            let shared = Rc::clone(&shared);
            monoio::spawn(async move { sync_agent(&shared, &upstream).await });
        }
        shared.timer.sleep(SYNC_CHECK_INTERVAL).await;
    }
}

/// Engines that are due for an exchange with their agent; marks the exchanges as started.
fn due_upstreams(shared: &Shared, now: Millis) -> Vec<Upstream> {
    let catalog = shared.catalog.borrow();
    let uses_relay = RelaySelector::is_needed(engines(&catalog).count());
    shared.uses_relay.set(uses_relay);
    let due = engines(&catalog).filter(|u| is_due(shared, &u.instance, uses_relay, now));
    due.cloned().collect()
}

/// Listed upstreams that are model engines.
pub(crate) fn engines(catalog: &Catalog) -> impl Iterator<Item = &Upstream> {
    let layout = catalog.layout();
    let is_engine = move |u: &&Upstream| layout.is_some_and(|l| l.engine(&u.service).is_some());
    catalog.upstreams().filter(is_engine)
}

/// Whether an exchange with the agent beside `instance` is due. Where a relay collects figures, only agents
/// are called that have news to receive, have pending asks, or could not be reached.
fn is_due(shared: &Shared, instance: &str, uses_relay: bool, now: Millis) -> bool {
    shared.table.with(instance, |r| {
        let age = now.since(r.synced_at);
        let is_news_due = r.has_news() && age >= MIN_NEWS_INTERVAL;
        let due = if uses_relay {
            let needs_contact = r.pending_asks > 0
                || (r.failing_since.is_some() && r.reach == Reachability::Reachable);
            // What this gateway observed itself takes precedence over a relay's report: only a direct
            // exchange ends the failure.
            let needs_check = r.failing_since.is_some();
            is_news_due
                || (needs_contact && age >= SYNC_INTERVAL)
                || (needs_check && age >= DIRECT_SYNC_INTERVAL)
        } else {
            r.heard_at.is_none() || age >= SYNC_INTERVAL || is_news_due
        };
        let due = due && !r.is_syncing && (age >= MIN_NEWS_INTERVAL || r.synced_at == Millis(0));
        if due {
            r.is_syncing = true;
            r.synced_at = now;
        }
        due
    })
}

async fn sync_agent(shared: &Shared, upstream: &Upstream) {
    let news = shared
        .table
        .with(&upstream.instance, UpstreamRecord::take_news);
    let mut call = TurnCall {
        entry: shared.vm.clone(),
        instance: upstream.instance.clone(),
        news: news.clone(),
        marks: shared.marks.to_message(shared.timer.now()),
        cached_digest: kept_digest(shared, upstream),
        peer_traits: service_traits(shared, &upstream.service),
        suspects: None,
        limit: limit_news(shared, upstream),
        ask: None,
    };
    let result = exchange(shared, upstream, &mut call, SYNC_TIMEOUT).await;
    if result.is_err() {
        shared.table.with(&upstream.instance, |r| {
            for news in news {
                r.push_news(news);
            }
        });
    }
    shared
        .table
        .with(&upstream.instance, |r| r.is_syncing = false);
}

/// News of the rate limit of `upstream` for its agent.
fn limit_news(shared: &Shared, upstream: &Upstream) -> Option<LimitNews> {
    let now = shared.timer.now();
    shared.limits.borrow().news(&upstream.instance, now)
}

/// Digest of the cached adapters known of `upstream`.
fn kept_digest(shared: &Shared, upstream: &Upstream) -> u64 {
    shared
        .table
        .with(&upstream.instance, |r| r.kept_adapters.digest)
}

/// Asks for a turn at `upstream`; waits until the ask has an outcome or the agent is lost.
pub(crate) async fn ask_turn(
    shared: &Shared,
    upstream: &Upstream,
    ask: TurnAsk,
    needs_slot: bool,
) -> Result<AskOutcome, AgentLost> {
    let now = shared.timer.now();
    let unreported_ask = UnreportedAsk {
        sent_at: now,
        tokens: ask.prompt_tokens,
        needs_slot,
    };
    let news: Vec<RunNews> = shared.table.with(&upstream.instance, |r| {
        r.unreported_asks.push(unreported_ask);
        r.pending_asks += 1;
        r.take_news()
    });
    let timeout = Duration::from_millis((Millis(ask.patience_ms) + ASK_MARGIN).0);
    let mut call = TurnCall {
        entry: shared.vm.clone(),
        instance: upstream.instance.clone(),
        news,
        marks: shared.marks.to_message(now),
        cached_digest: kept_digest(shared, upstream),
        peer_traits: service_traits(shared, &upstream.service),
        suspects: None,
        limit: limit_news(shared, upstream),
        ask: Some(ask),
    };
    let _guard = PendingAskGuard {
        shared,
        instance: &upstream.instance,
    };
    let mut exchange = Box::pin(exchange(shared, upstream, &mut call, timeout));
    loop {
        match shared.timer.within(ASK_CHECK_INTERVAL, &mut exchange).await {
            Ok(Ok(reply)) => {
                let turn = reply.turn.ok_or(AgentLost)?;
                let seen_start = reply.figures.start_time_ms;
                return Ok(AskOutcome { turn, seen_start });
            }
            Ok(Err(_)) => return Err(AgentLost),
            Err(_) if is_silent(shared, &upstream.instance, now) => return Err(AgentLost),
            Err(_) => {}
        }
    }
}

/// Counts an ask as pending until dropped.
struct PendingAskGuard<'a> {
    shared: &'a Shared,
    instance: &'a str,
}

impl Drop for PendingAskGuard<'_> {
    fn drop(&mut self) {
        let table = &self.shared.table;
        table.with(self.instance, |r| {
            r.pending_asks = r.pending_asks.saturating_sub(1);
        });
    }
}

/// Whether the agent of `instance` counts as lost for an ask sent at `sent_at`.
fn is_silent(shared: &Shared, instance: &str, sent_at: Millis) -> bool {
    let now = shared.timer.now();
    let has_waited = now.since(sent_at) >= SILENCE_TIMEOUT;
    shared.table.with(instance, |r| {
        r.is_failing(now) || has_waited && r.is_silent(now)
    })
}

async fn exchange(
    shared: &Shared,
    upstream: &Upstream,
    call: &mut TurnCall,
    timeout: Duration,
) -> Result<TurnReply, NetError> {
    let address = SocketAddr::new(upstream.address.ip(), shared.agent_port);
    let sent_at = shared.timer.now();
    let peer = address.to_string();
    // Where relays collect figures, they also distribute news of suspects: sent to each agent, these would be
    // most of the traffic.
    let suspects = (!shared.uses_relay.get()).then(|| suspects::outgoing_news(shared, address));
    call.suspects = suspects.as_ref().map(|s| s.news.clone());
    let result: Result<TurnReply, NetError> = post_ext(
        &shared.agent_client,
        &peer,
        TURN_PATH,
        call,
        timeout,
        SHORT_ANSWER,
    )
    .await;
    match &result {
        Ok(reply) => {
            if let (Some(sent), Some(news)) = (suspects, &reply.suspects) {
                suspects::apply_reply(shared, address, sent.sent_up_to, news);
            }
            record_reply(shared, upstream, reply, sent_at);
        }
        Err(e) => record_failure(shared, upstream, e),
    }
    result
}

fn record_reply(shared: &Shared, upstream: &Upstream, reply: &TurnReply, sent_at: Millis) {
    let now = shared.timer.now();
    let failing_since = shared.table.with(&upstream.instance, |r| {
        r.heard_at = Some(now);
        r.failing_since
            .take()
            .filter(|_| std::mem::take(&mut r.loss_logged))
    });
    if let Some(since) = failing_since {
        let silent_ms = now.since(since).0;
        let fields = [
            field("side", upstream.instance.as_str()),
            field("silent_ms", silent_ms),
        ];
        shared.log.emit(&events::SIDE_BACK, &fields);
    }
    shared.marks.merge(&reply.marks, now);
    shared.record_gateways(reply.entries, now);
    let instance = &reply.figures.instance;
    let is_expected = *instance == upstream.instance;
    shared.table.with(&upstream.instance, |r| {
        // An agent that does not know its engine yet can't grant turns.
        r.reach = if is_expected {
            Reachability::Reachable
        } else {
            Reachability::Replaced
        };
    });
    if is_expected {
        shared.table.with(&upstream.instance, |r| {
            r.unreported_asks.retain(|a| a.sent_at > sent_at);
            r.set_figures(reply.figures.clone(), now);
            if let Some(kept) = &reply.cached_adapters {
                r.kept_adapters = kept.clone();
            }
        });
    }
}

fn record_failure(shared: &Shared, upstream: &Upstream, error: &NetError) {
    let now = shared.timer.now();
    let already_logged = shared.table.with(&upstream.instance, |r| {
        r.failing_since.get_or_insert(now);
        let silent = r.is_silent(now);
        if silent && !error.is_refused() {
            r.reach = Reachability::Unreachable;
        }
        !silent || std::mem::replace(&mut r.loss_logged, true)
    });
    if !already_logged {
        let fields = [
            field("side", upstream.instance.as_str()),
            field("error", error),
        ];
        shared.log.emit(&events::SIDE_LOST, &fields);
    }
}

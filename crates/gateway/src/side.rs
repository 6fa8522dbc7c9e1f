//! Exchanges with the agents beside engines: turns, news of requests, and figures.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use pumicecleat_catalog::{Catalog, Upstream};
use pumicecleat_net::{NetError, post};
use pumicecleat_ops::{events, field};
use pumicecleat_policy::RelaySelector;
use pumicecleat_types::{LimitNews, Millis, Reach, RunNews, Turn, TurnAsk, TurnCall, TurnReply};

use crate::peers::peers;
use crate::shared::Shared;
use crate::suspects;
use crate::table::{Asking, Record};

/// Path of the exchange.
const TURN_PATH: &str = "/peer/v1/turn";

/// Interval between checks for agents that are due for an exchange.
const LOOK: Duration = Duration::from_millis(25);

/// Minimum interval between exchanges that carry news. Until news arrive, an agent counts the prompts of
/// requests that have begun as unread.
const NEWS_SPAN: Millis = Millis(50);

/// Interval between exchanges without news. Figures older than the time of a few prompts lead to poor
/// routing.
const SYNC_SPAN: Millis = Millis(200);

/// Time after the last message about an engine, from its agent or a relay, after which its agent is called
/// directly although a relay collects figures: five views. Also the interval between calls to an agent that
/// could not be reached.
const UNHEARD_SPAN: Millis = Millis(1_000);

/// Timeout of an exchange without an ask. A healthy agent responds within a few milliseconds.
const CALL_SPAN: Duration = Duration::from_millis(500);

/// Interval at which a pending ask checks whether its agent is still reachable.
const ASK_STEP: Duration = Duration::from_millis(100);

/// Time that an ask may take beyond the patience of its caller.
const ASK_MARGIN: Millis = Millis(200);

/// The agent was lost before the ask had an outcome.
pub(crate) struct AgentLost;

/// Keeps figures fresh and delivers news; never returns.
pub(crate) async fn sync(shared: Rc<Shared>) {
    loop {
        let now = shared.timer.now();
        for upstream in due(&shared, now) {
            let shared = Rc::clone(&shared);
            monoio::spawn(async move { sync_one(&shared, &upstream).await });
        }
        shared.timer.sleep(LOOK).await;
    }
}

/// Engines that are due for an exchange with their agent; marks the exchanges as started.
fn due(shared: &Shared, now: Millis) -> Vec<Upstream> {
    let catalog = shared.catalog.borrow();
    let relayed = RelaySelector::is_needed(engines(&catalog).count());
    shared.relayed.set(relayed);
    let due = engines(&catalog).filter(|u| is_due(shared, &u.instance, relayed, now));
    due.cloned().collect()
}

/// Listed upstreams that are model engines.
pub(crate) fn engines(catalog: &Catalog) -> impl Iterator<Item = &Upstream> {
    let layout = catalog.layout();
    let is_engine = move |u: &&Upstream| layout.is_some_and(|l| l.engine(&u.service).is_some());
    catalog.upstreams().filter(is_engine)
}

/// Whether an exchange with the agent beside `instance` is due. Where a relay collects figures, only agents
/// are called that have news to receive, have pending asks, or have not been heard of.
fn is_due(shared: &Shared, instance: &str, relayed: bool, now: Millis) -> bool {
    shared.table.with(instance, |r| {
        let age = now.since(r.synced);
        let news = r.has_news() && age >= NEWS_SPAN;
        let due = if relayed {
            let heard = r.heard.max(r.viewed).max(Some(r.listed(now)));
            let unheard = heard.is_none_or(|at| now.since(at) >= UNHEARD_SPAN);
            let tried = r.waiting > 0 || (r.failing.is_some() && r.reach == Reach::Sound);
            // What this gateway observed itself takes precedence over a relay's report: only a direct
            // exchange ends the failure.
            let doubted = unheard || r.failing.is_some();
            news || (tried && age >= SYNC_SPAN) || (doubted && age >= UNHEARD_SPAN)
        } else {
            r.heard.is_none() || age >= SYNC_SPAN || news
        };
        let due = due && !r.syncing && (age >= NEWS_SPAN || r.synced == Millis(0));
        if due {
            r.syncing = true;
            r.synced = now;
        }
        due
    })
}

async fn sync_one(shared: &Shared, upstream: &Upstream) {
    let news = shared.table.with(&upstream.instance, Record::take_news);
    let mut call = TurnCall {
        entry: shared.vm.clone(),
        instance: upstream.instance.clone(),
        news: news.clone(),
        marks: shared.marks.to_message(shared.timer.now()),
        kept: known(shared, upstream),
        peers: peers(shared, &upstream.service),
        suspects: None,
        limit: limit_news(shared, upstream),
        ask: None,
    };
    let result = exchange(shared, upstream, &mut call, CALL_SPAN).await;
    if result.is_err() {
        shared.table.with(&upstream.instance, |r| {
            for news in news {
                r.tell(news);
            }
        });
    }
    shared.table.with(&upstream.instance, |r| r.syncing = false);
}

/// News of the rate limit of `upstream` for its agent.
fn limit_news(shared: &Shared, upstream: &Upstream) -> Option<LimitNews> {
    let now = shared.timer.now();
    shared.limits.borrow().news(&upstream.instance, now)
}

/// Digest of the cached adapters known of `upstream`.
fn known(shared: &Shared, upstream: &Upstream) -> u64 {
    shared.table.with(&upstream.instance, |r| r.kept.digest)
}

/// Asks for a turn at `upstream`; waits until the ask has an outcome or the agent is lost.
pub(crate) async fn ask(
    shared: &Shared,
    upstream: &Upstream,
    ask: TurnAsk,
    place: bool,
) -> Result<Turn, AgentLost> {
    let now = shared.timer.now();
    let asking = Asking {
        at: now,
        tokens: ask.tokens,
        place,
    };
    let news: Vec<RunNews> = shared.table.with(&upstream.instance, |r| {
        r.asking.push(asking);
        r.waiting += 1;
        r.take_news()
    });
    let span = Duration::from_millis((Millis(ask.patience_ms) + ASK_MARGIN).0);
    let mut call = TurnCall {
        entry: shared.vm.clone(),
        instance: upstream.instance.clone(),
        news,
        marks: shared.marks.to_message(now),
        kept: known(shared, upstream),
        peers: peers(shared, &upstream.service),
        suspects: None,
        limit: limit_news(shared, upstream),
        ask: Some(ask),
    };
    let _waiting = Waiting {
        shared,
        instance: &upstream.instance,
    };
    let mut exchange = Box::pin(exchange(shared, upstream, &mut call, span));
    loop {
        match shared.timer.within(ASK_STEP, &mut exchange).await {
            Ok(Ok(reply)) => return reply.turn.ok_or(AgentLost),
            Ok(Err(_)) => return Err(AgentLost),
            Err(_) if is_silent(shared, &upstream.instance) => return Err(AgentLost),
            Err(_) => {}
        }
    }
}

/// Counts an ask as pending until dropped.
struct Waiting<'a> {
    shared: &'a Shared,
    instance: &'a str,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let table = &self.shared.table;
        table.with(self.instance, |r| r.waiting = r.waiting.saturating_sub(1));
    }
}

fn is_silent(shared: &Shared, instance: &str) -> bool {
    let now = shared.timer.now();
    shared.table.with(instance, |r| r.is_silent(now))
}

async fn exchange(
    shared: &Shared,
    upstream: &Upstream,
    call: &mut TurnCall,
    span: Duration,
) -> Result<TurnReply, NetError> {
    let address = SocketAddr::new(upstream.address.ip(), shared.agent_port);
    let sent = shared.timer.now();
    let peer = address.to_string();
    // Where relays collect figures, they also distribute news of suspects: sent to each agent, these would be
    // most of the traffic.
    let suspects = (!shared.relayed.get()).then(|| suspects::tell(shared, address));
    call.suspects = suspects.as_ref().map(|s| s.news.clone());
    let result: Result<TurnReply, NetError> =
        post(&shared.agents, &peer, TURN_PATH, call, span).await;
    match &result {
        Ok(reply) => {
            if let (Some(told), Some(news)) = (suspects, &reply.suspects) {
                suspects::hear(shared, address, told.sent_up_to, news);
            }
            note_heard(shared, upstream, reply, sent);
        }
        Err(e) => note_lost(shared, upstream, e),
    }
    result
}

fn note_heard(shared: &Shared, upstream: &Upstream, reply: &TurnReply, sent: Millis) {
    let now = shared.timer.now();
    let silent = shared.table.with(&upstream.instance, |r| {
        r.heard = Some(now);
        r.failing
            .take()
            .filter(|_| std::mem::take(&mut r.told_lost))
    });
    if let Some(since) = silent {
        let silent_ms = now.since(since).0;
        let fields = [
            field("side", upstream.instance.as_str()),
            field("silent_ms", silent_ms),
        ];
        shared.log.emit(&events::SIDE_BACK, &fields);
    }
    shared.marks.merge(&reply.marks, now);
    shared.gateways.borrow_mut().told(reply.entries, now);
    let named = &reply.figures.instance;
    let own = *named == upstream.instance;
    shared.table.with(&upstream.instance, |r| {
        // An agent that does not know its engine yet can't grant turns.
        r.reach = if own { Reach::Sound } else { Reach::Replaced };
    });
    if own {
        shared.table.with(&upstream.instance, |r| {
            r.asking.retain(|a| a.at > sent);
            r.take_figures(reply.figures.clone(), now);
            if let Some(kept) = &reply.kept {
                r.kept = kept.clone();
            }
        });
    }
}

fn note_lost(shared: &Shared, upstream: &Upstream, error: &NetError) {
    let now = shared.timer.now();
    let known = shared.table.with(&upstream.instance, |r| {
        r.failing.get_or_insert(now);
        let silent = r.is_silent(now);
        if silent && !error.is_refused() {
            r.reach = Reach::CutOff;
        }
        !silent || std::mem::replace(&mut r.told_lost, true)
    });
    if !known {
        let fields = [
            field("side", upstream.instance.as_str()),
            field("error", error),
        ];
        shared.log.emit(&events::SIDE_LOST, &fields);
    }
}

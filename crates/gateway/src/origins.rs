//! Where streams began, kept for callers that take a stream up at any gateway.
//!
//! A gateway keeps the origin of each stream whose first event it forwards, and sends copies to a few agents at
//! the same time; the event waits for none of them. A stream whose copies were all lost can't be taken up.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use pumicecleat_net::{NetError, SHORT_ANSWER, post_ext};
use pumicecleat_policy::{COPIES, LOOKUPS, OriginTable, keepers, keepers_of};
use pumicecleat_types::{Millis, OriginCall, OriginReply, StreamOrigin};

use crate::agents::engines;
use crate::shared::Shared;

/// Path of the exchange.
const ORIGIN_PATH: &str = "/peer/v1/origin";

/// Timeout of a copy. A healthy agent responds within a few milliseconds.
const COPY_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of a lookup; a caller that takes a stream up has not had an event for longer.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(200);

/// Time after which the keepers are selected again. Short compared to the time between changes that replace more
/// keepers than are asked beside those with copies.
const SELECTION_TTL: Millis = Millis(2_000);

/// Origins of streams.
#[derive(Debug, Default)]
pub(crate) struct Origins {
    own: RefCell<OriginTable>,
    /// Agents that keep copies, and when they were selected.
    keepers: RefCell<Option<(Rc<[SocketAddr]>, Millis)>>,
}

/// Result of a lookup.
pub(crate) enum Lookup {
    /// The origin, and the process that had it.
    Found(StreamOrigin, String),
    /// No agent that was asked has it.
    Unknown,
    /// Some of the agents that may have it did not answer.
    Unreachable,
}

/// Keeps an origin, and sends copies of it to agents.
pub(crate) fn record(shared: &Rc<Shared>, origin: StreamOrigin) {
    let now = shared.timer.now();
    shared.origins.own.borrow_mut().insert(&origin, now);
    let shared = Rc::clone(shared);
    monoio::spawn(async move { send_copies(&shared, origin).await });
}

/// Sends copies to the agents ranked first; for each that does not answer, the next one gets it.
async fn send_copies(shared: &Shared, origin: StreamOrigin) {
    let ranked = ranked_keepers(shared, &origin.request);
    let call = OriginCall {
        begun: vec![origin],
        ask: None,
    };
    let mut agents = ranked.into_iter().take(LOOKUPS);
    let send = |agent| exchange(shared, agent, &call, COPY_TIMEOUT);
    let mut copies: FuturesUnordered<_> = agents.by_ref().take(COPIES).map(send).collect();
    while let Some(result) = copies.next().await {
        if result.is_err()
            && let Some(agent) = agents.next()
        {
            copies.push(send(agent));
        }
    }
}

/// Looks up where the stream began that `request` brought the first event of.
pub(crate) async fn find(shared: &Shared, request: &str) -> Lookup {
    let own = shared.origins.own.borrow().get(request, shared.timer.now());
    if let Some(origin) = own {
        return Lookup::Found(origin, "own".to_owned());
    }
    let call = OriginCall {
        begun: Vec::new(),
        ask: Some(request.to_owned()),
    };
    let agents = ranked_keepers(shared, request).into_iter().take(LOOKUPS);
    let ask = |agent| {
        let call = &call;
        async move { (agent, exchange(shared, agent, call, LOOKUP_TIMEOUT).await) }
    };
    let mut asks: FuturesUnordered<_> = agents.map(ask).collect();
    let mut is_reached = !asks.is_empty();
    while let Some((agent, result)) = asks.next().await {
        match result {
            Ok(OriginReply {
                origin: Some(origin),
            }) => return Lookup::Found(origin, agent.to_string()),
            Ok(_) => {}
            Err(_) => is_reached = false,
        }
    }
    if is_reached {
        Lookup::Unknown
    } else {
        Lookup::Unreachable
    }
}

async fn exchange(
    shared: &Shared,
    agent: SocketAddr,
    call: &OriginCall,
    timeout: Duration,
) -> Result<OriginReply, NetError> {
    let peer = agent.to_string();
    post_ext(
        &shared.agent_client,
        &peer,
        ORIGIN_PATH,
        call,
        timeout,
        SHORT_ANSWER,
    )
    .await
}

fn ranked_keepers(shared: &Shared, request: &str) -> Vec<SocketAddr> {
    keepers_of(request, &selected_keepers(shared))
}

fn selected_keepers(shared: &Shared) -> Rc<[SocketAddr]> {
    let now = shared.timer.now();
    let mut selected = shared.origins.keepers.borrow_mut();
    if let Some((agents, at)) = &*selected
        && now.since(*at) < SELECTION_TTL
    {
        return Rc::clone(agents);
    }
    let catalog = shared.catalog.borrow();
    let address = |ip| SocketAddr::new(ip, shared.agent_port);
    let agents = keepers(engines(&catalog).map(|u| address(u.address.ip())));
    let agents: Rc<[SocketAddr]> = agents.into();
    *selected = Some((Rc::clone(&agents), now));
    agents
}

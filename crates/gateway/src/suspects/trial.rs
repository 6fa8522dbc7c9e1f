//! Trials: permission to send a suspect once more.
//!
//! One agent grants the trials of a request for all gateways: the first that responds, in a ranking derived
//! from the request. Gateways therefore agree on the agent without coordination, and different requests use
//! different agents.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use pumicecleat_net::{NetError, post};
use pumicecleat_ops::{events, field};
use pumicecleat_policy::name_key;
use pumicecleat_types::{Fingerprint, Millis, Trial, TrialCall, TrialReply};

use crate::shared::Shared;
use crate::side::engines;

/// Path of a request for a trial.
const TRIAL_PATH: &str = "/peer/v1/trial";

/// Timeout of a call to an agent. A healthy agent responds within a few milliseconds.
const SPAN: Duration = Duration::from_millis(400);

/// Maximum number of agents asked before a request is refused.
const ASKED: usize = 3;

/// Retry time returned if no agent responds: a failed agent is back within two seconds.
const UNANSWERED_RETRY: Millis = Millis(2_000);

/// Asks for a trial of a request. If none is granted, fails with the time after which to retry.
pub(crate) async fn ask_trial(
    shared: &Shared,
    request: &str,
    fingerprint: Fingerprint,
) -> Result<Trial, Millis> {
    let now = shared.timer.now();
    shared.guard.table.borrow_mut().touch(&fingerprint, now);
    let call = call(shared, fingerprint, false);
    let answer = match known(shared, &fingerprint, now) {
        Some(left) => Answer::Known(left),
        None => ask_first(shared, &call).await,
    };
    let outcome = match &answer {
        Answer::Known(rest) => Err(*rest),
        Answer::By(_, reply) => reply.trial.ok_or(Millis(reply.retry_ms)),
        Answer::Nobody => Err(UNANSWERED_RETRY),
        Answer::NoAgents => {
            let mut trials = shared.guard.trials.borrow_mut();
            trials.try_grant(fingerprint, call.ends.len(), now)
        }
    };
    if let (Err(retry), Answer::By(..)) = (outcome, &answer) {
        let ends = shared.guard.ends(&fingerprint, now);
        let mut denials = shared.guard.denials.borrow_mut();
        denials.add(fingerprint, ends, retry, now);
    }
    let what = if outcome.is_ok() { "trial" } else { "refused" };
    shared.meters.count_suspect(what);
    let text = fingerprint.to_string();
    let fields = [
        field("request", request),
        field("fingerprint", text.as_str()),
        field("ends", call.ends.len()),
        field("side", answer.side()),
        field("granted", outcome.is_ok()),
        field("retry_ms", outcome.err().unwrap_or_default().0),
    ];
    shared.log.emit(&events::TRIAL_ASKED, &fields);
    outcome
}

/// Gives back a trial that was not used.
pub(crate) fn give_back(shared: &Rc<Shared>, fingerprint: Fingerprint) {
    let shared = Rc::clone(shared);
    monoio::spawn(async move {
        let call = call(&shared, fingerprint, true);
        if let Answer::NoAgents = ask_first(&shared, &call).await {
            shared.guard.trials.borrow_mut().give_back(&fingerprint);
        }
    });
}

/// Time left for which the request is refused without asking an agent.
fn known(shared: &Shared, fingerprint: &Fingerprint, now: Millis) -> Option<Millis> {
    let rest = shared.guard.table.borrow().retry_after(fingerprint, now);
    let ends = shared.guard.ends(fingerprint, now);
    rest.or_else(|| {
        let denials = shared.guard.denials.borrow();
        denials.left(fingerprint, ends, now)
    })
}

fn call(shared: &Shared, fingerprint: Fingerprint, unused: bool) -> TrialCall {
    TrialCall {
        entry: shared.vm.clone(),
        fingerprint,
        ends: shared.guard.table.borrow().end_keys(&fingerprint),
        unused,
    }
}

/// Origin of the decision on a trial.
enum Answer {
    /// An earlier decision is still in force, for this time.
    Known(Millis),
    By(String, TrialReply),
    Nobody,
    NoAgents,
}

impl Answer {
    fn side(&self) -> &str {
        match self {
            Self::By(side, _) => side,
            _ => "",
        }
    }
}

/// Returns the reply of the first agent that responds.
async fn ask_first(shared: &Shared, call: &TrialCall) -> Answer {
    let agents = ranked(shared, &call.fingerprint);
    if agents.is_empty() {
        return Answer::NoAgents;
    }
    for agent in agents.iter().take(ASKED) {
        let peer = agent.to_string();
        let reply: Result<TrialReply, NetError> =
            post(&shared.agents, &peer, TRIAL_PATH, call, SPAN).await;
        match reply {
            Ok(reply) => return Answer::By(peer, reply),
            Err(e) => {
                let fields = [field("side", peer.as_str()), field("error", &e)];
                shared.log.emit(&events::SIDE_LOST, &fields);
            }
        }
    }
    Answer::Nobody
}

/// Agents in the ranking of a request.
fn ranked(shared: &Shared, fingerprint: &Fingerprint) -> Vec<SocketAddr> {
    let catalog = shared.catalog.borrow();
    let agent = |ip| SocketAddr::new(ip, shared.agent_port);
    let agents: BTreeSet<SocketAddr> = engines(&catalog).map(|u| agent(u.address.ip())).collect();
    let mut agents: Vec<SocketAddr> = agents.into_iter().collect();
    agents.sort_by_cached_key(|a| name_key(&format!("{fingerprint} {a}")));
    agents
}

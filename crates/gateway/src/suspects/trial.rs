//! Trials: permission to send a suspect once more.
//!
//! One agent grants the trials of a request for all gateways: the first that responds, in a ranking derived
//! from the request. Gateways therefore agree on the agent without coordination, and different requests use
//! different agents.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use pumicecleat_net::{NetError, SHORT_ANSWER, post_ext};
use pumicecleat_ops::{events, field};
use pumicecleat_policy::name_key;
use pumicecleat_types::{
    Fingerprint, Millis, SuspectKey, SuspectKind, Trial, TrialCall, TrialReply,
};

use crate::agents::engines;
use crate::shared::Shared;

/// Path of a request for a trial.
const TRIAL_PATH: &str = "/peer/v1/trial";

/// Timeout of a call to an agent. A healthy agent responds within a few milliseconds.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum number of agents asked before a request is refused.
const MAX_AGENTS_ASKED: usize = 3;

/// Retry time returned if no agent responds: a failed agent is back within two seconds.
const NO_REPLY_RETRY_AFTER: Millis = Millis(2_000);

/// What a request asks permission for.
#[derive(Clone, Debug)]
pub(crate) struct TrialRequest {
    pub(crate) suspect: SuspectKey,
    /// Time for which the request is refused because all suspects of a known set are in it.
    pub(crate) blocked_for: Option<Millis>,
    /// Suspected parts of the request's prompt.
    pub(crate) parts: Vec<Fingerprint>,
    /// IDs of the parts of the request's prompt that the trial is for, separated by commas.
    pub(crate) named: String,
}

/// Asks for a trial of a suspect with this request. If none is granted, fails with the time after which to retry.
pub(crate) async fn ask_trial(
    shared: &Shared,
    request: &str,
    asked: TrialRequest,
) -> Result<Trial, Millis> {
    let suspect = asked.suspect;
    let now = shared.timer.now();
    shared.suspects.table.borrow_mut().touch(&suspect, now);
    let mut call = trial_call(shared, suspect, false);
    if suspect.kind == SuspectKind::PromptPart {
        call.parts = asked.parts;
    }
    let denied_for = asked.blocked_for;
    let denied_for = denied_for.or_else(|| denied_for_now(shared, &suspect, now));
    let decision = match denied_for {
        Some(time_left) => Decision::Denied(time_left),
        None => ask_agents(shared, &call).await,
    };
    let outcome = match &decision {
        Decision::Denied(time_left) => Err(*time_left),
        Decision::Agent(_, reply) => reply.trial.ok_or(Millis(reply.retry_ms)),
        Decision::NoReply => Err(NO_REPLY_RETRY_AFTER),
        Decision::NoAgents => {
            let mut trials = shared.suspects.trials.borrow_mut();
            trials.try_grant(suspect, call.ends.len(), now)
        }
    };
    if let (Err(retry_after), Decision::Agent(..)) = (outcome, &decision) {
        let ends = shared.suspects.end_count(&suspect, now);
        let mut denials = shared.suspects.denials.borrow_mut();
        denials.add(suspect, ends, retry_after, now);
    }
    let what = if outcome.is_ok() { "trial" } else { "refused" };
    shared.meters.count_suspect(what);
    let text = suspect.digest.to_string();
    let fields = [
        field("request", request),
        field("fingerprint", text.as_str()),
        field("kind", suspect.kind.as_str()),
        field("part", asked.named.as_str()),
        field("ends", call.ends.len()),
        field("side", decision.agent()),
        field("granted", outcome.is_ok()),
        field("retry_ms", outcome.err().unwrap_or_default().0),
    ];
    shared.log.emit(&events::TRIAL_ASKED, &fields);
    outcome
}

/// Gives back a trial that was not used, or that is over because the request was served.
pub(crate) fn release_trial(shared: &Rc<Shared>, suspect: SuspectKey) {
    let shared = Rc::clone(shared);
    monoio::spawn(async move {
        let call = trial_call(&shared, suspect, true);
        if let Decision::NoAgents = ask_agents(&shared, &call).await {
            shared.suspects.trials.borrow_mut().give_back(&suspect);
        }
    });
}

/// Time left for which the request is refused without asking an agent.
fn denied_for_now(shared: &Shared, suspect: &SuspectKey, now: Millis) -> Option<Millis> {
    let retry_after = shared.suspects.table.borrow().retry_after(suspect, now);
    let ends = shared.suspects.end_count(suspect, now);
    retry_after.or_else(|| {
        let denials = shared.suspects.denials.borrow();
        denials.time_left(suspect, ends, now)
    })
}

fn trial_call(shared: &Shared, suspect: SuspectKey, unused: bool) -> TrialCall {
    TrialCall {
        entry: shared.vm.clone(),
        key: suspect,
        ends: shared.suspects.table.borrow().end_keys(&suspect),
        parts: Vec::new(),
        unused,
    }
}

/// Origin of the decision on a trial.
enum Decision {
    /// An earlier decision is still in force, for this time.
    Denied(Millis),
    Agent(String, TrialReply),
    NoReply,
    NoAgents,
}

impl Decision {
    fn agent(&self) -> &str {
        match self {
            Self::Agent(agent, _) => agent,
            _ => "",
        }
    }
}

/// Returns the reply of the first agent that responds.
async fn ask_agents(shared: &Shared, call: &TrialCall) -> Decision {
    let agents = ranked_agents(shared, &call.key);
    if agents.is_empty() {
        return Decision::NoAgents;
    }
    for agent in agents.iter().take(MAX_AGENTS_ASKED) {
        let peer = agent.to_string();
        let reply: Result<TrialReply, NetError> = post_ext(
            &shared.agent_client,
            &peer,
            TRIAL_PATH,
            call,
            TRIAL_TIMEOUT,
            SHORT_ANSWER,
        )
        .await;
        match reply {
            Ok(reply) => return Decision::Agent(peer, reply),
            Err(e) => {
                let fields = [field("side", peer.as_str()), field("error", &e)];
                shared.log.emit(&events::SIDE_LOST, &fields);
            }
        }
    }
    Decision::NoReply
}

/// Agents in the ranking of a request.
fn ranked_agents(shared: &Shared, suspect: &SuspectKey) -> Vec<SocketAddr> {
    let catalog = shared.catalog.borrow();
    let agent = |ip| SocketAddr::new(ip, shared.agent_port);
    let agents: BTreeSet<SocketAddr> = engines(&catalog).map(|u| agent(u.address.ip())).collect();
    let mut agents: Vec<SocketAddr> = agents.into_iter().collect();
    agents.sort_by_cached_key(|a| name_key(&format!("{} {a}", suspect.digest)));
    agents
}

//! Compares the router with a naive one that scans every upstream.

use std::collections::BTreeMap;

use proptest::prelude::*;
use pumicecleat_policy::{
    AttemptOutcome, LoraIx, ObjectiveWeights, PoolIx, PromptAffinity, RouteDecision, RouteQuery,
    Router, RouterOptions, SelectedUpstream, UpstreamIx, UpstreamStatus,
};
use pumicecleat_types::{LoadFigures, Millis, Reason};

const UPSTREAMS: u32 = 12;
const LORAS: u32 = 5;
const POOLS: u32 = 2;

#[derive(Clone, Debug)]
enum Op {
    Report {
        up: u32,
        pool: u32,
        figures: UpstreamStatus,
        resident: Option<Vec<LoraIx>>,
        loading: Option<LoraIx>,
    },
    Leaving(u32),
    Forget(u32),
    Expire,
    Ended(u32, AttemptOutcome),
    Choose {
        pool: u32,
        lora: Option<LoraIx>,
        prompt: Option<PromptAffinity>,
        tried: Vec<UpstreamIx>,
        left: u64,
        send: bool,
    },
}

/// Preference between upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum CandidateClass {
    Ready,
    Stalled,
    Suspect,
}

/// State of one upstream in the naive router.
#[derive(Clone, Debug, Default)]
struct UpstreamState {
    pool: u32,
    usable: bool,
    suspect: bool,
    last_seen: u64,
    demoted_until: u64,
    probe_sent_at: Option<u64>,
    consecutive_stalls: u32,
    resident: Vec<LoraIx>,
    loading: Option<LoraIx>,
    pending_loads: Vec<(LoraIx, u64)>,
}

#[derive(Default)]
struct NaiveRouter {
    idle_penalty: Millis,
    ups: BTreeMap<u32, UpstreamState>,
    leaving: Vec<u32>,
}

impl NaiveRouter {
    fn class(&self, up: u32, now: u64, options: &RouterOptions) -> Option<CandidateClass> {
        let state = self.ups.get(&up)?;
        let is_probing = state
            .probe_sent_at
            .is_some_and(|at| now - at < options.max_demotion.0);
        match state {
            _ if self.leaving.contains(&up) || !state.usable => None,
            _ if state.suspect => Some(CandidateClass::Suspect),
            _ if state.demoted_until > now || is_probing => Some(CandidateClass::Stalled),
            _ => Some(CandidateClass::Ready),
        }
    }

    fn candidates(
        &self,
        pool: u32,
        now: u64,
        options: &RouterOptions,
    ) -> Vec<(CandidateClass, UpstreamIx)> {
        let all = self.ups.iter().filter(|(_, s)| s.pool == pool);
        let classed =
            all.filter_map(|(&up, _)| Some((self.class(up, now, options)?, UpstreamIx(up))));
        classed.collect()
    }

    fn holds(&self, up: u32, lora: LoraIx) -> bool {
        self.ups.get(&up).is_some_and(|s| {
            let is_pending = s.pending_loads.iter().any(|c| c.0 == lora);
            is_pending || s.loading == Some(lora) || s.resident.contains(&lora)
        })
    }

    fn apply(&mut self, op: &Op, now: u64, options: &RouterOptions) {
        match op {
            Op::Report {
                up,
                pool,
                figures,
                resident,
                loading,
            } => {
                let state = self.ups.entry(*up).or_default();
                state.pool = *pool;
                state.usable = figures.healthy && !figures.leaving;
                (state.suspect, state.last_seen) = (false, now);
                if let Some(loras) = resident {
                    state.resident.clone_from(loras);
                }
                state.loading = *loading;
                let load_timeout = options.report_lag.0 + 2 * options.load_time.0;
                let (resident, loading) = (&state.resident, state.loading);
                state.pending_loads.retain(|&(lora, at)| {
                    !resident.contains(&lora) && loading != Some(lora) && now - at <= load_timeout
                });
            }
            Op::Leaving(up) => self.leaving.push(*up),
            Op::Forget(up) => self.forget(*up),
            Op::Expire => self.expire(now, options),
            Op::Ended(up, outcome) => self.record_outcome(*up, *outcome, now, options),
            Op::Choose { .. } => {}
        }
    }

    fn forget(&mut self, up: u32) {
        self.ups.remove(&up);
        self.leaving.retain(|&l| l != up);
    }

    fn expire(&mut self, now: u64, options: &RouterOptions) {
        for up in 0..UPSTREAMS {
            match self.ups.get_mut(&up) {
                Some(s) if now - s.last_seen > options.forget_after.0 => self.forget(up),
                Some(s) if now - s.last_seen > options.suspect_after.0 => s.suspect = true,
                _ => {}
            }
        }
    }

    fn record_outcome(
        &mut self,
        up: u32,
        outcome: AttemptOutcome,
        now: u64,
        options: &RouterOptions,
    ) {
        let Some(state) = self.ups.get_mut(&up) else {
            if outcome == AttemptOutcome::Refused(Reason::Leaving, None) {
                self.leaving.push(up);
            }
            return;
        };
        match outcome {
            AttemptOutcome::Completed => {
                (
                    state.consecutive_stalls,
                    state.demoted_until,
                    state.probe_sent_at,
                ) = (0, 0, None);
                (state.suspect, state.last_seen) = (false, now);
            }
            AttemptOutcome::Refused(reason, _) => {
                state.last_seen = now;
                state.suspect = reason == Reason::UpstreamDown;
                if reason == Reason::Leaving {
                    self.leaving.push(up);
                }
            }
            AttemptOutcome::Stalled => {
                state.consecutive_stalls += u32::from(state.demoted_until <= now);
                let duration =
                    options.initial_demotion.unwrap().0 << (state.consecutive_stalls - 1).min(20);
                state.demoted_until = state
                    .demoted_until
                    .max(now + duration.min(options.max_demotion.0));
                state.probe_sent_at = None;
            }
            AttemptOutcome::Failed => state.suspect = true,
        }
    }

    fn record_send(&mut self, up: u32, lora: Option<LoraIx>, now: u64) {
        let absent = lora.filter(|&l| !self.holds(up, l));
        let state = self.ups.get_mut(&up).unwrap();
        if state.consecutive_stalls > 0 && state.demoted_until <= now {
            state.probe_sent_at = Some(now);
        }
        state.pending_loads.extend(absent.map(|l| (l, now)));
    }
}

fn lora() -> impl Strategy<Value = LoraIx> {
    (0..LORAS).prop_map(LoraIx)
}

fn figures() -> impl Strategy<Value = UpstreamStatus> {
    let load = (0..9_u32, 0..3_u32, 0..3_u32, 0..1_500_u32);
    let flags = (prop::bool::weighted(0.1), prop::bool::weighted(0.9));
    (load, flags).prop_map(|(load, (leaving, healthy))| {
        let (running, waiting, spare, wait_ms) = load;
        let load = LoadFigures {
            running,
            waiting,
            spare_slots: spare,
            wait_ms,
            max_batch_size: 8,
            slots: 4,
            step_us: 10_000,
        };
        UpstreamStatus {
            load,
            leaving,
            healthy,
        }
    })
}

fn outcome() -> impl Strategy<Value = AttemptOutcome> {
    prop_oneof![
        Just(AttemptOutcome::Completed),
        Just(AttemptOutcome::Stalled),
        Just(AttemptOutcome::Failed),
        Just(AttemptOutcome::Refused(Reason::Leaving, None)),
        Just(AttemptOutcome::Refused(Reason::UpstreamDown, None)),
        Just(AttemptOutcome::Refused(Reason::Overloaded, None)),
        figures().prop_map(|f| AttemptOutcome::Refused(Reason::Overloaded, Some(f.load))),
    ]
}

fn prompt() -> impl Strategy<Value = PromptAffinity> {
    let drawn = (0..9_u64, 0..3_000_u32);
    drawn.prop_map(|(root, earlier)| PromptAffinity {
        conversation_hash: root,
        earlier_tokens: earlier,
    })
}

fn op() -> impl Strategy<Value = Op> {
    let resident = prop::option::of(prop::collection::vec(lora(), 0..4));
    let report = (
        0..UPSTREAMS,
        0..POOLS,
        figures(),
        resident,
        prop::option::of(lora()),
    );
    let tried = prop::collection::vec((0..UPSTREAMS).prop_map(UpstreamIx), 0..4);
    let lora = prop::option::weighted(0.8, lora());
    let query = (
        0..POOLS,
        lora,
        prop::option::of(prompt()),
        tried,
        0..3_000_u64,
        any::<bool>(),
    );
    prop_oneof![
        8 => report.prop_map(|(up, pool, figures, resident, loading)| Op::Report {
            up, pool, figures, resident, loading,
        }),
        1 => (0..UPSTREAMS).prop_map(Op::Leaving),
        1 => (0..UPSTREAMS).prop_map(Op::Forget),
        1 => Just(Op::Expire),
        4 => (0..UPSTREAMS, outcome()).prop_map(|(up, outcome)| Op::Ended(up, outcome)),
        8 => query.prop_map(|(pool, lora, prompt, tried, left, send)| Op::Choose {
            pool, lora, prompt, tried, left, send,
        }),
    ]
}

/// Longest wait that a decision may have: the shortest one among `ups` plus the margins; at the
/// conversation's affinity holder, if the adapter is resident there, also the prefill time saved.
fn max_wait(
    router: &Router,
    query: &RouteQuery<'_>,
    selected: &SelectedUpstream,
    ups: &[UpstreamIx],
    now: Millis,
) -> Option<Millis> {
    let options = RouterOptions::default();
    let holder_and_tokens = |p: PromptAffinity| {
        router
            .affinity_holder(query.pool, query.lora?, p.conversation_hash)
            .map(|up| (up, p.earlier_tokens))
    };
    let holder = query
        .prompt
        .and_then(holder_and_tokens)
        .filter(|m| m.0 == selected.up && selected.resident);
    let tokens = holder.map_or(0, |(_, earlier)| {
        u64::from(earlier + options.affinity_tokens.unwrap())
    });
    let saved = Millis((tokens * options.prefill_us).div_ceil(1_000));
    let waits = ups
        .iter()
        .map(|&u| router.expected_wait(u, query.lora, now).unwrap());
    Some(waits.min()? + options.copy_margin + options.home_margin + saved)
}

/// Checks that the holders are those of the naive router and that the affinity holder is one of
/// them.
fn check_holders(
    router: &Router,
    naive: &NaiveRouter,
    query: &RouteQuery<'_>,
    lora: LoraIx,
    candidates: &[(CandidateClass, UpstreamIx)],
    at: u64,
) -> Result<(), TestCaseError> {
    let holders = candidates
        .iter()
        .map(|c| c.1)
        .filter(|u| naive.holds(u.0, lora));
    let holders: Vec<_> = holders.collect();
    prop_assert_eq!(router.holders(query.pool, lora), &holders[..]);
    let holder = router.affinity_holder(query.pool, lora, at);
    prop_assert_eq!(holder.is_some(), !holders.is_empty());
    prop_assert!(holder.is_none_or(|up| holders.contains(&up)));
    Ok(())
}

fn check(
    router: &mut Router,
    naive: &mut NaiveRouter,
    op: &Op,
    at: u64,
) -> Result<(), TestCaseError> {
    let Op::Choose {
        pool,
        lora,
        prompt,
        tried,
        left,
        send,
    } = op
    else {
        return Ok(());
    };
    let (now, options) = (Millis(at), RouterOptions::default());
    let query = RouteQuery {
        pool: PoolIx(*pool),
        lora: *lora,
        prompt: *prompt,
        time_left: Millis(*left),
        tried,
    };
    let mut candidates = naive.candidates(*pool, at, &options);
    prop_assert_eq!(router.usable_count(query.pool), candidates.len());
    if let Some(lora) = *lora {
        check_holders(router, naive, &query, lora, &candidates, at)?;
    }
    candidates.retain(|(_, u)| !tried.contains(u));
    let best = candidates.iter().map(|c| c.0).min();
    let unlimited = RouteQuery {
        time_left: Millis(u64::MAX),
        ..query
    };
    let RouteDecision::Send(selected) = router.choose(&unlimited, now) else {
        prop_assert_eq!(best, None);
        return Ok(());
    };
    prop_assert_eq!(naive.class(selected.up.0, at, &options), best);
    prop_assert!(candidates.iter().any(|c| c.1 == selected.up));
    prop_assert_eq!(
        Some(selected.wait),
        router.expected_wait(selected.up, *lora, now)
    );
    let resident = lora.is_none_or(|l| naive.ups[&selected.up.0].resident.contains(&l));
    prop_assert_eq!(selected.resident, resident);
    let homes = lora.map_or_else(Vec::new, |l| router.homes(query.pool, l));
    let holds = |u: UpstreamIx| lora.is_some_and(|l| naive.holds(u.0, l));
    let peers = candidates.iter().filter(|c| Some(c.0) == best).map(|c| c.1);
    let near_peers: Vec<_> = peers.filter(|&u| homes.contains(&u) || holds(u)).collect();
    if let Some(limit) = max_wait(router, &query, &selected, &near_peers, now) {
        let limit = limit + lora.map_or(Millis(0), |_| naive.idle_penalty);
        prop_assert!(selected.wait <= limit, "{selected:?} over {limit:?}");
    }
    match router.choose(&query, now) {
        RouteDecision::Send(selected) => prop_assert!(selected.wait.0 / 2 <= *left),
        RouteDecision::Refuse { retry_after: retry } => prop_assert!(retry >= options.retry_after),
    }
    if *send {
        router.record_send(selected.up, *lora, now);
        naive.record_send(selected.up.0, *lora, at);
    }
    Ok(())
}

fn apply(router: &mut Router, op: &Op, now: Millis) {
    match op {
        Op::Report {
            up,
            pool,
            figures,
            resident,
            loading,
        } => {
            let resident = resident.as_deref();
            router.report(
                UpstreamIx(*up),
                PoolIx(*pool),
                figures,
                resident,
                *loading,
                now,
            );
        }
        Op::Leaving(up) => router.mark_leaving(UpstreamIx(*up)),
        Op::Forget(up) => router.forget(UpstreamIx(*up)),
        Op::Expire => drop(router.expire(now)),
        Op::Ended(up, outcome) => router.record_outcome(UpstreamIx(*up), None, *outcome, now),
        Op::Choose { .. } => {}
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    #[test]
    fn agrees_with_naive(batch in 0..=100_u32, ops in prop::collection::vec((op(), 0..4_000_u64), 1..120)) {
        let options = RouterOptions { holder_candidates: UPSTREAMS as usize, ..RouterOptions::default() };
        let (mut router, mut naive) = (Router::new_ext(options), NaiveRouter::default());
        let weights = ObjectiveWeights { stall: 100 - batch, batch };
        router.set_weights(weights);
        naive.idle_penalty = weights.scale_by_batch(options.idle_penalty);
        let mut now = 0;
        for (op, delay) in ops {
            now += delay;
            apply(&mut router, &op, Millis(now));
            naive.apply(&op, now, &options);
            check(&mut router, &mut naive, &op, now)?;
        }
    }

    /// Prompts leave no state behind: the router ends up equal to one that was queried without
    /// them.
    #[test]
    fn prompts_leave_nothing_behind(ops in prop::collection::vec((op(), 0..4_000_u64), 1..60)) {
        let (mut with, mut without) = (Router::new_ext(RouterOptions::default()), Router::new_ext(RouterOptions::default()));
        let mut now = 0;
        for (op, delay) in ops {
            now += delay;
            let at = Millis(now);
            for (router, uses_prompts) in [(&mut with, true), (&mut without, false)] {
                apply(router, &op, at);
                if let Op::Choose { pool, lora, prompt, tried, .. } = &op {
                    let prompt = prompt.filter(|_| uses_prompts);
                    let query = RouteQuery { pool: PoolIx(*pool), lora: *lora, prompt, time_left: Millis(u64::MAX), tried };
                    router.choose(&query, at);
                }
            }
        }
        prop_assert_eq!(format!("{with:?}"), format!("{without:?}"));
    }
}

//! The router against a naive one that scans every upstream.

use std::collections::BTreeMap;

use proptest::prelude::*;
use pumicecleat_policy::{
    Ask, Choice, LoraIx, ObjectiveWeights, Outcome, Pick, PoolIx, Prompt, Router, RouterOptions,
    UpstreamFigures, UpstreamIx,
};
use pumicecleat_types::{LoadFigures, Millis, Reason};

const UPS: u32 = 12;
const LORAS: u32 = 5;
const POOLS: u32 = 2;

#[derive(Clone, Debug)]
enum Op {
    Report {
        up: u32,
        pool: u32,
        figures: UpstreamFigures,
        resident: Option<Vec<LoraIx>>,
        loading: Option<LoraIx>,
    },
    Leaving(u32),
    Forget(u32),
    Expire,
    Ended(u32, Outcome),
    Ask {
        pool: u32,
        lora: Option<LoraIx>,
        prompt: Option<Prompt>,
        tried: Vec<UpstreamIx>,
        left: u64,
        send: bool,
    },
}

/// Order in which upstreams may be chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    Ready,
    Stalled,
    Suspect,
}

/// Naive view of one upstream.
#[derive(Clone, Debug, Default)]
struct Seen {
    pool: u32,
    usable: bool,
    suspect: bool,
    heard: u64,
    until: u64,
    probe: Option<u64>,
    stalls: u32,
    resident: Vec<LoraIx>,
    loading: Option<LoraIx>,
    coming: Vec<(LoraIx, u64)>,
}

#[derive(Default)]
struct Naive {
    pack: Millis,
    ups: BTreeMap<u32, Seen>,
    leaving: Vec<u32>,
}

impl Naive {
    fn rank(&self, up: u32, now: u64, o: &RouterOptions) -> Option<Rank> {
        let seen = self.ups.get(&up)?;
        let probed = seen.probe.is_some_and(|at| now - at < o.demote_most.0);
        match seen {
            _ if self.leaving.contains(&up) || !seen.usable => None,
            _ if seen.suspect => Some(Rank::Suspect),
            _ if seen.until > now || probed => Some(Rank::Stalled),
            _ => Some(Rank::Ready),
        }
    }

    fn open(&self, pool: u32, now: u64, o: &RouterOptions) -> Vec<(Rank, UpstreamIx)> {
        let all = self.ups.iter().filter(|(_, s)| s.pool == pool);
        let ranked = all.filter_map(|(&up, _)| Some((self.rank(up, now, o)?, UpstreamIx(up))));
        ranked.collect()
    }

    fn holds(&self, up: u32, lora: LoraIx) -> bool {
        self.ups.get(&up).is_some_and(|s| {
            let coming = s.coming.iter().any(|c| c.0 == lora);
            coming || s.loading == Some(lora) || s.resident.contains(&lora)
        })
    }

    fn apply(&mut self, op: &Op, now: u64, o: &RouterOptions) {
        match op {
            Op::Report {
                up,
                pool,
                figures,
                resident,
                loading,
            } => {
                let seen = self.ups.entry(*up).or_default();
                seen.pool = *pool;
                seen.usable = figures.healthy && !figures.leaving;
                (seen.suspect, seen.heard) = (false, now);
                if let Some(loras) = resident {
                    seen.resident.clone_from(loras);
                }
                seen.loading = *loading;
                let late = o.lag.0 + 2 * o.load.0;
                let (resident, loading) = (&seen.resident, seen.loading);
                seen.coming.retain(|&(lora, at)| {
                    !resident.contains(&lora) && loading != Some(lora) && now - at <= late
                });
            }
            Op::Leaving(up) => self.leaving.push(*up),
            Op::Forget(up) => self.forget(*up),
            Op::Expire => self.expire(now, o),
            Op::Ended(up, outcome) => self.ended(*up, *outcome, now, o),
            Op::Ask { .. } => {}
        }
    }

    fn forget(&mut self, up: u32) {
        self.ups.remove(&up);
        self.leaving.retain(|&l| l != up);
    }

    fn expire(&mut self, now: u64, o: &RouterOptions) {
        for up in 0..UPS {
            match self.ups.get_mut(&up) {
                Some(s) if now - s.heard > o.forget.0 => self.forget(up),
                Some(s) if now - s.heard > o.suspect.0 => s.suspect = true,
                _ => {}
            }
        }
    }

    fn ended(&mut self, up: u32, outcome: Outcome, now: u64, o: &RouterOptions) {
        let Some(seen) = self.ups.get_mut(&up) else {
            if outcome == Outcome::Refused(Reason::Leaving, None) {
                self.leaving.push(up);
            }
            return;
        };
        match outcome {
            Outcome::Whole => {
                (seen.stalls, seen.until, seen.probe) = (0, 0, None);
                (seen.suspect, seen.heard) = (false, now);
            }
            Outcome::Refused(reason, _) => {
                seen.heard = now;
                seen.suspect = reason == Reason::UpstreamDown;
                if reason == Reason::Leaving {
                    self.leaving.push(up);
                }
            }
            Outcome::Stalled => {
                seen.stalls += u32::from(seen.until <= now);
                let span = o.demote.unwrap().0 << (seen.stalls - 1).min(20);
                seen.until = seen.until.max(now + span.min(o.demote_most.0));
                seen.probe = None;
            }
            Outcome::Failed => seen.suspect = true,
        }
    }

    fn sent(&mut self, up: u32, lora: Option<LoraIx>, now: u64) {
        let absent = lora.filter(|&l| !self.holds(up, l));
        let seen = self.ups.get_mut(&up).unwrap();
        if seen.stalls > 0 && seen.until <= now {
            seen.probe = Some(now);
        }
        seen.coming.extend(absent.map(|l| (l, now)));
    }
}

fn lora() -> impl Strategy<Value = LoraIx> {
    (0..LORAS).prop_map(LoraIx)
}

fn figures() -> impl Strategy<Value = UpstreamFigures> {
    let load = (0..9_u32, 0..3_u32, 0..3_u32, 0..1_500_u32);
    let state = (prop::bool::weighted(0.1), prop::bool::weighted(0.9));
    (load, state).prop_map(|(load, (leaving, healthy))| {
        let (running, waiting, spare, wait_ms) = load;
        let load = LoadFigures {
            running,
            waiting,
            spare,
            wait_ms,
            batch: 8,
            slots: 4,
            step_us: 10_000,
        };
        UpstreamFigures {
            load,
            leaving,
            healthy,
        }
    })
}

fn outcome() -> impl Strategy<Value = Outcome> {
    prop_oneof![
        Just(Outcome::Whole),
        Just(Outcome::Stalled),
        Just(Outcome::Failed),
        Just(Outcome::Refused(Reason::Leaving, None)),
        Just(Outcome::Refused(Reason::UpstreamDown, None)),
        Just(Outcome::Refused(Reason::Overloaded, None)),
        figures().prop_map(|f| Outcome::Refused(Reason::Overloaded, Some(f.load))),
    ]
}

fn prompt() -> impl Strategy<Value = Prompt> {
    let drawn = (0..9_u64, 0..3_000_u32);
    drawn.prop_map(|(root, earlier)| Prompt { root, earlier })
}

fn op() -> impl Strategy<Value = Op> {
    let resident = prop::option::of(prop::collection::vec(lora(), 0..4));
    let report = (
        0..UPS,
        0..POOLS,
        figures(),
        resident,
        prop::option::of(lora()),
    );
    let tried = prop::collection::vec((0..UPS).prop_map(UpstreamIx), 0..4);
    let lora = prop::option::weighted(0.8, lora());
    let ask = (
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
        1 => (0..UPS).prop_map(Op::Leaving),
        1 => (0..UPS).prop_map(Op::Forget),
        1 => Just(Op::Expire),
        4 => (0..UPS, outcome()).prop_map(|(up, outcome)| Op::Ended(up, outcome)),
        8 => ask.prop_map(|(pool, lora, prompt, tried, left, send)| Op::Ask {
            pool, lora, prompt, tried, left, send,
        }),
    ]
}

/// Longest wait that a choice may have: that of the best candidate of its class, and the margins;
/// where the conversation meets, and only with the adapter resident, what its prompt saves as well.
fn bound(
    router: &Router,
    ask: &Ask<'_>,
    pick: &Pick,
    ups: &[UpstreamIx],
    now: Millis,
) -> Option<Millis> {
    let o = RouterOptions::default();
    let meets = |p: Prompt| {
        router
            .meeting(ask.pool, ask.lora?, p.root)
            .map(|up| (up, p.earlier))
    };
    let meeting = ask
        .prompt
        .and_then(meets)
        .filter(|m| m.0 == pick.up && pick.resident);
    let tokens = meeting.map_or(0, |(_, earlier)| u64::from(earlier + o.first.unwrap()));
    let saved = Millis((tokens * o.prefill_us).div_ceil(1_000));
    let waits = ups
        .iter()
        .map(|&u| router.expected(u, ask.lora, now).unwrap());
    Some(waits.min()? + o.spread + o.slack + saved)
}

/// The same holders as the naive version's, and a meeting place among them.
fn check_holders(
    router: &Router,
    naive: &Naive,
    ask: &Ask<'_>,
    lora: LoraIx,
    open: &[(Rank, UpstreamIx)],
    at: u64,
) -> Result<(), TestCaseError> {
    let holding = open.iter().map(|o| o.1).filter(|u| naive.holds(u.0, lora));
    let holding: Vec<_> = holding.collect();
    prop_assert_eq!(router.holders(ask.pool, lora), &holding[..]);
    let meeting = router.meeting(ask.pool, lora, at);
    prop_assert_eq!(meeting.is_some(), !holding.is_empty());
    prop_assert!(meeting.is_none_or(|up| holding.contains(&up)));
    Ok(())
}

fn check(router: &mut Router, naive: &mut Naive, op: &Op, at: u64) -> Result<(), TestCaseError> {
    let Op::Ask {
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
    let (now, o) = (Millis(at), RouterOptions::default());
    let ask = Ask {
        pool: PoolIx(*pool),
        lora: *lora,
        prompt: *prompt,
        left: Millis(*left),
        tried,
    };
    let mut open = naive.open(*pool, at, &o);
    prop_assert_eq!(router.usable(ask.pool), open.len());
    if let Some(lora) = *lora {
        check_holders(router, naive, &ask, lora, &open, at)?;
    }
    open.retain(|(_, u)| !tried.contains(u));
    let best = open.iter().map(|o| o.0).min();
    let wide = Ask {
        left: Millis(u64::MAX),
        ..ask
    };
    let Choice::Send(pick) = router.choose(&wide, now) else {
        prop_assert_eq!(best, None);
        return Ok(());
    };
    prop_assert_eq!(naive.rank(pick.up.0, at, &o), best);
    prop_assert!(open.iter().any(|o| o.1 == pick.up));
    prop_assert_eq!(Some(pick.wait), router.expected(pick.up, *lora, now));
    let resident = lora.is_none_or(|l| naive.ups[&pick.up.0].resident.contains(&l));
    prop_assert_eq!(pick.resident, resident);
    let homes = lora.map_or_else(Vec::new, |l| router.homes(ask.pool, l));
    let holds = |u: UpstreamIx| lora.is_some_and(|l| naive.holds(u.0, l));
    let peers = open.iter().filter(|o| Some(o.0) == best).map(|o| o.1);
    let near: Vec<_> = peers.filter(|&u| homes.contains(&u) || holds(u)).collect();
    if let Some(most) = bound(router, &ask, &pick, &near, now) {
        let most = most + lora.map_or(Millis(0), |_| naive.pack);
        prop_assert!(pick.wait <= most, "{pick:?} over {most:?}");
    }
    match router.choose(&ask, now) {
        Choice::Send(pick) => prop_assert!(pick.wait.0 / 2 <= *left),
        Choice::Refuse { retry } => prop_assert!(retry >= o.retry),
    }
    if *send {
        router.sent(pick.up, *lora, now);
        naive.sent(pick.up.0, *lora, at);
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
        Op::Leaving(up) => router.leaving(UpstreamIx(*up)),
        Op::Forget(up) => router.forget(UpstreamIx(*up)),
        Op::Expire => drop(router.expire(now)),
        Op::Ended(up, outcome) => router.ended(UpstreamIx(*up), None, *outcome, now),
        Op::Ask { .. } => {}
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    #[test]
    fn agrees_with_naive(batch in 0..=100_u32, ops in prop::collection::vec((op(), 0..4_000_u64), 1..120)) {
        let o = RouterOptions { holders: UPS as usize, ..RouterOptions::default() };
        let (mut router, mut naive) = (Router::new_ext(o), Naive::default());
        let weights = ObjectiveWeights { stall: 100 - batch, batch };
        router.set_weights(weights);
        naive.pack = weights.scale_by_batch(o.pack);
        let mut now = 0;
        for (op, after) in ops {
            now += after;
            apply(&mut router, &op, Millis(now));
            naive.apply(&op, now, &o);
            check(&mut router, &mut naive, &op, now)?;
        }
    }

    /// Whatever is asked, a router keeps of prompts nothing: it ends as one that was asked without.
    #[test]
    fn prompts_leave_nothing_behind(ops in prop::collection::vec((op(), 0..4_000_u64), 1..60)) {
        let (mut with, mut without) = (Router::new_ext(RouterOptions::default()), Router::new_ext(RouterOptions::default()));
        let mut now = 0;
        for (op, after) in ops {
            now += after;
            let at = Millis(now);
            for (router, heeded) in [(&mut with, true), (&mut without, false)] {
                apply(router, &op, at);
                if let Op::Ask { pool, lora, prompt, tried, .. } = &op {
                    let prompt = prompt.filter(|_| heeded);
                    let ask = Ask { pool: PoolIx(*pool), lora: *lora, prompt, left: Millis(u64::MAX), tried };
                    router.choose(&ask, at);
                }
            }
        }
        prop_assert_eq!(format!("{with:?}"), format!("{without:?}"));
    }
}

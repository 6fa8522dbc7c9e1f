//! Homes: entries agree on them, and a hot adapter gets past its first ones.

use pumicecleat_policy::{
    LoraIx, PoolIx, RouteDecision, RouteQuery, Router, RouterOptions, UpstreamIx, UpstreamStatus,
    lora_key, upstream_key,
};
use pumicecleat_types::{LoadFigures, Lora, Millis, VmId};

const POOL: PoolIx = PoolIx(0);
const LORAS: u32 = 2_000;

fn figures(wait_ms: u32) -> UpstreamStatus {
    let load = LoadFigures {
        batch: 8,
        step_us: 10_000,
        wait_ms,
        ..LoadFigures::default()
    };
    UpstreamStatus {
        load,
        leaving: false,
        healthy: true,
    }
}

/// Entry that knows these VMs, and has adapters by indices shifted by `shift`.
fn entry(seed: u64, vms: &[u32], shift: u32) -> Router {
    let options = RouterOptions {
        seed,
        ..RouterOptions::default()
    };
    let mut router = Router::new_ext(options);
    for (ix, vm) in (0..).map(UpstreamIx).zip(vms) {
        router.set_upstream_key(ix, upstream_key(&VmId::from(format!("vm-{vm}"))));
        router.report(ix, POOL, &figures(0), Some(&[]), None, Millis(0));
    }
    for lora in 0..LORAS {
        let key = lora_key(&Lora::new("base", &format!("adapter-{lora}"), "v1"));
        router.set_lora_key(LoraIx(lora + shift), key);
    }
    router
}

fn chosen(router: &mut Router, lora: u32, now: Millis) -> UpstreamIx {
    let ask = RouteQuery {
        pool: POOL,
        lora: Some(LoraIx(lora)),
        prompt: None,
        time_left: Millis(60_000),
        tried: &[],
    };
    match router.choose(&ask, now) {
        RouteDecision::Send(pick) => pick.up,
        RouteDecision::Refuse { .. } => panic!("refused"),
    }
}

#[test]
fn entries_that_disagree_choose_the_same_home_for_almost_every_cold_adapter() {
    let one: Vec<u32> = (0..198).collect();
    let other: Vec<u32> = (2..200).rev().collect();
    let (mut a, mut b) = (entry(1, &one, 0), entry(2, &other, 5));
    let same = (0..LORAS).filter(|&lora| {
        let home = one[chosen(&mut a, lora, Millis(1)).0 as usize];
        home == other[chosen(&mut b, lora + 5, Millis(1)).0 as usize]
    });
    let same = same.count();
    assert!(same * 100 >= LORAS as usize * 95, "{same} of {LORAS}");
}

#[test]
fn a_hot_adapter_spreads_while_its_holders_are_busy() {
    let vms: Vec<u32> = (0..40).collect();
    let mut router = entry(1, &vms, 0);
    let mut holders = Vec::new();
    for _ in 0..12 {
        let up = chosen(&mut router, 0, Millis(1));
        assert!(!holders.contains(&up), "{up:?} after {holders:?}");
        let busy = figures(10_000);
        router.report(up, POOL, &busy, Some(&[LoraIx(0)]), None, Millis(1));
        holders.push(up);
    }
}

#[test]
fn figures_replace_own_sends_once_they_are_old() {
    let vms = [0, 1];
    let mut router = entry(1, &vms, 0);
    let (up, lora) = (UpstreamIx(0), Some(LoraIx(0)));
    let wait = |r: &Router, now| r.expected_wait(up, None, now);
    let idle = wait(&router, Millis(0));
    (0..20).for_each(|_| router.record_send(up, lora, Millis(1_000)));
    let busy = wait(&router, Millis(1_000));
    assert!(busy > idle);
    router.update_load(up, figures(0).load, Millis(1_050));
    assert_eq!(wait(&router, Millis(1_050)), busy);
    router.update_load(up, figures(0).load, Millis(1_101));
    assert_eq!(wait(&router, Millis(1_101)), idle);
}

/// Conversations of a case.
const ROOTS: u64 = 2_000;

struct Meeting {
    /// VMs that hold the adapter, one in so many.
    each: u32,
    /// Least part of conversations on which entries agree, and most that one holder gets, percent.
    agree: usize,
    most: usize,
}

#[rustfmt::skip]
const MEETINGS: &[Meeting] = &[
    Meeting { each: 66, agree: 100, most: 25 },
    Meeting { each: 20, agree: 100, most: 10 },
    Meeting { each: 2, agree: 95, most: 3 },
];

/// Names of the VMs at which conversations meet, at an entry that knows these VMs.
fn meetings(vms: &[u32], each: u32, gone: Option<u32>) -> Vec<u32> {
    let mut router = entry(1, vms, 0);
    for (ix, vm) in (0..).map(UpstreamIx).zip(vms) {
        let holds = vm % each == 0 && Some(*vm) != gone;
        let resident: &[LoraIx] = if holds { &[LoraIx(0)] } else { &[] };
        router.report(ix, POOL, &figures(0), Some(resident), None, Millis(0));
    }
    let meeting = |root| {
        router
            .affinity_holder(POOL, LoraIx(0), root)
            .expect("a holder")
    };
    let vm = |up: UpstreamIx| vms[up.0 as usize];
    (0..ROOTS)
        .map(|root| vm(meeting(root.wrapping_mul(0x9E37_79B9_7F4A_7C15))))
        .collect()
}

#[test]
fn conversations_meet_at_one_holder_whatever_entry_they_come_to() {
    let one: Vec<u32> = (0..398).collect();
    let other: Vec<u32> = (1..398).rev().chain([0, 401]).collect();
    for Meeting { each, agree, most } in MEETINGS {
        let here = meetings(&one, *each, None);
        let there = meetings(&other, *each, None);
        let same = here.iter().zip(&there).filter(|(a, b)| a == b).count();
        assert!(
            same * 100 >= agree * here.len(),
            "{same} with one in {each}"
        );

        let first = here[0];
        let count = |vm: u32| here.iter().filter(|m| **m == vm).count();
        let busiest = one.iter().map(|vm| count(*vm)).max().unwrap();
        assert!(
            busiest * 100 <= most * here.len(),
            "{busiest} with one in {each}"
        );

        let after = meetings(&one, *each, Some(first));
        let mut pairs = here.iter().zip(&after);
        assert!(pairs.all(|(a, b)| a == b || *a == first), "one in {each}");
    }
}

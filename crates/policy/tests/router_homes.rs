//! Homes of adapters and affinity holders of conversations: entries agree on them, and a hot
//! adapter spreads beyond its first homes.

use pumicecleat_policy::{
    LoraIx, PoolIx, RouteDecision, RouteQuery, Router, RouterOptions, UpstreamIx, UpstreamStatus,
    lora_key, upstream_key,
};
use pumicecleat_types::{LoadFigures, Lora, Millis, VmId};

const POOL: PoolIx = PoolIx(0);
const LORAS: u32 = 2_000;

fn figures(wait_ms: u32) -> UpstreamStatus {
    let load = LoadFigures {
        max_batch_size: 8,
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

/// Router of an entry that knows these VMs, with adapter indices shifted by `shift`.
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
    let query = RouteQuery {
        pool: POOL,
        lora: Some(LoraIx(lora)),
        prompt: None,
        time_left: Millis(60_000),
        tried: &[],
    };
    match router.choose(&query, now) {
        RouteDecision::Send(selected) => selected.up,
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

/// Conversations in a case.
const CONVERSATIONS: u64 = 2_000;

struct AffinityCase {
    /// One in this many VMs holds the adapter.
    holder_interval: u32,
    /// Smallest share of conversations on which entries must agree, percent.
    min_agreement: usize,
    /// Largest share of conversations that one holder may get, percent.
    max_share: usize,
}

#[rustfmt::skip]
const AFFINITY_CASES: &[AffinityCase] = &[
    AffinityCase { holder_interval: 66, min_agreement: 100, max_share: 25 },
    AffinityCase { holder_interval: 20, min_agreement: 100, max_share: 10 },
    AffinityCase { holder_interval: 2, min_agreement: 95, max_share: 3 },
];

/// VMs that conversations are assigned to, at an entry that knows these VMs.
fn affinity_holders(vms: &[u32], holder_interval: u32, removed_vm: Option<u32>) -> Vec<u32> {
    let mut router = entry(1, vms, 0);
    for (ix, vm) in (0..).map(UpstreamIx).zip(vms) {
        let holds = vm % holder_interval == 0 && Some(*vm) != removed_vm;
        let resident: &[LoraIx] = if holds { &[LoraIx(0)] } else { &[] };
        router.report(ix, POOL, &figures(0), Some(resident), None, Millis(0));
    }
    let holder = |hash| {
        router
            .affinity_holder(POOL, LoraIx(0), hash)
            .expect("a holder")
    };
    let vm = |up: UpstreamIx| vms[up.0 as usize];
    (0..CONVERSATIONS)
        .map(|hash| vm(holder(hash.wrapping_mul(0x9E37_79B9_7F4A_7C15))))
        .collect()
}

#[test]
fn conversations_have_one_affinity_holder_at_every_entry() {
    let one: Vec<u32> = (0..398).collect();
    let other: Vec<u32> = (1..398).rev().chain([0, 401]).collect();
    for AffinityCase {
        holder_interval,
        min_agreement,
        max_share,
    } in AFFINITY_CASES
    {
        let ours = affinity_holders(&one, *holder_interval, None);
        let theirs = affinity_holders(&other, *holder_interval, None);
        let same = ours.iter().zip(&theirs).filter(|(a, b)| a == b).count();
        assert!(
            same * 100 >= min_agreement * ours.len(),
            "{same} with one in {holder_interval}"
        );

        let first = ours[0];
        let count = |vm: u32| ours.iter().filter(|m| **m == vm).count();
        let busiest = one.iter().map(|vm| count(*vm)).max().unwrap();
        assert!(
            busiest * 100 <= max_share * ours.len(),
            "{busiest} with one in {holder_interval}"
        );

        let after = affinity_holders(&one, *holder_interval, Some(first));
        let mut pairs = ours.iter().zip(&after);
        assert!(
            pairs.all(|(a, b)| a == b || *a == first),
            "one in {holder_interval}"
        );
    }
}

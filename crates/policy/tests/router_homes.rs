//! Homes: entries agree on them, and a hot adapter gets past its first ones.

use pumicecleat_policy::{
    Ask, Choice, LoraIx, PoolIx, Router, RouterOptions, UpstreamFigures, UpstreamIx, lora_key,
    upstream_key,
};
use pumicecleat_types::{LoadFigures, Lora, Millis, VmId};

const POOL: PoolIx = PoolIx(0);
const LORAS: u32 = 2_000;

fn figures(wait_ms: u32) -> UpstreamFigures {
    let load = LoadFigures {
        batch: 8,
        step_us: 10_000,
        wait_ms,
        ..LoadFigures::default()
    };
    UpstreamFigures {
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
        router.name_upstream(ix, upstream_key(&VmId::from(format!("vm-{vm}"))));
        router.report(ix, POOL, &figures(0), Some(&[]), None, Millis(0));
    }
    for lora in 0..LORAS {
        let key = lora_key(&Lora::new("base", &format!("adapter-{lora}"), "v1"));
        router.name_lora(LoraIx(lora + shift), key);
    }
    router
}

fn chosen(router: &mut Router, lora: u32, now: Millis) -> UpstreamIx {
    let ask = Ask {
        pool: POOL,
        lora: Some(LoraIx(lora)),
        prefix: None,
        left: Millis(60_000),
        tried: &[],
    };
    match router.choose(&ask, now) {
        Choice::Send(pick) => pick.up,
        Choice::Refuse { .. } => panic!("refused"),
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
    let wait = |r: &Router, now| r.expected(up, None, None, now);
    let idle = wait(&router, Millis(0));
    (0..20).for_each(|_| router.sent(up, lora, Millis(1_000)));
    let busy = wait(&router, Millis(1_000));
    assert!(busy > idle);
    router.heard(up, figures(0).load, Millis(1_050));
    assert_eq!(wait(&router, Millis(1_050)), busy);
    router.heard(up, figures(0).load, Millis(1_101));
    assert_eq!(wait(&router, Millis(1_101)), idle);
}

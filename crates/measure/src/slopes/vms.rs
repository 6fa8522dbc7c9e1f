//! The VM list: its bytes and what a reader spends on it.

use pumicecleat_infra::VmList;
use serde_json::json;

use super::clock::cost;
use super::fleet::listed;
use super::line::{Figure, Sample, Series};

/// VMs listed: a region has 1,300 upstreams.
const VMS: [u32; 4] = [325, 650, 1_300, 2_600];

/// Lists read in a batch.
const BATCH: u32 = 20;

/// Runs all.
pub(super) fn run() {
    let figure = |name, unit| Figure {
        part: "vms",
        name,
        unit,
        per: "VM listed",
    };
    let mut bytes = Series::new(figure("list, encoded", "bytes"));
    let mut time = Series::new(figure("list, decoded", "us"));
    for vms in VMS {
        let list: Vec<_> = (0..vms).map(listed).collect();
        let text = json!({"vms": list, "version": 1}).to_string();
        let length = u32::try_from(text.len()).unwrap_or(u32::MAX);
        bytes.add(vms, Sample::once(f64::from(length)));
        let decoded = cost(BATCH, |_| {
            let list = serde_json::from_str::<VmList>(&text);
            std::hint::black_box(list.is_ok());
        });
        time.add(vms, decoded);
    }
    bytes.fit();
    time.fit();
}

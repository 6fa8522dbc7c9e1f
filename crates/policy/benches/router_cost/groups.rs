//! Two-level rendezvous hashing by groups, compared with the hash ring. With one group, it is plain
//! rendezvous hashing.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Upstreams grouped by their keys.
pub struct Groups {
    groups: Vec<Vec<u64>>,
}

impl Groups {
    /// Divides `keys` into `count` groups; the count is the same at every entry.
    pub fn new(keys: &[u64], count: usize) -> Self {
        let mut groups = vec![Vec::new(); count];
        for &key in keys {
            let group = usize::try_from(key % count as u64).expect("fits");
            groups[group].push(key);
        }
        Self { groups }
    }

    /// Homes of an adapter: the highest ranked upstream of each of its `count` highest ranked
    /// non-empty groups.
    pub fn homes(&self, lora: u64, count: usize) -> Vec<u64> {
        let rank = |n: u64| xxh3_64_with_seed(&lora.to_le_bytes(), n);
        let non_empty = (0..self.groups.len()).filter(|&g| !self.groups[g].is_empty());
        let mut ranked: Vec<(u64, usize)> = non_empty.map(|g| (rank(g as u64), g)).collect();
        if ranked.len() > count {
            ranked.select_nth_unstable_by(count, |a, b| b.cmp(a));
            ranked.truncate(count);
        }
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        let members = ranked.iter().map(|&(_, g)| &self.groups[g]);
        let best = members.filter_map(|m| m.iter().copied().max_by_key(|&up| rank(up)));
        best.collect()
    }
}

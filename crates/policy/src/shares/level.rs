//! Max-min level of a set of demands.

/// Largest amount that an account may get, so that all get at most `total` together. Accounts that demand
/// less get their demand. Infinite if `total` covers all demands.
pub(super) fn fair_level(mut demands: Vec<f64>, total: f64) -> f64 {
    demands.sort_unstable_by(f64::total_cmp);
    let mut left = total;
    let mut accounts = demands.len();
    for demand in demands {
        let equal_part = left / to_float(accounts);
        if demand > equal_part {
            return equal_part;
        }
        left -= demand;
        accounts -= 1;
    }
    f64::INFINITY
}

#[allow(clippy::cast_precision_loss, reason = "a few thousand accounts")]
fn to_float(count: usize) -> f64 {
    count as f64
}

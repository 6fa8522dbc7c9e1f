//! `SplitMix64`, a small seeded generator with repeatable output.

const INCREMENT: u64 = 0x9E37_79B9_7F4A_7C15;

/// Pseudo-random generator.
#[derive(Clone, Copy, Debug)]
pub(super) struct SplitMix64(u64);

impl SplitMix64 {
    pub(super) fn new(seed: u64) -> Self {
        Self(seed)
    }

    /// Returns a number below `bound`, or 0 if `bound` is 0.
    pub(super) fn below(&mut self, bound: usize) -> usize {
        let wide = u128::from(self.next()) * (bound as u128);
        usize::try_from(wide >> 64).unwrap_or(0)
    }

    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(INCREMENT);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        z ^ (z >> 31)
    }
}

//! Numbers that follow from a seed (SplitMix64).

/// A sequence of numbers that follows from its seed.
#[derive(Debug, Clone)]
pub(super) struct Random {
    state: u64,
}

impl Random {
    pub(super) fn new(seed: u64) -> Self {
        Self { state: seed }
    }

    pub(super) fn next(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut mixed = self.state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        mixed ^ (mixed >> 31)
    }

    /// A number below `limit`; 0 if that is 0.
    pub(super) fn below(&mut self, limit: u64) -> u64 {
        self.next().checked_rem(limit).unwrap_or(0)
    }

    /// Heads or tails.
    pub(super) fn coin(&mut self) -> bool {
        self.below(2) == 0
    }
}

//! Seeds for what draws by itself, from the one that the process drew.

/// SplitMix64's increment: the odd number nearest to 2^64 over the golden ratio.
const INCREMENT: u64 = 0x9E37_79B9_7F4A_7C15;

/// A sequence of seeds that follows from its first.
#[derive(Debug)]
pub struct Seeds {
    state: u64,
}

impl Seeds {
    pub fn new(seed: u64) -> Self {
        Self { state: seed }
    }

    /// The next seed (SplitMix64).
    pub fn next(&mut self) -> u64 {
        self.state = self.state.wrapping_add(INCREMENT);
        let mut mixed = self.state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        mixed ^ (mixed >> 31)
    }
}

//! Waits that grow and are spread.

use crate::settings::Waits;

/// A wait is spread over this part below and above its length, so that retries don't come in step.
const SPREAD_DIVISOR: u64 = 4;
/// More doublings than any wait has bits to spare.
const MOST_DOUBLINGS: u32 = 20;

/// Draws numbers for spreading; no secret.
#[derive(Debug, Clone)]
pub(crate) struct Jitter {
    state: u64,
}

impl Jitter {
    /// Draws by a seed.
    pub(crate) fn new(seed: u64) -> Self {
        Self { state: seed }
    }

    /// The wait after `earlier` tries in vain, in milliseconds: doubled each time up to the longest, then spread.
    pub(crate) fn wait_ms(&mut self, waits: Waits, earlier: u32) -> u64 {
        let doubled = waits.first_ms.saturating_mul(1 << earlier.min(MOST_DOUBLINGS));
        let length = doubled.min(waits.longest_ms);
        let spread = length / SPREAD_DIVISOR;
        length - spread + self.draw() % (2 * spread + 1)
    }

    fn draw(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mixed(self.state)
    }
}

/// Spreads the bits of a number over all of it (the finalizer of SplitMix64).
pub(crate) fn mixed(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}

/// A hash of a name that is the same in all processes (FNV-1a).
pub(crate) fn name_hash(name: &str) -> u64 {
    name.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3))
}

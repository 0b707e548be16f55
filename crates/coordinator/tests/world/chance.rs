//! Chance that a seed repeats: SplitMix64 (Steele, Lea and Flood, 2014).

pub struct Chance {
    state: u64,
}

impl Chance {
    pub fn new(seed: u64) -> Self {
        Self { state: seed }
    }

    pub fn next(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mixed = (self.state ^ (self.state >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        mixed ^ (mixed >> 31)
    }

    /// A number below `limit`, or 0.
    pub fn below(&mut self, limit: u64) -> u64 {
        self.next() % limit.max(1)
    }

    /// Whether something happens that does so in this part of all cases.
    pub fn happens(&mut self, part: f64) -> bool {
        (self.next() >> 11) as f64 / ((1u64 << 53) as f64) < part
    }

    pub fn one_of<T: Copy>(&mut self, items: &[T]) -> T {
        let place = usize::try_from(self.below(items.len() as u64)).unwrap();
        items[place]
    }
}

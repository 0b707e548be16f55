//! What happened, line by line.

/// FNV-1a's offset basis and prime for 64 bits.
const FNV_BASIS: u64 = 0xCBF2_9CE4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01B3;

/// The lines of a history, kept or only digested.
#[derive(Debug)]
pub struct Trace {
    keeps: bool,
    lines: Vec<String>,
    digest: u64,
}

impl Trace {
    pub fn new(keeps: bool) -> Self {
        Self { keeps, lines: Vec::new(), digest: FNV_BASIS }
    }

    pub fn keeps(&self) -> bool {
        self.keeps
    }

    /// Adds a line.
    pub fn line(&mut self, now: u64, text: impl FnOnce() -> String) {
        if self.keeps {
            self.lines.push(format!("{now:>7} {}", text()));
        }
    }

    /// Adds a number to the digest.
    pub fn digest(&mut self, number: u64) {
        self.digest = (self.digest ^ number).wrapping_mul(FNV_PRIME);
    }

    pub fn digested(&self) -> u64 {
        self.digest
    }

    pub fn into_lines(self) -> Vec<String> {
        self.lines
    }
}

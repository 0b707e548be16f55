//! Whether answers of 500 are the runner's fault or the messages'.

/// Weight of the newest answer in the service's share of errors: a few dozen answers settle a change.
const NEWEST: f64 = 1.0 / 32.0;
/// The least share of errors supposed of a service: two in a row from one runner are then more than chance.
const LEAST_SHARE: f64 = 0.05;
/// What a runner shows in a row is not chance if it is less likely than this, given the share of the whole service.
const UNLIKELY: f64 = 0.01;

/// The share of answers of a service that are 500. Some messages fail at every runner; a runner is to blame only if it
/// errs so often in a row that the share of the whole service does not explain it.
#[derive(Debug, Default)]
pub(crate) struct ErrorShare {
    share: f64,
}

impl ErrorShare {
    /// A runner served.
    pub(crate) fn served(&mut self) {
        self.share -= self.share * NEWEST;
    }

    /// A runner answered 500, for the `in_a_row`th time since it last served. Whether it is the runner's fault.
    pub(crate) fn failed(&mut self, in_a_row: u32) -> bool {
        let chance = self.share.max(LEAST_SHARE).powf(f64::from(in_a_row));
        self.share += (1.0 - self.share) * NEWEST;
        chance < UNLIKELY
    }
}

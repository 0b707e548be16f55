//! What leaders rest their answers on, and what clocks may do.

/// When a replica reads its clock for something that it does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClockRead {
    /// After what it does that for has come: it may freeze after, but not before.
    AfterInput,
    /// Once for each turn of its event loop, perhaps long before.
    AtTurnStart,
}

/// On what a leader rests its answer to a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadPolicy {
    /// Its lease, by its clock.
    Lease(ClockRead),
    /// A quorum's word that it leads, asked for after the read came.
    Round,
    /// A quorum's word that it leads, whenever it was asked for.
    EarlierRound,
}

/// What leaders rest their answers on, and what clocks may do.
#[derive(Debug, Clone, Copy)]
pub struct ReadScenario {
    /// On what a leader rests its answer.
    pub policy: ReadPolicy,
    /// When a follower reads its clock for having heard from the leader.
    pub hearing: ClockRead,
    /// A leader answers only once it has committed an entry of its own term.
    pub own_term_first: bool,
    /// For how long a leader trusts in what a quorum has answered; ticks of its clock, from the sending on.
    pub lease: u8,
    /// For how long a follower that heard from a leader refuses votes; ticks of its clock.
    pub refusal: u8,
    /// How many ticks the old leader's clock may miss.
    pub drift: u8,
    /// When the model ends; ticks.
    pub end: u8,
}

impl ReadScenario {
    /// A lease of 2 ticks within a refusal of 3, by a clock that may miss `drift` ticks in 5.
    pub fn new(policy: ReadPolicy, drift: u8) -> Self {
        Self {
            policy,
            hearing: ClockRead::AfterInput,
            own_term_first: true,
            lease: 2,
            refusal: 3,
            drift,
            end: 5,
        }
    }
}

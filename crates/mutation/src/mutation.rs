//! The faults that can be switched on.

/// A deliberate fault in the protocol code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// Consensus: a new leader trusts its lease before an entry of its own term is committed.
    LeaseBeforeOwnTerm,
    /// Consensus: a leader trusts its lease for longer than its followers refuse votes.
    LeaseOutlastsRefusal,
    /// Consensus: a leader keeps its lease although it told another to take over.
    LeaseKeptInTransfer,
    /// Consensus: votes are granted although a leader was just heard.
    VoteDespiteLeader,
    /// Consensus: a vote is granted to a candidate whose log is shorter.
    VoteForShorterLog,
    /// Consensus: a second vote is granted in one term.
    SecondVote,
    /// Consensus: a restarted replica forgets whom it voted for, and grants votes at once.
    VoteForgotten,
    /// Consensus: a leader commits entries of earlier terms by counting their copies.
    EarlierTermCommitted,
    /// Consensus: a follower acknowledges entries before they are on its disk.
    AcknowledgedBeforeWrite,
    /// Membership: a learner is given a vote before it has caught up.
    VoteBeforeCaughtUp,
    /// Membership: a change is taken while the previous one is not committed.
    ChangeWhilePending,
    /// Snapshot: one is taken up without its membership.
    SnapshotWithoutMembership,
    /// Snapshot: parts of different snapshots are joined.
    SnapshotPartsMixed,
    /// Configuration: a change on top of a version that is not in force is taken.
    BaseVersionIgnored,
    /// Configuration: an edge takes any version, and any coordinator tells what it has.
    LowerVersionTaken,
    /// Repeat: a coordinator forgets which configurations it took.
    TakenForgotten,
    /// Correlation: a coordinator answers its newest call by whichever entry is applied.
    CallsCrossed,
    /// Correlation: an edge takes a store's answer for that to its oldest append.
    AppendsAnsweredInOrder,
    /// Fencing: a leader numbers its leases as the leaders before it did.
    LeaseNumberedAnew,
    /// Fencing: a new leader does not wait for what edges hold from earlier terms.
    HoldersNotAwaited,
    /// Consensus: after a restart a candidate takes the word of a quorum, not of all members, that nobody leads.
    LeaderAbsenceAssumed,
    /// Links: the opener of a replica's link keeps it although the other end says nothing.
    DeadReplicaLinkKept,
}

impl Mutation {
    /// All of them.
    pub const ALL: [Self; 22] = [
        Self::LeaseBeforeOwnTerm,
        Self::LeaseOutlastsRefusal,
        Self::LeaseKeptInTransfer,
        Self::VoteDespiteLeader,
        Self::VoteForShorterLog,
        Self::SecondVote,
        Self::VoteForgotten,
        Self::EarlierTermCommitted,
        Self::AcknowledgedBeforeWrite,
        Self::VoteBeforeCaughtUp,
        Self::ChangeWhilePending,
        Self::SnapshotWithoutMembership,
        Self::SnapshotPartsMixed,
        Self::BaseVersionIgnored,
        Self::LowerVersionTaken,
        Self::TakenForgotten,
        Self::CallsCrossed,
        Self::AppendsAnsweredInOrder,
        Self::LeaseNumberedAnew,
        Self::HoldersNotAwaited,
        Self::LeaderAbsenceAssumed,
        Self::DeadReplicaLinkKept,
    ];
}

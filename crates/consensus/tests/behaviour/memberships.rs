use ruddervalve_consensus::{MembershipChange, MembershipError, MessageKind, Restored, Role};
use ruddervalve_protocol::ReplicaId;

use crate::group::{A, B, C, D, Group, command, voters};

fn change(group: &mut Group, change: MembershipChange) -> Result<u64, MembershipError> {
    let now = group.now;
    let changed = group.replica(A).change_membership(now, change);
    group.settle();
    changed
}

#[test]
fn a_replica_on_an_empty_disk_becomes_learner_then_voter_and_the_lost_one_goes() {
    let mut group = Group::led_by_a(&[A, B, C]);
    group.isolate(C);
    group.join(D, Restored::default());
    change(&mut group, MembershipChange::AddLearner(D)).expect("D is new");
    assert!(group.replica(A).membership().is_learner(D));
    let early = change(&mut group, MembershipChange::PromoteLearner(C));
    assert_eq!(early, Err(MembershipError::AlreadyVoter { id: C }));
    group.run(300);
    change(&mut group, MembershipChange::PromoteLearner(D)).expect("D has caught up");
    change(&mut group, MembershipChange::Remove(C)).expect("C is a voter");
    group.run(300);
    for id in [A, B, D] {
        assert_eq!(*group.replica(id).membership(), voters(&[A, B, D]));
        assert!(group.replica(id).membership_committed());
    }
    group.isolate(B);
    let now = group.now;
    group.replica(A).propose(now, command("x")).expect("A leads");
    group.run(300);
    assert_eq!(group.commands(D), ["x"], "A and D are a quorum");
}

#[test]
fn a_learner_does_not_count_and_is_not_elected_without_the_voters() {
    let mut group = Group::led_by_a(&[A]);
    group.join(D, Restored::default());
    change(&mut group, MembershipChange::AddLearner(D)).expect("D is new");
    group.isolate(D);
    let now = group.now;
    group.replica(A).propose(now, command("x")).expect("A leads");
    let term = group.replica(D).term();
    group.run(10_000);
    assert_eq!(group.commands(A), ["x"]);
    assert!(matches!(group.replica(D).role(), Role::Follower | Role::PreCandidate));
    assert_eq!(group.replica(D).term(), term, "it asks, and raises no term");
    group.cuts.clear();
    group.run(1_000);
    assert_eq!((group.replica(A).role(), group.replica(A).term()), (Role::Leader, term));
    assert_eq!(group.commands(D), ["x"]);
}

/// A leads A, B, C with the learner D and appends D's promotion, which nobody else gets. C is elected by B, its first entry
/// reaches D alone, and C is lost for good. A has the promotion and needs D's vote, which its older log does not get; B has
/// less than both.
#[test]
fn a_learner_with_the_newest_log_is_elected_where_no_voter_can_be() {
    let mut group = Group::led_by_a(&[A, B, C]);
    group.join(D, Restored::default());
    change(&mut group, MembershipChange::AddLearner(D)).expect("D is new");
    group.run(5_000);
    assert!(group.replica(A).is_caught_up(D));
    group.isolate(A);
    change(&mut group, MembershipChange::PromoteLearner(D)).expect("D has caught up");
    assert!(group.replica(A).membership().is_voter(D));
    group.run(3_000);
    let leader = [B, C].into_iter().find(|id| group.replica(*id).role() == Role::Leader);
    let lost = leader.expect("B and C are a quorum");
    let rest = if lost == B { C } else { B };
    // The leader's next entry reaches the learner alone.
    group.cuts.insert((lost, rest));
    let now = group.now;
    group.replica(lost).propose(now, command("x")).expect("it leads");
    group.settle();
    group.isolate(lost);
    group.members.retain(|member| member.replica.id() != lost);
    group.cuts.clear();
    assert!(group.replica(D).last_index() > group.replica(rest).last_index());
    group.run(20_000);
    let leads = |group: &mut Group, id: ReplicaId| group.replica(id).role() == Role::Leader;
    let leader = [A, rest, D].into_iter().find(|id| leads(&mut group, *id)).expect("three of four are there");
    assert_ne!(leader, D, "a learner hands its office over");
    let now = group.now;
    group.replica(leader).propose(now, command("y")).expect("it leads");
    group.run(1_000);
    assert_eq!(group.commands(leader).last().map(String::as_str), Some("y"));
}

#[test]
fn changes_go_one_at_a_time() {
    let mut group = Group::led_by_a(&[A, B, C]);
    group.hold = Some(MessageKind::AppendReply);
    change(&mut group, MembershipChange::AddLearner(D)).expect("D is new");
    let second = change(&mut group, MembershipChange::Remove(D));
    assert_eq!(second, Err(MembershipError::ChangePending));
    group.release();
    change(&mut group, MembershipChange::Remove(D)).expect("the first is committed");
}

#[test]
fn changes_wait_for_an_entry_of_the_own_term() {
    let mut group = Group::founded(&[A, B, C]);
    group.hold = Some(MessageKind::AppendReply);
    group.elect(A);
    let refused = change(&mut group, MembershipChange::AddLearner(D));
    assert_eq!(refused, Err(MembershipError::TermNotCommitted));
}

#[test]
fn changes_that_do_not_fit_are_refused() {
    let mut group = Group::led_by_a(&[A, B]);
    assert_eq!(
        change(&mut group, MembershipChange::AddLearner(B)),
        Err(MembershipError::AlreadyMember { id: B })
    );
    assert_eq!(change(&mut group, MembershipChange::Remove(C)), Err(MembershipError::NotMember { id: C }));
    assert_eq!(
        change(&mut group, MembershipChange::PromoteLearner(C)),
        Err(MembershipError::NotMember { id: C })
    );
    change(&mut group, MembershipChange::AddLearner(C)).expect("C is new");
    assert_eq!(
        change(&mut group, MembershipChange::PromoteLearner(C)),
        Err(MembershipError::NotCaughtUp { id: C })
    );
    change(&mut group, MembershipChange::Remove(B)).expect("B is a voter");
    assert_eq!(change(&mut group, MembershipChange::Remove(A)), Err(MembershipError::LastVoter));
    let now = group.now;
    let refused = group.replica(B).change_membership(now, MembershipChange::Remove(A));
    assert_eq!(refused, Err(MembershipError::NotLeader { leader: Some(A) }));
}

#[test]
fn a_leader_that_removes_itself_hands_over_once_that_is_committed() {
    let mut group = Group::led_by_a(&[A, B, C]);
    group.run(300);
    change(&mut group, MembershipChange::Remove(A)).expect("A is a voter");
    assert_eq!(group.replica(A).role(), Role::Follower);
    let leaders = |group: &mut Group| [B, C].into_iter().find(|id| group.replica(*id).role() == Role::Leader);
    let leader = leaders(&mut group).expect("another leads at once");
    group.run(300);
    assert_eq!(*group.replica(leader).membership(), voters(&[B, C]));
    group.run(20_000);
    assert_eq!(leaders(&mut group), Some(leader), "the removed replica does not disturb");
}

#[test]
fn a_change_that_was_not_committed_is_undone_when_another_leader_replaces_it() {
    let mut group = Group::led_by_a(&[A, B, C]);
    group.isolate(A);
    change(&mut group, MembershipChange::AddLearner(D)).expect("A still leads");
    assert!(group.replica(A).membership().is_learner(D));
    group.run(6000);
    group.cuts.clear();
    group.run(1000);
    assert_eq!(*group.replica(A).membership(), voters(&[A, B, C]));
    assert!(group.replica(A).membership_committed());
}

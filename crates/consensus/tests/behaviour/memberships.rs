use ruddervalve_consensus::{MembershipChange, MembershipError, MessageKind, Restored, Role};

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
fn a_learner_does_not_count_and_does_not_campaign() {
    let mut group = Group::led_by_a(&[A]);
    group.join(D, Restored::default());
    change(&mut group, MembershipChange::AddLearner(D)).expect("D is new");
    group.isolate(D);
    let now = group.now;
    group.replica(A).propose(now, command("x")).expect("A leads");
    group.run(10_000);
    assert_eq!(group.commands(A), ["x"]);
    assert_eq!(group.replica(D).role(), Role::Follower);
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

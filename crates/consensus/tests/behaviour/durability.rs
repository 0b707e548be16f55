use ruddervalve_consensus::{MessageKind, Ready, Replica, Role, Write};

use crate::group::{A, B, C, Group, TIMING, command, founded};

/// A candidate whose pre-vote was granted by `B`, and its output.
fn candidate() -> (Replica, Ready, u64) {
    let mut a = Replica::new(A, TIMING, 1, founded(&[A, B, C]), 0);
    let mut b = Replica::new(B, TIMING, 2, founded(&[A, B, C]), 0);
    let now = a.next_wake();
    a.tick(now);
    for (to, message) in a.take_ready().messages {
        if to == B {
            b.step(now, A, message);
        }
    }
    for (_, message) in b.take_ready().messages {
        a.step(now, B, message);
    }
    let ready = a.take_ready();
    (a, ready, now)
}

#[test]
fn requests_for_votes_wait_for_the_term_and_the_own_vote_on_disk() {
    let (a, ready, _) = candidate();
    assert_eq!(a.role(), Role::Candidate);
    assert!(
        matches!(ready.writes.as_slice(), [Write::HardState(state)] if state.term == 1 && state.vote == Some(A))
    );
    assert!(ready.messages.is_empty());
    assert!(ready.messages_after_write.iter().all(|(_, message)| message.kind() == MessageKind::Vote));
    assert_eq!(ready.messages_after_write.len(), 2);
}

#[test]
fn votes_and_acknowledgements_wait_for_the_disk() {
    let (mut a, ready, now) = candidate();
    let mut b = Replica::new(B, TIMING, 2, founded(&[A, B, C]), 0);
    a.written(now, ready.ticket);
    let (_, vote) = ready.messages_after_write.into_iter().find(|(to, _)| *to == B).expect("a request to B");
    b.step(now, A, vote);
    let voted = b.take_ready();
    assert!(voted.messages.is_empty());
    assert!(matches!(voted.writes.as_slice(), [Write::HardState(state)] if state.vote == Some(A)));
    let [(_, reply)] = voted.messages_after_write.as_slice() else { panic!("one reply") };
    a.step(now, B, reply.clone());
    assert_eq!(a.role(), Role::Leader);
    let led = a.take_ready();
    let (_, append) = led.messages.into_iter().find(|(to, _)| *to == B).expect("an append to B");
    b.step(now, A, append.clone());
    let appended = b.take_ready();
    assert!(appended.messages.is_empty());
    assert_eq!(appended.messages_after_write.len(), 1);
    // A second copy while the first one's write is under way waits too, though nothing more is written.
    b.step(now, A, append);
    let again = b.take_ready();
    assert!(again.writes.is_empty() && again.messages.is_empty());
    assert_eq!((again.ticket, again.messages_after_write.len()), (appended.ticket, 1));
}

#[test]
fn a_leader_counts_its_own_log_only_once_written() {
    let (mut a, ready, now) = candidate();
    a.written(now, ready.ticket);
    let mut others = [B, C].map(|id| Replica::new(id, TIMING, id.0, founded(&[A, B, C]), 0));
    for (to, message) in ready.messages_after_write {
        let other = others.iter_mut().find(|other| other.id() == to).expect("a peer");
        other.step(now, A, message);
        for (_, reply) in other.take_ready().messages_after_write {
            a.step(now, to, reply);
        }
    }
    let led = a.take_ready();
    let (_, append) = led.messages.into_iter().find(|(to, _)| *to == B).expect("an append to B");
    let b = &mut others[0];
    b.written(now, 1);
    b.step(now, A, append);
    for (_, reply) in b.take_ready().messages_after_write {
        a.step(now, B, reply);
    }
    assert_eq!(a.commit_index(), 0, "B alone is no quorum");
    a.written(now, led.ticket);
    assert_eq!(a.commit_index(), 1);
}

#[test]
fn tickets_grow_by_one_with_each_ready_that_writes_and_nonsense_tickets_do_no_harm() {
    let mut group = Group::led_by_a(&[A]);
    let now = group.now;
    let a = group.replica(A);
    let before = a.take_ready().ticket;
    a.written(now, u64::MAX);
    let first = a.propose(now, command("x"));
    let ready = a.take_ready();
    assert_eq!(ready.ticket, before + 1);
    assert_eq!(a.take_ready().ticket, before + 1);
    a.written(now, before);
    assert!(a.take_ready().committed.is_empty());
    a.written(now, ready.ticket);
    assert_eq!(Ok(a.take_ready().committed[0].index), first);
}

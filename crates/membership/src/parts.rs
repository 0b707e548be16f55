//! Owns the leases by which members use parts of a shared limit. Each asks all others in rounds; an answer is a lease and
//! tells whom the answering one counts as gone. Whoever has answered a member does not count it as gone, and whoever has
//! counted one as gone does not answer it, for as long as anybody may rely on the other. So a member that holds a majority
//! of leases is counted as gone by no majority, and what the others take of a part is what its holder has given up.

/// What all members of a fleet have to be told alike.
#[derive(Debug, Clone, PartialEq)]
pub struct Terms {
    /// How many members there can be; each has a place of its own below this.
    pub total: usize,
    /// How long an answer holds, in milliseconds from the sending of its question.
    pub lease_ms: f64,
    /// The part of its own part that a member keeps while it hears no majority; what others may not take of it.
    pub keeps: f64,
    /// How far the rate of a clock may be off: 0.001 is a thousandth, ahead or behind.
    pub drift: f64,
}

/// How far the view of a member can be trusted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Quality {
    /// A majority answers, and each member is either heard of or counted as gone by a majority.
    Agreed,
    /// A majority answers, but of some member it is not known whether it is there.
    Unsure,
    /// No majority answers: others may count this member as gone.
    CutOff,
}

/// The answer to a question of another member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The places of those whom the answering member counts as gone.
    pub gone: Vec<usize>,
}

/// What is known of one other member.
#[derive(Debug, Clone)]
struct Other {
    /// When something last came from it; it was last answered then or before.
    heard_ms: f64,
    /// When somebody was last told that it counts as gone.
    counted_gone_ms: f64,
    /// The sending of the newest question that it answered, and whom it counted as gone then.
    lease: Option<(f64, Vec<usize>)>,
}

/// The leases of one member.
#[derive(Debug, Clone)]
pub struct Parts {
    terms: Terms,
    place: usize,
    others: Vec<Other>,
}

impl Parts {
    /// The leases of the member of this place, which starts now. What an earlier process of it has promised is not known:
    /// until that is over it answers nobody and counts nobody as gone. None for a place or terms that make no sense.
    pub fn new(terms: Terms, place: usize, now_ms: f64) -> Option<Self> {
        let part = |part: f64| (0.0..=1.0).contains(&part);
        let sound = part(terms.keeps) && (0.0..0.5).contains(&terms.drift);
        let sound = sound && terms.lease_ms.is_finite() && terms.lease_ms > 0.0 && place < terms.total;
        let other = Other { heard_ms: now_ms, counted_gone_ms: now_ms, lease: None };
        sound.then(|| Self { others: vec![other; terms.total], terms, place })
    }

    /// How long a promise binds: as long as a lease on the slowest clock, told by the fastest.
    pub fn promise_ms(&self) -> f64 {
        self.terms.lease_ms * (1.0 + self.terms.drift) / (1.0 - self.terms.drift)
    }

    /// Takes the question of another member. No answer where a promise forbids it, or to a place that is none.
    pub fn asked(&mut self, now_ms: f64, by: usize) -> Option<Answer> {
        let promise = self.promise_ms();
        let other = self.others.get_mut(by).filter(|_| by != self.place)?;
        other.heard_ms = now_ms;
        if now_ms - other.counted_gone_ms <= promise {
            return None;
        }
        Some(Answer { gone: self.count_gone(now_ms) })
    }

    /// Takes the answer of another member to a question that was sent at this time, by this member's own clock.
    pub fn answered(&mut self, from: usize, sent_ms: f64, answer: Answer, now_ms: f64) {
        let Some(other) = self.others.get_mut(from).filter(|_| from != self.place) else { return };
        other.heard_ms = now_ms;
        // Answers may overtake one another.
        if sent_ms <= now_ms && other.lease.as_ref().is_none_or(|lease| lease.0 < sent_ms) {
            other.lease = Some((sent_ms, answer.gone));
        }
    }

    /// How far the view can be trusted now.
    pub fn quality(&mut self, now_ms: f64) -> Quality {
        self.view(now_ms).0
    }

    /// The part of a shared limit that this member may use now.
    pub fn part(&mut self, now_ms: f64) -> f64 {
        let own = 1.0 / self.terms.total as f64;
        let (quality, gone) = self.view(now_ms);
        if quality == Quality::CutOff {
            return own * self.terms.keeps;
        }
        // Whoever else takes of these is itself in nobody's count of the gone: there are no more takers than this.
        let takers = self.terms.total - gone;
        own + own * (1.0 - self.terms.keeps) * gone as f64 / takers as f64
    }

    /// The quality, and how many a majority counts as gone.
    fn view(&mut self, now_ms: f64) -> (Quality, usize) {
        let mut counted = vec![0; self.terms.total];
        for gone in self.count_gone(now_ms) {
            counted[gone] += 1;
        }
        let since = now_ms - self.terms.lease_ms;
        let leases: Vec<&Vec<usize>> = (self.others.iter())
            .filter_map(|other| other.lease.as_ref().filter(|lease| lease.0 > since).map(|lease| &lease.1))
            .collect();
        let majority = self.terms.total / 2 + 1;
        // This member answers itself.
        let heard = 1 + leases.len();
        for gone in leases.iter().flat_map(|gone| gone.iter()) {
            counted.get_mut(*gone).into_iter().for_each(|counted| *counted += 1);
        }
        let gone = |place: usize| counted[place] >= majority && place != self.place;
        let there = |place: usize| place == self.place || self.others[place].heard_ms > since;
        let known = (0..self.terms.total).all(|place| gone(place) || there(place));
        let quality = match heard >= majority {
            false => Quality::CutOff,
            true if known => Quality::Agreed,
            true => Quality::Unsure,
        };
        (quality, (0..self.terms.total).filter(|place| gone(*place)).count())
    }

    /// Whom this member counts as gone, which it may do only so long after it last answered them; from now on it answers
    /// none of them until nobody can rely on that any more.
    fn count_gone(&mut self, now_ms: f64) -> Vec<usize> {
        let promise = self.promise_ms();
        let mut gone = Vec::new();
        for (place, other) in self.others.iter_mut().enumerate() {
            if place != self.place && now_ms - other.heard_ms > promise {
                other.counted_gone_ms = now_ms;
                gone.push(place);
            }
        }
        gone
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    /// Members with clocks of their own, on links that can be cut one way each.
    struct Fleet {
        terms: Terms,
        now: f64,
        members: Vec<Member>,
        cut: Vec<Vec<bool>>,
        /// What is under way: from, to, the question's sending on the asker's clock, and the answer.
        wire: Vec<(usize, usize, f64, Option<Answer>)>,
        most: f64,
    }

    struct Member {
        parts: Option<Parts>,
        stopped: bool,
        rate: f64,
        ahead: f64,
    }

    impl Fleet {
        fn new(total: usize, keeps: f64, clocks: &[(f64, f64)]) -> Self {
            let terms = Terms { total, lease_ms: 1_000.0, keeps, drift: 0.05 };
            let member = |place: usize| {
                let (rate, ahead) = clocks[place % clocks.len()];
                let parts = Parts::new(terms.clone(), place, ahead);
                assert!(parts.is_some());
                Member { parts, stopped: false, rate: 1.0 + rate * terms.drift, ahead }
            };
            let members = (0..total).map(member).collect();
            Self {
                cut: vec![vec![false; total]; total],
                terms,
                now: 0.0,
                members,
                wire: Vec::new(),
                most: 0.0,
            }
        }

        fn clock(&self, place: usize) -> f64 {
            self.now * self.members[place].rate + self.members[place].ahead
        }

        fn deliver(&mut self, number: usize) {
            let (from, to, sent, answer) = self.wire.swap_remove(number);
            let now = self.clock(to);
            if self.cut[from][to] || self.members[to].stopped {
                return;
            }
            let Some(parts) = &mut self.members[to].parts else { return };
            match answer {
                Some(answer) => parts.answered(from, sent, answer, now),
                None => {
                    let answer = parts.asked(now, from);
                    self.wire.extend(answer.map(|answer| (to, from, sent, Some(answer))));
                }
            }
        }

        fn round(&mut self, place: usize) {
            if self.members[place].parts.is_some() && !self.members[place].stopped {
                let sent = self.clock(place);
                let others = (0..self.members.len()).filter(|other| *other != place);
                self.wire.extend(others.map(|other| (place, other, sent, None)));
            }
        }

        /// All parts that are used at this moment.
        fn used(&mut self) -> f64 {
            let clocks: Vec<f64> = (0..self.members.len()).map(|place| self.clock(place)).collect();
            let up = self.members.iter_mut().zip(clocks).filter(|(member, _)| !member.stopped);
            let parts = up.filter_map(|(member, now)| member.parts.as_mut().map(|parts| parts.part(now)));
            let used = parts.sum::<f64>();
            self.most = self.most.max(used);
            used
        }

        /// Time passes with rounds and with all that is sent arriving.
        fn calm(&mut self, ms: usize) {
            for _ in 0..ms / 100 {
                self.now += 100.0;
                (0..self.members.len()).for_each(|place| self.round(place));
                while !self.wire.is_empty() {
                    self.deliver(0);
                }
                assert!(self.used() <= 1.0 + 1e-9);
            }
        }

        fn qualities(&mut self) -> Vec<Quality> {
            let clocks: Vec<f64> = (0..self.members.len()).map(|place| self.clock(place)).collect();
            let up = self.members.iter_mut().zip(clocks);
            up.filter_map(|(member, now)| Some(member.parts.as_mut()?.quality(now))).collect()
        }
    }

    proptest! {
        #![proptest_config(ProptestConfig {
            cases: 400,
            rng_seed: proptest::test_runner::RngSeed::Fixed(7),
            failure_persistence: None,
            ..ProptestConfig::default()
        })]

        /// Splits, one-way cuts, stalls, crashes, restarts, late and lost messages, clocks that run apart.
        #[test]
        fn all_together_never_use_more_than_there_is(
            total in 2usize..9,
            keeps in prop_oneof![Just(0.0), Just(0.5), Just(1.0)],
            clocks in prop::collection::vec((-1.0..1.0, 0.0..1e6), 1..9),
            steps in prop::collection::vec((0u8..12, 0usize..9, any::<u16>(), 1.0..400.0), 1..400),
        ) {
            let mut fleet = Fleet::new(total, keeps, &clocks);
            // Some fleets have settled before anything fails.
            if clocks.len() % 2 == 0 {
                fleet.calm(3_000);
            }
            for (what, place, number, after) in steps {
                let (place, number) = (place % total, usize::from(number));
                fleet.now += after;
                match what {
                    0..=3 => (0..total).for_each(|place| fleet.round(place)),
                    4 => fleet.round(place),
                    5 => fleet.cut[place].iter_mut().for_each(|cut| *cut = number % 2 == 0),
                    6 => fleet.cut[place][number % total] ^= true,
                    7 => (0..total).for_each(|from| (0..total).for_each(|to| {
                        fleet.cut[from][to] = (from < number % total) != (to < number % total);
                    })),
                    8 => fleet.members[place].stopped ^= true,
                    9 => fleet.members[place].parts = None,
                    10 => {
                        let now = fleet.clock(place);
                        fleet.members[place].parts = Parts::new(fleet.terms.clone(), place, now);
                    }
                    _ => fleet.cut.iter_mut().flatten().for_each(|cut| *cut = false),
                }
                // Some of what is under way arrives, in any order; the rest comes later.
                for _ in 0..number % (2 * total * total) {
                    let under_way = fleet.wire.len();
                    if under_way > 0 {
                        fleet.deliver(number % under_way);
                    }
                }
                let used = fleet.used();
                prop_assert!(used <= 1.0 + 1e-9, "{used} after step {what}");
            }
        }
    }

    #[test]
    fn the_living_take_what_the_dead_give_up_and_return_it() {
        let mut fleet = Fleet::new(5, 0.5, &[(0.0, 0.0)]);
        assert!((fleet.used() - 0.5).abs() < 1e-9, "nobody has heard a majority");
        fleet.calm(3_000);
        assert_eq!(fleet.qualities(), [Quality::Agreed; 5]);
        assert!((fleet.used() - 1.0).abs() < 1e-9);
        let taken = fleet.members[4].parts.take();
        fleet.calm(600);
        assert!((fleet.used() - 0.8).abs() < 1e-9, "it may still be there");
        fleet.calm(3_000);
        assert_eq!(fleet.qualities(), [Quality::Agreed; 4]);
        assert!((fleet.used() - 0.9).abs() < 1e-9, "half of its part is taken over");
        // Back from a stall, with the leases of before: it finds itself cut off at once, and its part comes back.
        fleet.members[4].parts = taken;
        assert_eq!(fleet.qualities()[4], Quality::CutOff);
        assert!((fleet.used() - 1.0).abs() < 1e-9);
        fleet.calm(4_000);
        assert_eq!(fleet.qualities(), [Quality::Agreed; 5]);
        assert!((fleet.used() - 1.0).abs() < 1e-9);
    }

    #[test]
    fn a_minority_keeps_its_share_only_and_one_way_loss_is_no_agreement() {
        let mut fleet = Fleet::new(5, 0.5, &[(0.0, 0.0)]);
        fleet.calm(3_000);
        // Two on one side, three on the other.
        (0..5).for_each(|from| (0..5).for_each(|to| fleet.cut[from][to] = (from < 2) != (to < 2)));
        fleet.calm(4_000);
        let qualities = fleet.qualities();
        assert_eq!(qualities[..2], [Quality::CutOff; 2]);
        assert_eq!(qualities[2..], [Quality::Agreed; 3]);
        assert!((fleet.used() - 1.0).abs() < 1e-9, "0.1 each and 0.2667 each");
        // Healed but for what the last one says: it hears all and is answered by nobody.
        fleet.cut.iter_mut().flatten().for_each(|cut| *cut = false);
        fleet.calm(4_000);
        assert_eq!(fleet.qualities(), [Quality::Agreed; 5]);
        fleet.cut[4] = vec![true; 5];
        fleet.calm(4_000);
        assert_eq!(fleet.qualities()[4], Quality::CutOff);
    }

    #[test]
    fn one_that_starts_anew_keeps_the_promises_that_it_cannot_know() {
        // The middle one of three or five starts anew between some that do not hear each other.
        let link = |fleet: &mut Fleet, one: usize, other: usize, cut: bool| {
            (fleet.cut[one][other], fleet.cut[other][one]) = (cut, cut);
        };
        // It counted the last one as gone, and the first relies on that when the last one asks again.
        let mut fleet = Fleet::new(5, 0.5, &[(0.0, 0.0)]);
        fleet.calm(3_000);
        (0..3).for_each(|place| link(&mut fleet, place, 4, true));
        fleet.calm(3_000);
        assert!(fleet.used() > 0.9, "the last one is cut off, and the first three took of its part");
        fleet.members[2].parts = Parts::new(fleet.terms.clone(), 2, fleet.now);
        link(&mut fleet, 0, 2, true);
        link(&mut fleet, 2, 4, false);
        fleet.calm(5_000);
        assert!(fleet.qualities()[1..].iter().all(|quality| *quality != Quality::CutOff));
        // It answered the last one, which relies on that when the first one asks.
        let mut fleet = Fleet::new(3, 0.5, &[(0.0, 0.0)]);
        fleet.calm(3_000);
        link(&mut fleet, 0, 2, true);
        fleet.calm(3_000);
        fleet.members[1].parts = Parts::new(fleet.terms.clone(), 1, fleet.now);
        link(&mut fleet, 1, 2, true);
        fleet.calm(5_000);
        assert_eq!(fleet.qualities()[..2], [Quality::Agreed; 2]);
    }

    #[test]
    fn terms_and_places_that_make_no_sense_are_turned_down() {
        let terms = Terms { total: 3, lease_ms: 1_000.0, keeps: 0.5, drift: 0.01 };
        assert!(Parts::new(terms.clone(), 2, 0.0).is_some());
        assert!(Parts::new(terms.clone(), 3, 0.0).is_none());
        for wrong in [
            Terms { keeps: 1.1, ..terms.clone() },
            Terms { keeps: f64::NAN, ..terms.clone() },
            Terms { lease_ms: 0.0, ..terms.clone() },
            Terms { lease_ms: f64::INFINITY, ..terms.clone() },
            Terms { drift: 0.5, ..terms.clone() },
        ] {
            assert!(Parts::new(wrong.clone(), 0, 0.0).is_none(), "{wrong:?}");
        }
        let mut parts = Parts::new(terms, 0, 0.0).unwrap();
        assert_eq!((parts.asked(9e3, 0), parts.asked(9e3, 7)), (None, None));
        parts.answered(7, 0.0, Answer { gone: vec![99] }, 9e3);
        parts.answered(1, 8_999.0, Answer { gone: vec![99, 0] }, 9e3);
        assert!(parts.part(9e3) <= 1.0 / 3.0 + 1e-9);
    }
}

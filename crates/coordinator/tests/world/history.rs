//! Operators that change and read the configuration while machines fail, and what must hold of all that they saw.

use std::collections::BTreeMap;

use ruddervalve_coordinator::CallerNumber;
use ruddervalve_coordinator::operator::{Endpoint, OperatorCall};

use super::{CallEnd, MACHINES, World};

/// Silence after which the operator asks another machine; ms.
pub const SILENCE_MS: u64 = 1_000;
/// Orders that operators may have under way at once.
const ORDERS_AT_ONCE: usize = 8;
/// How long faults go on; ms.
const STORM_MS: u64 = 15_000;
/// Within what time all is answered once faults have ended; ms: `AckTimeoutMs`.
const MENDING_MS: u64 = 5_000;
const MAX_BODY_BYTES: usize = 1_000_000;

/// What an operator wants.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Wish {
    Replace { base: u64, version: u64, body: String },
    Get,
}

/// An order that has not ended.
#[derive(Debug, Clone)]
struct Task {
    wish: Wish,
    first_sent_at: u64,
    call: Option<(CallerNumber, u64)>,
    next_at: u64,
    next_machine: Option<u8>,
    redirects: u32,
}

/// An order that was answered clearly.
#[derive(Debug)]
pub struct Done {
    wish: Wish,
    first_sent_at: u64,
    ended_at: u64,
    status: u16,
    body: Vec<u8>,
}

/// A configuration whose bytes differ from those of every other tag.
pub fn body(version: u64, tag: u64) -> String {
    format!(
        r#"{{"ResourceVersion":{version},"Services":[{{"Name":"s"}}],"Routes":[{{"Name":"r","Hostname":"h","PathPrefix":"/","Type":"asynchronous","TimeoutMs":{},"Backend":"s"}}]}}"#,
        tag + 1
    )
}

/// The same, of at least so many bytes.
pub fn long_body(version: u64, tag: u64, bytes: usize) -> String {
    let body = body(version, tag);
    let padding = "x".repeat(bytes);
    format!(r#"{},"Padding":"{padding}"}}"#, body.strip_suffix('}').unwrap())
}

pub fn replace(base: u64, body: &str) -> OperatorCall {
    let endpoint = Endpoint::parse("POST", "/api/Config.Replace").unwrap();
    endpoint.read(Some(base.to_string().as_bytes()), body.as_bytes(), MAX_BODY_BYTES).unwrap()
}

impl Wish {
    fn call(&self) -> OperatorCall {
        match self {
            Self::Get => OperatorCall::GetConfiguration,
            Self::Replace { base, body, .. } => replace(*base, body),
        }
    }
}

/// Operators and what they did.
pub struct History {
    pub world: World,
    tasks: Vec<Task>,
    done: Vec<Done>,
    tags: u64,
    restarts: BTreeMap<u8, u64>,
}

impl History {
    /// Plays a seed; panics if anything is wrong. How many orders were answered.
    pub fn play(seed: u64) -> usize {
        let mut history = Self {
            world: World::new(seed),
            tasks: Vec::new(),
            done: Vec::new(),
            tags: 0,
            restarts: BTreeMap::new(),
        };
        history.storm();
        history.mend();
        history.judge();
        history.done.len()
    }

    fn storm(&mut self) {
        self.world.lost_answers = 0.15;
        let mut next_fault = 1_000;
        while self.world.now < STORM_MS {
            let pause = self.world.chance.below(60);
            self.world.run(pause + 1);
            if self.world.now >= next_fault {
                self.disturb();
                next_fault = self.world.now + self.world.chance.below(1_200);
            }
            self.restart_due();
            self.attend();
            if self.tasks.len() < ORDERS_AT_ONCE && self.world.chance.happens(0.5) {
                self.wish();
            }
        }
    }

    fn disturb(&mut self) {
        let machine = self.world.chance.one_of(&MACHINES);
        let leader = self.world.leader().unwrap_or(machine);
        let target = if self.world.chance.happens(0.5) { leader } else { machine };
        let long = 100 + self.world.chance.below(2_500);
        match self.world.chance.below(8) {
            0 | 1 => self.world.isolate(target),
            2 => self.world.freeze(target, long),
            3 => {
                self.world.kill(target);
                self.restarts.insert(target, self.world.now + long);
            }
            4 => {
                let other = self.world.chance.one_of(&self.world.others(target));
                self.world.cuts.insert((target, other));
            }
            5 => self.world.checkpoint(target),
            _ => self.world.cuts.clear(),
        }
    }

    fn restart_due(&mut self) {
        let now = self.world.now;
        let due: Vec<u8> =
            self.restarts.iter().filter(|(_, at)| **at <= now).map(|(machine, _)| *machine).collect();
        for machine in due {
            self.restarts.remove(&machine);
            if !self.world.is_up(machine) {
                self.world.start(machine);
            }
        }
    }

    /// A new order: a read, a change on top of what the operator believes to be current, or a repeat of an earlier one.
    fn wish(&mut self) {
        let newest = self.newest_acknowledged();
        let wish = match self.world.chance.below(10) {
            0..4 => Wish::Get,
            4..6 if !self.done.is_empty() => {
                let place = self.world.chance.below(self.done.len() as u64);
                self.done[usize::try_from(place).unwrap()].wish.clone()
            }
            _ => {
                self.tags += 1;
                let version = newest + 1 + self.world.chance.below(2);
                Wish::Replace { base: newest, version, body: body(version, self.tags) }
            }
        };
        self.tasks.push(Task {
            wish,
            first_sent_at: self.world.now,
            call: None,
            next_at: self.world.now,
            next_machine: None,
            redirects: 0,
        });
    }

    fn newest_acknowledged(&self) -> u64 {
        let versions = self.done.iter().filter_map(|done| match &done.wish {
            Wish::Replace { version, .. } if done.status == 200 => Some(*version),
            Wish::Get if done.status == 200 => Some(version_of(&done.body)),
            _ => None,
        });
        versions.max().unwrap_or(0)
    }

    /// Calls what is due, and takes up what was answered.
    fn attend(&mut self) {
        for mut task in std::mem::take(&mut self.tasks) {
            if !self.attend_to(&mut task) {
                self.tasks.push(task);
            }
        }
    }

    /// Whether the order has ended.
    fn attend_to(&mut self, task: &mut Task) -> bool {
        let now = self.world.now;
        let Some((caller, called_at)) = task.call else {
            if now >= task.next_at {
                let any = self.world.chance.one_of(&MACHINES);
                let machine = task.next_machine.take().unwrap_or(any);
                task.call = Some((self.world.call(machine, task.wish.call()), now));
            }
            return false;
        };
        match self.world.end_of(caller) {
            Some(CallEnd::Answered(status, body)) if matches!(status, 200 | 400 | 404 | 412) => {
                let (wish, first_sent_at) = (task.wish.clone(), task.first_sent_at);
                self.done.push(Done { wish, first_sent_at, ended_at: now, status, body });
                true
            }
            Some(CallEnd::Redirected(address)) if task.redirects < 2 => {
                task.redirects += 1;
                task.next_machine = Some(machine_at(&address));
                task.call = None;
                false
            }
            None if now < called_at + SILENCE_MS => false,
            _ => {
                task.redirects = 0;
                task.call = None;
                task.next_at = now + self.world.chance.below(100);
                false
            }
        }
    }

    fn mend(&mut self) {
        self.world.cuts.clear();
        self.world.lost_answers = 0.0;
        for machine in MACHINES {
            self.world.freeze(machine, 0);
            if !self.world.is_up(machine) {
                self.world.start(machine);
            }
        }
        let end = self.world.now + MENDING_MS;
        while !self.tasks.is_empty() && self.world.now < end {
            self.world.run(5);
            self.attend();
        }
        assert!(self.tasks.is_empty(), "not answered: {:?}", self.tasks);
        self.tasks.push(Task {
            wish: Wish::Get,
            first_sent_at: self.world.now,
            call: None,
            next_at: 0,
            next_machine: None,
            redirects: 0,
        });
        while !self.tasks.is_empty() {
            self.world.run(5);
            self.attend();
            assert!(self.world.now < end + MENDING_MS, "the configuration is not read back");
        }
    }

    // What must hold.

    fn judge(&self) {
        for done in &self.done {
            match &done.wish {
                Wish::Get => self.judge_read(done),
                Wish::Replace { base, version, body } => self.judge_change(done, *base, *version, body),
            }
        }
        self.judge_races();
        let newest = self.world.in_force.last().map_or(0, |(version, _, _)| *version);
        let last = self.done.last().expect("the configuration was read back");
        assert!(newest > 0, "nothing was taken");
        assert_eq!(version_of(&last.body), newest, "read back at the end");
    }

    /// A read sees what was in force anywhere before it was asked for, and nothing that was not in force before its end.
    fn judge_read(&self, done: &Done) {
        let before = |time: u64| self.world.in_force.iter().filter(move |(_, _, since)| *since < time);
        let least = before(done.first_sent_at).map(|(version, _, _)| *version).max().unwrap_or(0);
        if done.status == 404 {
            return assert_eq!(least, 0, "no configuration at {done:?}");
        }
        let version = version_of(&done.body);
        assert!(version >= least, "version {version} is read when {least} was in force: {done:?}");
        let known = before(done.ended_at).find(|(known, _, _)| *known == version);
        assert_eq!(known.map(|(_, body, _)| body), Some(&done.body), "what is read was never in force");
    }

    fn judge_change(&self, done: &Done, base: u64, version: u64, body: &str) {
        let taken =
            self.world.in_force.iter().any(|(known, bytes, _)| *known == version && bytes == body.as_bytes());
        match done.status {
            200 => assert!(taken, "acknowledged and not in force: {done:?}"),
            412 => {
                assert!(!taken, "refused and in force: {done:?}");
                assert!(!self.was_current(base, done), "refused on top of the current version: {done:?}");
            }
            status => panic!("a valid change is answered {status}: {done:?}"),
        }
    }

    /// Whether a version was in force all the time that an order took.
    fn was_current(&self, version: u64, done: &Done) -> bool {
        let place = self.world.in_force.iter().position(|(known, _, _)| *known == version);
        let since = match place {
            Some(place) => self.world.in_force[place].2,
            None if version == 0 => 0,
            None => return false,
        };
        let next = self.world.in_force.get(place.map_or(0, |place| place + 1));
        since < done.first_sent_at && next.is_none_or(|(_, _, until)| *until > done.ended_at)
    }

    /// Of changes on top of the same version one is acknowledged.
    fn judge_races(&self) {
        let mut winners: BTreeMap<u64, &str> = BTreeMap::new();
        for done in self.done.iter().filter(|done| done.status == 200) {
            if let Wish::Replace { base, body, .. } = &done.wish {
                let winner = winners.entry(*base).or_insert(body);
                assert_eq!(winner, body, "two changes on top of {base} are acknowledged");
            }
        }
    }
}

/// The version of a configuration that [`body`] made.
pub fn version_of(body: &[u8]) -> u64 {
    let text = String::from_utf8_lossy(body);
    let digits = text.trim_start_matches(r#"{"ResourceVersion":"#).split(',').next().unwrap_or_default();
    digits.parse().unwrap_or(0)
}

/// The machine at a `ControlPlane` address.
pub fn machine_at(address: &str) -> u8 {
    let host = address.rsplit_once(':').map(|(host, _)| host).unwrap_or_default();
    host.rsplit('.').next().and_then(|number| number.parse().ok()).expect("an address of the test")
}

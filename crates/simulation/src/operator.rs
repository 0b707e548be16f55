//! The operator: it changes the configuration, races and repeats, and loses answers.

use std::collections::BTreeMap;

use rand::Rng as _;
use ruddervalve_coordinator::operator::Endpoint;
use ruddervalve_coordinator::{CallerNumber, OperatorReply};

use crate::event::Event;
use crate::network::{Life, Machine};
use crate::places::{ACK_TIMEOUT_MS, Backends, CONFIG_PROPAGATION_MS, EXTRA_ROUTES, Kind, configuration};
use crate::process::Input;
use crate::scenario::Orders;
use crate::world::World;

/// Silence after which another coordinator is asked.
const SILENCE_MS: u64 = 1_000;
/// From the operator to a coordinator, one way.
const WAY_MS: u64 = 3;
const MAX_BODY: usize = 1_000_000;
/// The body of an order to retire a machine.
const RETIRE_BODY: &[u8] = br#"{"DeadlineS":10}"#;

/// What a call came to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallAnswer {
    Status(u16, Vec<u8>),
    Redirect(String),
    Closed,
}

/// What an order asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Wish {
    Replace { base: u64, version: u64, extra: u32, body: Vec<u8>, is_valid: bool },
    Get,
    StartRetire { node: String },
    GetRetire { node: String },
}

impl Wish {
    /// Whether it is about the configuration.
    fn is_configuration(&self) -> bool {
        matches!(self, Self::Replace { .. } | Self::Get)
    }
}

/// An order of the operator.
#[derive(Debug, Clone)]
pub struct Order {
    pub wish: Wish,
    /// The call that is under way.
    pub call: CallerNumber,
    /// Where to ask next, if somebody said so.
    pub next: Option<Machine>,
    pub redirects: u32,
    pub tries: u32,
    pub is_repeat: bool,
    pub first_sent_at: u64,
}

/// A change that was acknowledged.
#[derive(Debug, Clone)]
pub struct Acknowledged {
    pub version: u64,
    pub base: u64,
    pub extra: u32,
    pub body: Vec<u8>,
    /// When it was acknowledged.
    pub at: u64,
}

/// A valid change that was sent.
#[derive(Debug, Clone)]
pub struct SentChange {
    pub version: u64,
    pub extra: u32,
    pub body: Vec<u8>,
    pub is_refused: bool,
}

/// The operator.
#[derive(Debug, Default)]
pub struct Operator {
    pub orders: BTreeMap<u64, Order>,
    pub last: u64,
    last_call: u64,
    calls: BTreeMap<CallerNumber, (u64, Life)>,
    pub acknowledged: Vec<Acknowledged>,
    /// All valid changes that were sent.
    pub sent: Vec<SentChange>,
    /// What coordinators have applied, by version.
    pub committed: BTreeMap<u64, Vec<u8>>,
    /// When the operator wishes the configuration back at the end, and what it got.
    pub read_back: Option<Vec<u8>>,
    /// The machine whose retirement is under way.
    pub retiring: Option<Machine>,
    /// Changes that are left of a storm.
    pub storm_left: u32,
}

impl Operator {
    pub fn newest(&self) -> Option<&Acknowledged> {
        self.acknowledged.iter().max_by_key(|change| change.version)
    }

    /// All configurations that may be in force at any time from so long before `sent_at`, by their extra routes.
    pub fn possible(&self, sent_at: u64) -> Option<Vec<u32>> {
        let settled = sent_at.checked_sub(CONFIG_PROPAGATION_MS)?;
        let newest = self
            .acknowledged
            .iter()
            .filter(|change| change.at <= settled)
            .max_by_key(|change| change.version)?;
        let later = self.sent.iter().filter(|sent| sent.version > newest.version).map(|sent| sent.extra);
        Some(later.chain([newest.extra]).collect())
    }

    /// Whether a route is in no configuration that may still be in force.
    pub fn is_surely_without(&self, number: u32, sent_at: u64) -> bool {
        self.possible(sent_at).is_some_and(|all| all.iter().all(|extra| extra & (1 << number) == 0))
    }

    /// Whether a route is in every configuration that may be in force.
    pub fn is_surely_with(&self, number: u32, sent_at: u64) -> bool {
        self.possible(sent_at).is_some_and(|all| all.iter().all(|extra| extra & (1 << number) != 0))
    }
}

impl World {
    pub fn begin_operator(&mut self) {
        self.operator.last = 0;
        let order = replace(0, 1, 0, Backends::OWN, true);
        self.order(order, 2_000);
        if self.scenario.traffic.change_every_ms > 0 {
            let first = crate::clients::TRAFFIC_BEGINS_MS + self.scenario.traffic.change_every_ms;
            self.at(first, Event::NextChange);
        }
    }

    pub fn order(&mut self, wish: Wish, wait: u64) {
        self.operator.last += 1;
        let number = self.operator.last;
        let at = self.now + wait;
        if let Wish::Replace { version, extra, body, is_valid: true, .. } = &wish {
            let sent = SentChange { version: *version, extra: *extra, body: body.clone(), is_refused: false };
            self.operator.sent.push(sent);
        }
        let order = Order {
            wish,
            call: CallerNumber(0),
            next: None,
            redirects: 0,
            tries: 0,
            is_repeat: false,
            first_sent_at: at,
        };
        self.operator.orders.insert(number, order);
        self.at(at, Event::OrderCalls(number));
    }

    pub fn next_change(&mut self) {
        if self.now >= self.traffic_ends() {
            return;
        }
        let mean = self.scenario.traffic.change_every_ms;
        let wait = self.fault_random.random_range(mean / 2..=mean + mean / 2).max(1);
        self.after(wait, Event::NextChange);
        if self.operator.storm_left == 0 {
            self.change();
        }
    }

    /// Orders a change, if that can be now; whether it was ordered.
    pub fn change(&mut self) -> bool {
        // One order at a time, but for races: the next builds on what is known to be in force.
        let is_under_way = |order: &Order| !order.is_repeat && order.wish.is_configuration();
        if self.operator.orders.values().any(is_under_way) {
            return false;
        }
        let Some(newest) = self.operator.newest().cloned() else { return false };
        // What got no clear answer may be in force: its version is passed over.
        let highest = self.operator.sent.iter().map(|sent| sent.version).max().unwrap_or(0);
        let is_unclear =
            self.operator.committed.keys().max().is_some_and(|version| *version > newest.version);
        if is_unclear {
            self.order(Wish::Get, 0);
            return false;
        }
        let Orders { race_part, invalid_part, .. } = self.scenario.orders;
        let version = highest + self.fault_random.random_range(1..4);
        let extra = self.fault_random.random_range(0..1 << EXTRA_ROUTES);
        let is_valid = !self.fault_random.random_bool(invalid_part);
        let backends = self.drawn_backends();
        self.order(replace(newest.version, version, extra, backends, is_valid), 0);
        if self.fault_random.random_bool(race_part) {
            let version = version + self.fault_random.random_range(0..2);
            let extra = self.fault_random.random_range(0..1 << EXTRA_ROUTES);
            let wait = self.fault_random.random_range(0..10);
            let backends = self.drawn_backends();
            self.order(replace(newest.version, version, extra, backends, true), wait);
        }
        true
    }

    /// The services of the next configuration's routes.
    fn drawn_backends(&mut self) -> Backends {
        if !self.scenario.orders.moves_routes {
            return Backends::OWN;
        }
        let mut drawn = || Kind::ALL[self.fault_random.random_range(0..Kind::ALL.len())];
        let backends = Backends { plain: drawn(), ordered: drawn() };
        self.checks.may_run_at(Kind::Plain, backends.plain.service());
        self.checks.may_run_at(Kind::Ordered, backends.ordered.service());
        backends
    }

    pub fn order_calls(&mut self, number: u64) {
        let coordinators = self.listed_coordinators();
        let place = self.fault_random.random_range(0..coordinators.len().max(1));
        self.operator.last_call += 1;
        let call = CallerNumber(self.operator.last_call);
        let Some(order) = self.operator.orders.get_mut(&number) else { return };
        let machine = order.next.take().or(coordinators.get(place).copied());
        order.call = call;
        order.tries += 1;
        self.line(|| format!("order {number} goes to {machine:?} as {call:?}"));
        self.after(SILENCE_MS, Event::OrderSilent { order: number, call });
        let Some(machine) = machine else { return };
        match self.running(machine) {
            Some(process) => self.after(WAY_MS, Event::OrderArrives { order: number, call, process }),
            None if self.hosts.get(machine).is_some_and(|host| host.has_power) => {
                self.after(
                    2 * WAY_MS,
                    Event::OrderAnswered { order: number, call, answer: CallAnswer::Closed },
                );
            }
            None => {}
        }
    }

    pub fn order_arrives(&mut self, number: u64, call: CallerNumber, process: Life) {
        let Some(order) = self.operator.orders.get(&number).filter(|order| order.call == call) else {
            return;
        };
        let read = match &order.wish {
            Wish::Get => {
                Endpoint::parse("GET", "/api/Config.Get").and_then(|end| end.read(None, &[], MAX_BODY))
            }
            Wish::Replace { base, body, .. } => Endpoint::parse("POST", "/api/Config.Replace")
                .and_then(|end| end.read(Some(base.to_string().as_bytes()), body, MAX_BODY)),
            Wish::StartRetire { node } => Endpoint::parse("POST", &format!("/api/Retire.Start/{node}"))
                .and_then(|end| end.read(None, RETIRE_BODY, MAX_BODY)),
            Wish::GetRetire { node } => Endpoint::parse("GET", &format!("/api/Retire.Get/{node}"))
                .and_then(|end| end.read(None, &[], MAX_BODY)),
        };
        match read {
            Ok(operator_call) => {
                let machine = process.machine;
                self.order_is_proposed(machine);
                self.operator.calls.insert(call, (number, process));
                self.hand(process, Input::Operator(call, Box::new(operator_call)));
            }
            Err(answer) => {
                let answer = CallAnswer::Status(answer.status.code(), answer.body);
                self.after(WAY_MS, Event::OrderAnswered { order: number, call, answer });
            }
        }
    }

    pub fn operator_replies(&mut self, call: CallerNumber, reply: Option<OperatorReply>) {
        let Some((order, process)) = self.operator.calls.remove(&call) else { return };
        let answer = match reply {
            Some(OperatorReply::Answer(answer)) => CallAnswer::Status(answer.status.code(), answer.body),
            Some(OperatorReply::Redirect(address)) => CallAnswer::Redirect(address),
            None => CallAnswer::Status(503, Vec::new()),
        };
        #[cfg(feature = "mutants")]
        let answer = crate::mutants::operator_hears(answer);
        // At the end of the day the operator reads back what was acknowledged: that answer comes through.
        let is_drawn = self.fault_random.random_bool(self.scenario.orders.answer_lost_part);
        let is_lost = is_drawn && self.now < self.traffic_ends();
        self.line(|| {
            format!("{call:?} of order {order} is answered {}, lost {is_lost}", shown_answer(&answer))
        });
        if matches!(answer, CallAnswer::Status(200, _)) {
            self.has_acknowledged();
            self.order_is_answered(process.machine);
        }
        if !is_lost {
            return self.after(WAY_MS, Event::OrderAnswered { order, call, answer });
        }
        // The time for an acknowledgement begins anew: it was not the system that kept it.
        let now = self.now;
        if let Some(order) = self.operator.orders.get_mut(&order) {
            order.first_sent_at = now;
        }
    }

    pub fn operator_loses(&mut self, process: Life) {
        let lost: Vec<(CallerNumber, u64)> = self
            .operator
            .calls
            .iter()
            .filter(|(_, (_, of))| *of == process)
            .map(|(call, (order, _))| (*call, *order))
            .collect();
        for (call, order) in lost {
            self.operator.calls.remove(&call);
            self.after(WAY_MS, Event::OrderAnswered { order, call, answer: CallAnswer::Closed });
        }
    }

    pub fn order_silent(&mut self, number: u64, call: CallerNumber) {
        if self.operator.orders.get(&number).is_some_and(|order| order.call == call) {
            self.call_again(number);
        }
    }

    pub fn call_again(&mut self, number: u64) {
        let Some(order) = self.operator.orders.get_mut(&number) else { return };
        order.call = CallerNumber(0);
        order.redirects = 0;
        let wait = 20 * u64::from(order.tries.min(20));
        let is_late = self.now > order.first_sent_at + ACK_TIMEOUT_MS;
        if is_late && !order.wish.is_configuration() {
            // Such an order is sent again for a limited time only; the state is asked for anew.
            self.operator.orders.remove(&number);
            return self.ask_retirement();
        }
        self.after(wait.max(10), Event::OrderCalls(number));
        if is_late {
            self.check_acknowledged(number);
        }
    }

    /// A proper order has to be acknowledged within `AckTimeoutMs` of calm: a gate, not a rule.
    pub fn check_acknowledged(&mut self, number: u64) {
        let now = self.now;
        let Some(order) = self.operator.orders.get(&number) else { return };
        let from = order.first_sent_at.max(now.saturating_sub(ACK_TIMEOUT_MS));
        let is_first = matches!(order.wish, Wish::Replace { base: 0, .. });
        let calm = self.checks.were_in_touch(from, now);
        if calm && !is_first && now >= order.first_sent_at + ACK_TIMEOUT_MS {
            let text = format!("an order of {from} has no clear answer after {ACK_TIMEOUT_MS} ms of calm");
            self.checks.fail(now, "ACK", text);
        }
    }
}

fn replace(base: u64, version: u64, extra: u32, backends: Backends, is_valid: bool) -> Wish {
    let timeout = 600 + (version % 7) * 100;
    let body = configuration(version, timeout, extra, backends, is_valid).into_bytes();
    Wish::Replace { base, version, extra, body, is_valid }
}

pub fn shown(wish: &Wish) -> String {
    match wish {
        Wish::Get => "get".to_owned(),
        Wish::StartRetire { node } => format!("retire {node}"),
        Wish::GetRetire { node } => format!("state of the retirement of {node}"),
        Wish::Replace { base, version, extra, is_valid, .. } => {
            format!("{version} on {base} with {extra:b} valid {is_valid}")
        }
    }
}

fn shown_answer(answer: &CallAnswer) -> String {
    match answer {
        CallAnswer::Status(status, _) => status.to_string(),
        CallAnswer::Redirect(address) => format!("307 to {address}"),
        CallAnswer::Closed => "closed".to_owned(),
    }
}

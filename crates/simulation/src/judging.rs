//! How the operator's orders end, and what that says about the configuration.

use rand::Rng as _;
use ruddervalve_coordinator::CallerNumber;

use crate::event::Event;
use crate::network::Machine;
use crate::operator::{Acknowledged, CallAnswer, Order, SentChange, Wish, shown};
use crate::places::Role;
use crate::world::World;

impl World {
    pub fn order_answered(&mut self, number: u64, call: CallerNumber, answer: CallAnswer) {
        let Some(order) = self.operator.orders.get_mut(&number).filter(|order| order.call == call) else {
            return;
        };
        match answer {
            CallAnswer::Redirect(address) if order.redirects < 2 => {
                order.redirects += 1;
                let ip = address.rsplit_once(':').map(|(ip, _)| ip.to_owned());
                let by_ip = |machine: &Machine| {
                    self.hosts.get(*machine).is_some_and(|host| Some(host.place.ip.to_string()) == ip)
                };
                let next = self.machines(Role::Coordinator).into_iter().find(by_ip);
                if let Some(order) = self.operator.orders.get_mut(&number) {
                    order.next = next;
                }
                self.after(0, Event::OrderCalls(number));
            }
            CallAnswer::Status(status, body) if matches!(status, 200 | 400 | 404 | 409 | 412) => {
                self.order_ends(number, status, body);
            }
            _ => self.call_again(number),
        }
    }

    pub fn order_ends(&mut self, number: u64, status: u16, body: Vec<u8>) {
        let now = self.now;
        let Some(order) = self.operator.orders.remove(&number) else { return };
        self.line(|| format!("order {number} {} is answered {status}", shown(&order.wish)));
        match order.wish.clone() {
            Wish::Get => self.read_back(status, body),
            Wish::StartRetire { node } | Wish::GetRetire { node } => {
                self.retirement_answered(&node, status, &body);
            }
            Wish::Replace { base, version, extra, body, is_valid } => {
                if status == 200 && !is_valid {
                    return self.checks.fail(
                        now,
                        "CONFIG",
                        format!("invalid version {version} is acknowledged"),
                    );
                }
                if status == 200 {
                    self.acknowledged(&order, base, version, extra, body);
                } else {
                    self.order_refused(status, version, &body, is_valid);
                }
            }
        }
    }

    pub fn acknowledged(&mut self, order: &Order, base: u64, version: u64, extra: u32, body: Vec<u8>) {
        let now = self.now;
        let rival = self.operator.acknowledged.iter().find(|known| known.base == base && known.body != body);
        if let Some(rival) = rival {
            let text =
                format!("versions {} and {version} on top of {base} are both acknowledged", rival.version);
            return self.checks.fail(now, "CONFIG", text);
        }
        let is_in_force = self.operator.committed.get(&version) == Some(&body);
        if !is_in_force {
            return self.checks.fail(
                now,
                "CONFIG",
                format!("version {version} is acknowledged and not in force"),
            );
        }
        if order.is_repeat || self.operator.acknowledged.iter().any(|known| known.body == body) {
            return;
        }
        self.operator.acknowledged.push(Acknowledged { version, base, extra, body, at: now });
        if self.fault_random.random_bool(self.scenario.orders.repeat_part) {
            let mut repeat = order.clone();
            repeat.is_repeat = true;
            repeat.tries = 0;
            repeat.redirects = 0;
            repeat.first_sent_at = now;
            self.operator.last += 1;
            let number = self.operator.last;
            self.operator.orders.insert(number, repeat);
            self.after(5, Event::OrderCalls(number));
        }
    }

    pub fn order_refused(&mut self, status: u16, version: u64, body: &[u8], is_valid: bool) {
        let now = self.now;
        let newest = self.operator.committed.keys().max().copied();
        let is_current = newest == Some(version)
            && self.operator.committed.get(&version).is_some_and(|known| known == body);
        if is_current {
            let text = format!("version {version} is in force and is answered {status}");
            return self.checks.fail(now, "CONFIG", text);
        }
        let is_in_force = self.operator.committed.get(&version).is_some_and(|known| known == body);
        let was_acknowledged = self.operator.acknowledged.iter().any(|known| known.body == body);
        if is_in_force && !was_acknowledged {
            let text = format!("version {version} was taken and is answered {status}");
            return self.checks.fail(now, "CONFIG", text);
        }
        if is_valid && !is_in_force {
            let refused =
                self.operator.sent.iter_mut().filter(|sent| sent.version == version && sent.body == body);
            refused.for_each(|sent| sent.is_refused = true);
        }
    }

    /// The operator reads the configuration back.
    pub fn read_back(&mut self, status: u16, body: Vec<u8>) {
        let now = self.now;
        if status != 200 {
            return;
        }
        let newest = self.operator.newest().cloned();
        let version =
            self.operator.committed.iter().find(|(_, known)| **known == body).map(|(version, _)| *version);
        let is_old =
            newest.as_ref().is_some_and(|newest| version.is_none_or(|version| version < newest.version));
        if is_old {
            let text = format!(
                "version {version:?} is read back, {:?} was acknowledged",
                newest.map(|newest| newest.version)
            );
            return self.checks.fail(now, "CONFIG", text);
        }
        let known = self.operator.sent.iter().find(|sent| sent.body == body).cloned();
        if let Some(SentChange { version, extra, body, is_refused }) = known {
            if is_refused {
                let text = format!("version {version} was refused and is in force");
                return self.checks.fail(now, "CONFIG", text);
            }
            // What had no clear answer is known to be in force now: the next change builds on it.
            if newest.is_none_or(|newest| newest.version < version) {
                self.operator.acknowledged.push(Acknowledged {
                    version,
                    base: u64::MAX - version,
                    extra,
                    body: body.clone(),
                    at: now,
                });
            }
        }
        self.operator.read_back = Some(body);
    }

    /// Asks for the configuration in force.
    pub fn order_read_back(&mut self) {
        self.order(Wish::Get, 0);
    }
}

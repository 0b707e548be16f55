//! Call-backs that a shard has given to this edge.

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;

use ruddervalve_protocol::{EdgeToStore, EndPhase, GroupId, InventoryItem, MessageId};

use super::EdgeCore;
use super::output::{CallbackOrder, EdgeOutput};
use super::statuses::json_text;
use crate::runner::CallbackResult;

const SCHEME: &str = "http://";

/// Address and path of a URL that can be called: `http://`, an IP number, a port and a path.
pub fn parse_url(url: &str) -> Option<(SocketAddr, &str)> {
    let rest = url.strip_prefix(SCHEME)?;
    let end = rest.find('/').unwrap_or(rest.len());
    let (authority, path) = rest.split_at(end);
    let address = authority.parse().ok()?;
    let visible = path.bytes().all(|byte| byte.is_ascii_graphic());
    visible.then_some((address, if path.is_empty() { "/" } else { path }))
}

/// Call-backs in a row that no whole answer came to, from which on those that wait for the same receiver are given back: a
/// few are lost at any receiver.
const FAILURES_TO_GIVE_BACK: u32 = 3;

/// All call-backs that wait or are under way, or are taken and not recorded.
#[derive(Debug, Default)]
pub struct Callbacks {
    under_way: HashSet<(GroupId, MessageId)>,
    taken: HashMap<GroupId, HashSet<MessageId>>,
    receivers: HashMap<SocketAddr, Receiver>,
}

/// A receiver that call-backs wait for or are under way to.
#[derive(Debug, Default)]
struct Receiver {
    calling: usize,
    failures_in_a_row: u32,
    waiting: VecDeque<(GroupId, Box<CallbackOrder>)>,
}

impl Callbacks {
    pub fn is_empty(&self) -> bool {
        self.under_way.is_empty() && self.taken.values().all(HashSet::is_empty)
    }

    /// Takes a call-back in; it waits for its turn.
    fn enqueue(&mut self, address: SocketAddr, group: GroupId, order: CallbackOrder) {
        self.receivers.entry(address).or_default().waiting.push_back((group, Box::new(order)));
    }

    /// Those of a receiver whose turn it is, while fewer than `most` are under way.
    fn start(&mut self, address: SocketAddr, most: usize) -> Vec<(GroupId, Box<CallbackOrder>)> {
        let Some(receiver) = self.receivers.get_mut(&address) else { return Vec::new() };
        let room = most.saturating_sub(receiver.calling).min(receiver.waiting.len());
        receiver.calling += room;
        receiver.waiting.drain(..room).collect()
    }

    /// A call-back has ended; those that are given back, as the receiver does not answer.
    fn finish(&mut self, address: SocketAddr, answered: bool) -> Vec<(GroupId, Box<CallbackOrder>)> {
        let Some(receiver) = self.receivers.get_mut(&address) else { return Vec::new() };
        receiver.calling = receiver.calling.saturating_sub(1);
        receiver.failures_in_a_row = if answered { 0 } else { receiver.failures_in_a_row.saturating_add(1) };
        let given_back = match receiver.failures_in_a_row >= FAILURES_TO_GIVE_BACK {
            true => receiver.waiting.drain(..).collect(),
            false => Vec::new(),
        };
        if receiver.calling == 0 && receiver.waiting.is_empty() {
            self.receivers.remove(&address);
        }
        given_back
    }

    /// Takes out all that wait.
    fn take_waiting(&mut self) -> Vec<(GroupId, Box<CallbackOrder>)> {
        let waiting: Vec<_> =
            self.receivers.values_mut().flat_map(|receiver| receiver.waiting.drain(..)).collect();
        self.receivers.retain(|_, receiver| receiver.calling > 0);
        waiting
    }

    /// A store has recorded that one was taken.
    pub fn recorded(&mut self, group: GroupId, id: &MessageId) {
        if let Some(taken) = self.taken.get_mut(&group) {
            taken.remove(id);
        }
    }

    /// All of a shard.
    pub fn inventory(&self, group: GroupId) -> Vec<InventoryItem> {
        let under_way = self.under_way.iter().filter(|(of, _)| *of == group).map(|(_, id)| id);
        let taken = self.taken.get(&group).into_iter().flatten();
        under_way.chain(taken).map(|id| InventoryItem { id: id.clone(), lease: None }).collect()
    }

    /// Those of a shard to be told again.
    pub fn unrecorded(&self, group: GroupId) -> impl Iterator<Item = EdgeToStore> + '_ {
        let taken = self.taken.get(&group).into_iter().flatten();
        taken.map(move |id| EdgeToStore::CallbackTaken { group, id: id.clone() })
    }
}

impl EdgeCore {
    pub(super) fn call_back(
        &mut self,
        group: GroupId,
        id: MessageId,
        url: &str,
        phase: EndPhase,
        signature: &str,
    ) {
        let Some((address, path)) = parse_url(url) else {
            return self.send_to_leader(group, EdgeToStore::CallbackFailed { group, id });
        };
        if !self.callbacks.under_way.insert((group, id.clone())) {
            return;
        }
        let order = CallbackOrder {
            body: body(&id, phase, signature),
            id,
            address,
            path: path.to_owned(),
            timeout_ms: self.settings.callback_timeout_ms,
        };
        self.callbacks.enqueue(address, group, order);
        self.start_callbacks(address);
    }

    /// Makes the call-backs of a receiver whose turn it is: as many at a time as connections are kept to it.
    fn start_callbacks(&mut self, address: SocketAddr) {
        for (group, order) in self.callbacks.start(address, self.settings.callbacks_at_once) {
            self.outputs.push(EdgeOutput::CallBack(group, order));
        }
    }

    /// The process is to end: what has not begun is given back.
    pub(super) fn give_back_callbacks(&mut self) {
        let waiting = self.callbacks.take_waiting();
        self.give_back(waiting);
    }

    fn give_back(&mut self, orders: Vec<(GroupId, Box<CallbackOrder>)>) {
        for (group, order) in orders {
            self.callback_failed(group, order.id);
        }
    }

    fn callback_failed(&mut self, group: GroupId, id: MessageId) {
        self.callbacks.under_way.remove(&(group, id.clone()));
        self.send_to_leader(group, EdgeToStore::CallbackFailed { group, id });
    }

    pub(super) fn callback_ended(&mut self, group: GroupId, order: &CallbackOrder, result: CallbackResult) {
        let given_back = self.callbacks.finish(order.address, result != CallbackResult::Failed);
        let id = order.id.clone();
        match result {
            CallbackResult::Taken => {
                self.callbacks.under_way.remove(&(group, id.clone()));
                self.callbacks.taken.entry(group).or_default().insert(id.clone());
                self.send_to_leader(group, EdgeToStore::CallbackTaken { group, id });
            }
            CallbackResult::Refused(_) | CallbackResult::Failed => self.callback_failed(group, id),
        }
        self.give_back(given_back);
        self.start_callbacks(order.address);
    }
}

fn body(id: &MessageId, phase: EndPhase, signature: &str) -> String {
    let phase = match phase {
        EndPhase::Succeeded => "succeeded",
        EndPhase::DeadLetter => "dead_letter",
    };
    format!(r#"{{"Uid":{},"Phase":"{phase}","Signature":{}}}"#, json_text(&id.0), json_text(signature))
}

//! Call-backs that a shard has given to this edge.

use std::collections::{HashMap, HashSet};
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

/// All call-backs that are under way, or taken and not recorded.
#[derive(Debug, Default)]
pub struct Callbacks {
    under_way: HashSet<(GroupId, MessageId)>,
    taken: HashMap<GroupId, HashSet<MessageId>>,
}

impl Callbacks {
    pub fn is_empty(&self) -> bool {
        self.under_way.is_empty() && self.taken.values().all(HashSet::is_empty)
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
            authority: address.to_string(),
            path: path.to_owned(),
            timeout_ms: self.settings.callback_timeout_ms,
        };
        self.outputs.push(EdgeOutput::CallBack(group, Box::new(order)));
    }

    pub(super) fn callback_ended(&mut self, group: GroupId, order: &CallbackOrder, result: CallbackResult) {
        let id = order.id.clone();
        self.callbacks.under_way.remove(&(group, id.clone()));
        match result {
            CallbackResult::Taken => {
                self.callbacks.taken.entry(group).or_default().insert(id.clone());
                self.send_to_leader(group, EdgeToStore::CallbackTaken { group, id });
            }
            CallbackResult::Refused(_) | CallbackResult::Failed => {
                self.send_to_leader(group, EdgeToStore::CallbackFailed { group, id });
            }
        }
    }
}

fn body(id: &MessageId, phase: EndPhase, signature: &str) -> String {
    let phase = match phase {
        EndPhase::Succeeded => "succeeded",
        EndPhase::DeadLetter => "dead_letter",
    };
    format!(r#"{{"Uid":{},"Phase":"{phase}","Signature":{}}}"#, json_text(&id.0), json_text(signature))
}

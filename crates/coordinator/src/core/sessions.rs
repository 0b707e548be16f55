//! Sessions of other processes, and the platform's answers.

use ruddervalve_protocol::{CoordinatorReply, CoordinatorRequest, Registration};

use super::CoordinatorCore;
use crate::listing::{ListAnswer, ListProgress};

impl CoordinatorCore {
    /// A process has connected; the number names its connection from now on.
    pub fn session_opened(&mut self, now: u64) -> u64 {
        self.sessions.open(now)
    }

    /// A process says something.
    pub fn session_says(&mut self, now: u64, number: u64, request: CoordinatorRequest) {
        self.sessions.heard(number, now);
        self.request(number, request);
    }

    /// A process's connection ended.
    pub fn session_ended(&mut self, now: u64, number: u64) {
        if let Some(Registration::Store(store)) = self.sessions.close(number) {
            self.duties.store_lost(&store.node, now);
        }
    }

    /// The platform has answered.
    pub fn list_answered(&mut self, now: u64, number: u64, answer: ListAnswer) {
        if self.duties.list_answered(number, answer, now) == ListProgress::Changed {
            tracing::debug!("the list of runners has changed");
        }
    }

    /// Answers heartbeats, when all that is committed was applied.
    pub(super) fn answer_heartbeats(&mut self, now: u64) {
        let heartbeats = std::mem::take(&mut self.heartbeats);
        if heartbeats.is_empty() {
            return;
        }
        let reply = match self.leads(now) {
            true => CoordinatorReply::Alive {
                term: self.term(),
                configuration: self.state.configuration_version(),
                edges: self.sessions.edges(),
            },
            false => CoordinatorReply::NotLeader { candidates: self.leader_candidates(now) },
        };
        for number in heartbeats {
            self.sessions.send(number, reply.clone());
        }
    }

    fn request(&mut self, number: u64, request: CoordinatorRequest) {
        match request {
            CoordinatorRequest::Register(registration, received) => {
                if let Registration::Coordinator(member) = &registration {
                    self.hear_of(member);
                }
                self.sessions.register(number, registration, received);
            }
            CoordinatorRequest::Received(received) => self.sessions.received(number, received),
            CoordinatorRequest::Heartbeat => self.heartbeats.push(number),
            CoordinatorRequest::ShardMembers(members) => self.duties.shard_members(members),
        }
    }
}

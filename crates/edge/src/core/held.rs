//! Requests that came before this edge knows enough to take them: right after its start, when no other edge may be in.

use std::collections::VecDeque;

use super::EdgeCore;
use super::ingress::come_back;
use super::output::ClientNumber;
use crate::front::FrontRequest;

#[derive(Debug)]
struct HeldRequest {
    client: ClientNumber,
    request: FrontRequest,
    give_up_at: u64,
}

/// Requests in the order in which they came.
#[derive(Debug, Default)]
pub struct HeldRequests {
    requests: VecDeque<HeldRequest>,
    bytes: usize,
}

impl HeldRequests {
    /// Bytes of bodies that are held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    pub fn next_wake(&self) -> Option<u64> {
        self.requests.front().map(|held| held.give_up_at)
    }

    pub fn client_left(&mut self, client: ClientNumber) {
        self.requests.retain(|held| held.client != client);
        self.bytes = self.requests.iter().map(|held| held.request.body.len()).sum();
    }

    fn push(&mut self, held: HeldRequest) {
        self.bytes += held.request.body.len();
        self.requests.push_back(held);
    }

    fn take_all(&mut self) -> VecDeque<HeldRequest> {
        self.bytes = 0;
        std::mem::take(&mut self.requests)
    }
}

impl EdgeCore {
    /// Whether requests can be told apart and somebody is there to keep them.
    pub(super) fn can_take(&self) -> bool {
        self.routes.is_some() && !self.shards.groups().is_empty()
    }

    /// Holds a request until this edge can take it.
    pub(super) fn hold(&mut self, client: ClientNumber, request: FrontRequest) {
        let give_up_at = self.now.saturating_add(self.settings.start_hold_ms);
        self.held.push(HeldRequest { client, request, give_up_at });
    }

    /// Takes what was held, if that is possible now.
    pub(super) fn take_held(&mut self) {
        if !self.can_take() {
            return;
        }
        for held in self.held.take_all() {
            if let Some(response) = self.ingress(held.client, held.request) {
                self.respond(held.client, response);
            }
        }
    }

    /// Gives up all that is held.
    pub(super) fn give_up_held(&mut self) {
        for held in self.held.take_all() {
            self.respond(held.client, come_back("this process ends: come back later", 0));
        }
    }

    /// Gives up what was held for too long.
    pub(super) fn expire_held(&mut self) {
        while let Some(held) = self.held.requests.front()
            && held.give_up_at <= self.now
        {
            let client = held.client;
            self.held.client_left(client);
            self.respond(client, come_back("this process has just started: come back later", 0));
        }
    }
}

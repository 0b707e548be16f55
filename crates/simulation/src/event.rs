//! What happens in the world.

use ruddervalve_coordinator::CallerNumber;
use ruddervalve_coordinator::listing::ListAnswer;
use ruddervalve_edge::core::{CallbackOrder, ClientNumber, JobNumber};
use ruddervalve_edge::front::FrontResponse;
use ruddervalve_edge::runner::{CallbackResult, Delivery, DeliveryResult};
use ruddervalve_protocol::GroupId;

use crate::faults::Fault;
use crate::network::{Life, Machine, Side};
use crate::operator::CallAnswer;
use crate::process::{ConnectionId, Input, Link};
use crate::runners::{Caller, Run};
use crate::world::World;

/// An event.
#[derive(Debug)]
pub enum Event {
    Start {
        machine: Machine,
    },
    Wake(Life),
    Heartbeat(Life),
    // The network.
    Dial(Life, Link),
    Reaches(Life, Link),
    DialFailed(Life, Link),
    Established(ConnectionId),
    Packet(ConnectionId, Side),
    Silence(ConnectionId, Side),
    // Disks.
    Synced(Life),
    #[cfg(feature = "mutants")]
    WrittenEarly(Life, u64),
    WriteCheckpoint(Life),
    // Clients.
    NextMessage(crate::places::Kind),
    Try(Box<crate::clients::Try>),
    RequestArrives(ClientNumber, Life, Box<ruddervalve_edge::front::FrontRequest>),
    Response(ClientNumber, Box<FrontResponse>),
    ClientTimeout(ClientNumber),
    ClientClosed(ClientNumber),
    AskReadiness,
    NextProbe,
    // Runners.
    DeliveryArrives(Caller, Box<Delivery>),
    WorkDone {
        uid: String,
        run: u64,
        is_cut_off: bool,
    },
    Delivered(Life, JobNumber, Box<DeliveryResult>, Option<Box<Run>>),
    CallbackArrives(Life, GroupId, Box<CallbackOrder>),
    CalledBack(Life, GroupId, Box<CallbackOrder>, CallbackResult),
    ListCall(Life, u64),
    ListAnswered(Life, u64, ListAnswer),
    RunnerGone {
        uid: String,
    },
    RunnerUnlisted {
        uid: String,
    },
    RunnerComes {
        service: &'static str,
        address: std::net::SocketAddr,
        zone: u32,
    },
    // The operator.
    NextChange,
    NextStormChange,
    OrderCalls(u64),
    OrderArrives {
        order: u64,
        call: CallerNumber,
        process: Life,
    },
    OrderAnswered {
        order: u64,
        call: CallerNumber,
        answer: CallAnswer,
    },
    OrderSilent {
        order: u64,
        call: CallerNumber,
    },
    // Faults.
    NextFault(crate::faults::FaultKind),
    Fault(Fault),
    LastFault,
    // The end of the day.
    LastQuestions,
    AskMessage(String, u32),
}

impl World {
    /// Takes an event.
    pub fn take(&mut self, event: Event) {
        match event {
            Event::Start { machine } => self.start(machine),
            Event::Wake(process) => self.wake(process),
            Event::Heartbeat(process) => self.heartbeat(process),
            Event::Dial(process, link) => self.dial(process, link),
            Event::Reaches(process, link) => self.dial_reaches(process, link),
            Event::DialFailed(process, link) => self.dial_failed(process, link),
            Event::Established(connection) => self.established(connection),
            Event::Packet(connection, side) => self.packet(connection, side),
            Event::Silence(connection, side) => self.silence(connection, side),
            Event::Synced(process) => self.synced(process),
            #[cfg(feature = "mutants")]
            Event::WrittenEarly(process, ticket) => self.hand(process, Input::Written(ticket)),
            Event::WriteCheckpoint(process) => self.write_checkpoint(process),
            Event::NextMessage(kind) => self.next_message(kind),
            Event::Try(attempt) => self.try_message(*attempt),
            Event::RequestArrives(client, process, request) => self.request_arrives(client, process, request),
            Event::Response(client, response) => self.response(client, &response),
            Event::ClientTimeout(client) => self.client_timeout(client),
            Event::ClientClosed(client) => self.client_closed(client),
            Event::AskReadiness => self.ask_readiness(),
            Event::NextProbe => self.next_probe(),
            Event::DeliveryArrives(caller, delivery) => self.delivery_arrives(caller, &delivery),
            Event::WorkDone { uid, run, is_cut_off } => self.work_done(&uid, run, is_cut_off),
            Event::Delivered(process, job, result, run) => self.delivered(process, job, result, run),
            Event::CallbackArrives(process, group, order) => self.callback_arrives(process, group, order),
            Event::CalledBack(process, group, order, result) => {
                self.hand(process, Input::CalledBack(group, order, result));
            }
            Event::ListCall(process, number) => self.list_call(process, number),
            Event::ListAnswered(process, number, answer) => self.hand(process, Input::List(number, answer)),
            Event::RunnerGone { uid } => self.runner_gone(&uid),
            Event::RunnerUnlisted { uid } => self.runner_unlisted(&uid),
            Event::RunnerComes { service, address, zone } => self.runner_comes(service, address, zone),
            Event::NextChange => self.next_change(),
            Event::NextStormChange => self.next_storm_change(),
            Event::OrderCalls(order) => self.order_calls(order),
            Event::OrderArrives { order, call, process } => self.order_arrives(order, call, process),
            Event::OrderAnswered { order, call, answer } => self.order_answered(order, call, answer),
            Event::OrderSilent { order, call } => self.order_silent(order, call),
            Event::NextFault(kind) => self.next_fault(kind),
            Event::Fault(fault) => self.fault(fault),
            Event::LastFault => self.last_fault(),
            Event::LastQuestions => self.last_questions(),
            Event::AskMessage(id, tries) => self.ask_message(&id, tries),
        }
    }
}

//! Call-backs that are owed: who makes them, and when again.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use ruddervalve_configuration::Distance;
use ruddervalve_protocol::{Incarnation, MessageId};

use crate::Action;
use crate::backoff::{Jitter, name_hash};
use crate::edges::{Edges, rendezvous};
use crate::output::LeaderOutput;
use crate::ready::TimeQueue;
use crate::receivers::Receivers;
use crate::records::Sequence;
use crate::settings::{LeaderSettings, Waits};

/// The edges that call one receiver. Each keeps connections to it, and receivers accept few.
const MOST_CALLERS: usize = 6;

/// Where a call-back stands.
#[derive(Debug)]
enum Phase {
    /// From an earlier term: some edge may be making it.
    Suspect,
    /// Until then.
    Waiting(u64),
    /// May be made.
    Ready,
    /// The edge makes it.
    Outstanding(Incarnation),
    /// `CallbackTaken` is proposed; these edges wait for the record.
    Recording(Vec<Incarnation>),
}

#[derive(Debug)]
struct Call {
    id: MessageId,
    receiver: Arc<str>,
    /// The edge that reported the success: it is asked first.
    reporter: Option<Incarnation>,
    failures: u32,
    phase: Phase,
}

/// All call-backs that are owed.
#[derive(Debug)]
pub(crate) struct Callbacks {
    waits: Waits,
    calls: BTreeMap<Sequence, Call>,
    index: HashMap<MessageId, Sequence>,
    receivers: Receivers,
    held: HashMap<Incarnation, BTreeSet<Sequence>>,
    waiting: TimeQueue,
}

impl Callbacks {
    /// None owed.
    pub(crate) fn new(settings: &LeaderSettings) -> Self {
        Self {
            waits: settings.callback_waits(),
            calls: BTreeMap::new(),
            index: HashMap::new(),
            receivers: Receivers::new(settings.callbacks_per_receiver, settings.receiver_waits()),
            held: HashMap::new(),
            waiting: TimeQueue::default(),
        }
    }

    /// One that an earlier leader may have granted.
    pub(crate) fn add_suspect(&mut self, sequence: Sequence, id: MessageId, url: &str) {
        let receiver = self.receivers.owe(url);
        self.index.insert(id.clone(), sequence);
        let call = Call { id, receiver, reporter: None, failures: 0, phase: Phase::Suspect };
        self.calls.insert(sequence, call);
    }

    /// A new one.
    pub(crate) fn add_owed(
        &mut self,
        sequence: Sequence,
        id: MessageId,
        url: &str,
        reporter: Option<Incarnation>,
    ) {
        self.add_suspect(sequence, id, url);
        if let Some(call) = self.calls.get_mut(&sequence) {
            call.reporter = reporter;
        }
        self.make_ready(sequence);
    }

    /// No edge can be making any that none has named.
    pub(crate) fn release_suspects(&mut self) {
        let suspects = self.calls.iter().filter(|(_, call)| matches!(call.phase, Phase::Suspect));
        for sequence in suspects.map(|(sequence, _)| *sequence).collect::<Vec<_>>() {
            self.make_ready(sequence);
        }
    }

    /// An edge says that it makes one; returns its place if it is owed.
    pub(crate) fn take_over(&mut self, edge: Incarnation, id: &MessageId) -> Option<Sequence> {
        let sequence = *self.index.get(id)?;
        let call = self.calls.get(&sequence)?;
        if matches!(call.phase, Phase::Suspect | Phase::Waiting(_) | Phase::Ready) {
            self.unqueue(sequence);
            self.hold(sequence, edge);
        }
        Some(sequence)
    }

    /// The receiver took it.
    pub(crate) fn taken(&mut self, from: Incarnation, id: &MessageId, outputs: &mut Vec<LeaderOutput>) {
        let Some(sequence) = self.index.get(id).copied() else {
            outputs.push(LeaderOutput::CallbackRecorded { edge: from, id: id.clone() });
            return;
        };
        if let Some(Call { phase: Phase::Recording(reporters), .. }) = self.calls.get_mut(&sequence) {
            if !reporters.contains(&from) {
                reporters.push(from);
            }
            return;
        }
        self.unqueue(sequence);
        let Some(call) = self.calls.get_mut(&sequence) else { return };
        call.phase = Phase::Recording(vec![from]);
        self.receivers.succeeded(&call.receiver);
        outputs.push(LeaderOutput::Propose(Action::CallbackTaken { id: id.clone() }));
    }

    /// It could not be made now.
    pub(crate) fn failed(&mut self, now_ms: u64, from: Incarnation, id: &MessageId, jitter: &mut Jitter) {
        let Some(sequence) = self.index.get(id).copied() else { return };
        let outstanding = self.calls.get(&sequence).map(|call| &call.phase);
        if !matches!(outstanding, Some(Phase::Outstanding(edge)) if *edge == from) {
            return;
        }
        self.unqueue(sequence);
        let Some(call) = self.calls.get_mut(&sequence) else { return };
        let until_ms = now_ms.saturating_add(jitter.wait_ms(self.waits, call.failures));
        call.failures = call.failures.saturating_add(1);
        call.phase = Phase::Waiting(until_ms);
        self.waiting.insert(until_ms, sequence);
        self.receivers.failed(now_ms, &call.receiver, jitter);
    }

    /// It is not owed any more.
    pub(crate) fn remove(&mut self, sequence: Sequence, outputs: &mut Vec<LeaderOutput>) {
        self.unqueue(sequence);
        let Some(call) = self.calls.remove(&sequence) else { return };
        self.index.remove(&call.id);
        self.receivers.settle(&call.receiver);
        if let Phase::Recording(reporters) = call.phase {
            for edge in reporters {
                outputs.push(LeaderOutput::CallbackRecorded { edge, id: call.id.clone() });
            }
        }
    }

    /// The edge makes none of its call-backs but these.
    pub(crate) fn release_all_but(&mut self, edge: Incarnation, kept: &BTreeSet<Sequence>) {
        let held: Vec<Sequence> = self.held.get(&edge).into_iter().flatten().copied().collect();
        for sequence in held.into_iter().filter(|sequence| !kept.contains(sequence)) {
            self.make_ready(sequence);
        }
    }

    /// Asks for a look at all receivers: an edge can make call-backs that could not.
    pub(crate) fn look_at_all(&mut self) {
        self.receivers.look_at_all();
    }

    /// Grants what may be made now.
    pub(crate) fn dispatch(&mut self, now_ms: u64, edges: &Edges, outputs: &mut Vec<LeaderOutput>) {
        while let Some(sequence) = self.waiting.pop(now_ms) {
            self.make_ready(sequence);
        }
        while let Some(receiver) = self.receivers.pop_dirty(now_ms) {
            while let Some(sequence) = self.receivers.next_of(now_ms, &receiver) {
                let Some(edge) = self.choose(now_ms, sequence, edges) else { break };
                let Some(call) = self.calls.get(&sequence) else { break };
                outputs.push(LeaderOutput::CallBack { edge, id: call.id.clone() });
                self.unqueue(sequence);
                self.hold(sequence, edge);
            }
        }
    }

    /// Whether there is something to do now.
    pub(crate) fn any_dirty(&self) -> bool {
        self.receivers.any_dirty()
    }

    /// When there will be something to do.
    pub(crate) fn next_ms(&self) -> Option<u64> {
        [self.waiting.next_ms(), self.receivers.next_wake_ms()].into_iter().flatten().min()
    }

    /// Takes a call-back out of whatever it stands in.
    fn unqueue(&mut self, sequence: Sequence) {
        let Some(call) = self.calls.get(&sequence) else { return };
        match &call.phase {
            Phase::Suspect | Phase::Recording(_) => {}
            Phase::Waiting(until_ms) => self.waiting.remove(*until_ms, sequence),
            Phase::Ready => self.receivers.remove_ready(&call.receiver, sequence),
            Phase::Outstanding(edge) => {
                self.receivers.ended(&call.receiver);
                let Some(held) = self.held.get_mut(edge) else { return };
                held.remove(&sequence);
                if held.is_empty() {
                    self.held.remove(edge);
                }
            }
        }
    }

    fn make_ready(&mut self, sequence: Sequence) {
        self.unqueue(sequence);
        let Some(call) = self.calls.get_mut(&sequence) else { return };
        call.phase = Phase::Ready;
        self.receivers.add_ready(&call.receiver, sequence);
    }

    fn hold(&mut self, sequence: Sequence, edge: Incarnation) {
        let Some(call) = self.calls.get_mut(&sequence) else { return };
        call.phase = Phase::Outstanding(edge);
        self.held.entry(edge).or_default().insert(sequence);
        self.receivers.began(&call.receiver);
    }

    /// Of the edges that call the receiver: the one that reported the success, else the one that makes the fewest
    /// call-backs, near ones first.
    fn choose(&self, now_ms: u64, sequence: Sequence, edges: &Edges) -> Option<Incarnation> {
        let call = self.calls.get(&sequence)?;
        let callers = callers(now_ms, &call.receiver, edges);
        let reporter = call.reporter.filter(|reporter| callers.iter().any(|caller| caller.edge == *reporter));
        if reporter.is_some() {
            return reporter;
        }
        let making = |edge: Incarnation| self.held.get(&edge).map_or(0, BTreeSet::len);
        let least = callers.into_iter().min_by_key(|caller| (making(caller.edge), caller.distance));
        least.map(|caller| caller.edge)
    }
}

/// An edge that may call a receiver.
#[derive(Debug, Clone, Copy)]
struct Caller {
    rank: u64,
    edge: Incarnation,
    distance: Distance,
}

/// The edges that call a receiver: the first few in the receiver's own order of edges, which is the same for all shards.
fn callers(now_ms: u64, receiver: &str, edges: &Edges) -> Vec<Caller> {
    let name_hash = name_hash(receiver);
    let grantable = edges.all_grantable(now_ms);
    let mut callers: Vec<Caller> = grantable
        .map(|(incarnation, edge)| Caller {
            rank: rendezvous(name_hash, edge.node_hash),
            edge: incarnation,
            distance: edge.distance,
        })
        .collect();
    if callers.len() > MOST_CALLERS {
        callers.select_nth_unstable_by_key(MOST_CALLERS, |caller| (caller.rank, caller.edge));
        callers.truncate(MOST_CALLERS);
    }
    callers
}

//! Questions about messages.

use std::collections::BTreeMap;

use ruddervalve_protocol::{
    ANSWER_WANTED_MS, Blob, EdgeToStore, EndPhase, GroupId, MessageId, MessagePhase, ReplicaId,
};

use super::EdgeCore;
use super::ingress::{come_back, refusal};
use super::output::ClientNumber;
use crate::front::{FrontResponse, StatusCode};

/// Where the state of a message is asked for.
pub const STATUS_PATH: &str = "/api/message/";
/// Where its body is asked for.
pub const BODY_PATH: &str = "/api/message-body/";
/// Between this and the group's number, and between that and the request's id, in the names that a 202 gives.
const NAME_PREFIX: &str = "s";
const NAME_SEPARATOR: char = '_';
/// The longest name.
const LONGEST_NAME: usize = 64;
/// A shard whose leader is not known or does not answer is asked again after this, in milliseconds.
const ASK_AGAIN_MS: u64 = 100;

/// The name that a 202 gives a message: it says which shard to ask. A name that would be too long is the request's id.
pub fn message_name(group: GroupId, id: &MessageId) -> String {
    let name = format!("{NAME_PREFIX}{}{NAME_SEPARATOR}{}", group.0, id.0);
    if name.len() <= LONGEST_NAME { name } else { id.0.clone() }
}

/// The shard and the request's id that a name says.
fn read_name(name: &str) -> Option<(GroupId, MessageId)> {
    let (group, id) = name.strip_prefix(NAME_PREFIX)?.split_once(NAME_SEPARATOR)?;
    Some((GroupId(group.parse().ok()?), MessageId(id.to_owned())))
}

/// A question of a client.
#[derive(Debug, Clone)]
pub struct StatusQuery {
    /// Who asks.
    pub client: ClientNumber,
    /// The name of the message.
    pub name: String,
    /// Whether the body is wanted.
    pub body: bool,
}

/// How far the question to one shard is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Asked {
    /// Not yet, or to be asked again.
    Waiting,
    /// This store was asked.
    Sent(ReplicaId),
    /// It does not know the message.
    Unknown,
}

/// How the shards that are asked were found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Search {
    /// The name says the shard. A client's own id may look like such a name: if the shard knows no such message, all
    /// shards are asked for that id.
    Named,
    /// All shards are asked for an id.
    All,
    /// All shards that are known here are asked, but the name says another one: nobody can be sure.
    Uncertain,
}

#[derive(Debug)]
struct Question {
    query: StatusQuery,
    search: Search,
    /// The shards to ask, and by which id.
    shards: BTreeMap<GroupId, (MessageId, Asked)>,
    give_up_at: u64,
}

impl Question {
    fn is_known_nowhere(&self) -> bool {
        self.shards.values().all(|(_, asked)| *asked == Asked::Unknown)
    }
}

/// All shards, to be asked for the message whose id is the name itself.
fn ask_all(groups: &[GroupId], name: &str) -> BTreeMap<GroupId, (MessageId, Asked)> {
    let id = MessageId(name.to_owned());
    groups.iter().map(|group| (*group, (id.clone(), Asked::Waiting))).collect()
}

/// All questions that wait for stores.
#[derive(Debug, Default)]
pub struct Statuses {
    questions: BTreeMap<u64, Question>,
    /// Requests to stores: the question and the shard.
    requests: BTreeMap<u64, (u64, GroupId)>,
    last: u64,
    retry_at: Option<u64>,
}

impl Statuses {
    pub fn next_wake(&self) -> Option<u64> {
        if self.questions.is_empty() { None } else { self.retry_at }
    }

    pub fn client_left(&mut self, client: ClientNumber) {
        self.questions.retain(|_, question| question.query.client != client);
    }

    /// These shards have new leaders: what the old ones have not answered is asked of the new ones.
    pub fn ask_anew(&mut self, groups: &[GroupId]) {
        let shards = self.questions.values_mut().flat_map(|question| question.shards.iter_mut());
        for (_, (_, asked)) in shards.filter(|(group, _)| groups.contains(*group)) {
            if matches!(asked, Asked::Sent(_)) {
                *asked = Asked::Waiting;
            }
        }
    }

    pub fn store_down(&mut self, store: ReplicaId) {
        let shards = self.questions.values_mut().flat_map(|question| question.shards.values_mut());
        for (_, asked) in shards {
            if *asked == Asked::Sent(store) {
                *asked = Asked::Waiting;
            }
        }
    }
}

impl EdgeCore {
    /// Asks the shards that may know the message; the answer, if it can be given at once.
    pub(super) fn query(&mut self, query: StatusQuery) -> Option<FrontResponse> {
        let groups = self.shards.groups();
        let (search, shards) = match read_name(&query.name) {
            Some((group, id)) if groups.contains(&group) => {
                (Search::Named, BTreeMap::from([(group, (id, Asked::Waiting))]))
            }
            Some(_) => (Search::Uncertain, ask_all(groups, &query.name)),
            None => (Search::All, ask_all(groups, &query.name)),
        };
        if shards.is_empty() {
            return Some(come_back("no store is known yet: come back later", 0));
        }
        self.statuses.last += 1;
        let number = self.statuses.last;
        let question = Question { query, search, shards, give_up_at: self.now + ANSWER_WANTED_MS };
        self.statuses.questions.insert(number, question);
        self.ask(number);
        None
    }

    fn ask(&mut self, number: u64) {
        let Some(question) = self.statuses.questions.get_mut(&number) else { return };
        let mut sends = Vec::new();
        for (group, (id, asked)) in &mut question.shards {
            if *asked != Asked::Waiting {
                continue;
            }
            if let Some(store) = self.shards.leader(*group) {
                *asked = Asked::Sent(store);
                self.statuses.last += 1;
                let request = self.statuses.last;
                self.statuses.requests.insert(request, (number, *group));
                let (group, id, body) = (*group, id.clone(), question.query.body);
                sends.push((store, EdgeToStore::Status { request, group, id, body }));
            }
        }
        sends.into_iter().for_each(|(store, message)| self.send(store, message));
        self.statuses.retry_at.get_or_insert(self.now + ASK_AGAIN_MS);
    }

    /// Asks again what waits for a leader.
    pub(super) fn retry_statuses(&mut self) {
        let numbers: Vec<u64> = self.statuses.questions.keys().copied().collect();
        numbers.into_iter().for_each(|number| self.ask(number));
    }

    /// Asks again now and then, and gives up what took too long.
    pub(super) fn expire_statuses(&mut self) {
        if self.statuses.retry_at.is_none_or(|at| at > self.now) {
            return;
        }
        self.statuses.retry_at = None;
        let now = self.now;
        self.give_up_questions(|question| question.give_up_at <= now);
        self.retry_statuses();
    }

    /// Gives up all questions.
    pub(super) fn give_up_statuses(&mut self) {
        self.give_up_questions(|_| true);
    }

    fn give_up_questions(&mut self, is_over: impl Fn(&Question) -> bool) {
        let questions = self.statuses.questions.values();
        let over: Vec<ClientNumber> =
            questions.filter(|question| is_over(question)).map(|question| question.query.client).collect();
        self.statuses.questions.retain(|_, question| !is_over(question));
        for client in over {
            self.respond(client, come_back("the message's shard does not answer: ask again", 0));
        }
        let questions = &self.statuses.questions;
        self.statuses.requests.retain(|_, (number, _)| questions.contains_key(number));
    }

    /// A store answered.
    pub(super) fn status_answered(
        &mut self,
        request: u64,
        leads: bool,
        phase: Option<MessagePhase>,
        body: Option<Blob>,
    ) {
        let Some((number, group)) = self.statuses.requests.remove(&request) else { return };
        let Some(question) = self.statuses.questions.get_mut(&number) else { return };
        let Some((_, asked)) = question.shards.get_mut(&group) else { return };
        if let Some(phase) = phase.filter(|_| leads) {
            let response = answer(&phase, question.query.body.then_some(body));
            let client = question.query.client;
            self.statuses.questions.remove(&number);
            self.respond(client, response);
            return;
        }
        *asked = if leads { Asked::Unknown } else { Asked::Waiting };
        if question.is_known_nowhere() {
            self.not_found(number);
        }
    }

    /// None of the shards that were asked knows the message: others are asked, or it is certain, or not.
    fn not_found(&mut self, number: u64) {
        let Some(question) = self.statuses.questions.get_mut(&number) else { return };
        let client = question.query.client;
        let response = match question.search {
            Search::Named => {
                question.search = Search::All;
                question.shards = ask_all(self.shards.groups(), &question.query.name);
                // What was asked before was about another id.
                self.statuses.requests.retain(|_, (asker, _)| *asker != number);
                return self.ask(number);
            }
            Search::All => refusal(StatusCode::NOT_FOUND, "no message has this name"),
            Search::Uncertain => come_back("the message's shard is not known here: ask again", 0),
        };
        self.statuses.questions.remove(&number);
        self.respond(client, response);
    }
}

/// The answer; `body`: the body is wanted, and is there or not.
fn answer(phase: &MessagePhase, body: Option<Option<Blob>>) -> FrontResponse {
    match body {
        Some(Some(body)) => {
            FrontResponse::new(StatusCode::OK).with_body("application/octet-stream", body.as_slice().to_vec())
        }
        Some(None) => refusal(StatusCode::NOT_FOUND, "the message has ended and its body is not kept"),
        None => FrontResponse::new(StatusCode::OK).with_body("application/json", phase_json(phase)),
    }
}

fn phase_json(phase: &MessagePhase) -> String {
    match phase {
        MessagePhase::Pending => r#"{"Phase":"pending"}"#.to_owned(),
        MessagePhase::Ended { phase: EndPhase::DeadLetter, .. } => r#"{"Phase":"dead_letter"}"#.to_owned(),
        MessagePhase::Ended { phase: EndPhase::Succeeded, signature } => {
            format!(r#"{{"Phase":"succeeded","Signature":{}}}"#, json_text(signature))
        }
    }
}

/// A text as JSON has it.
pub fn json_text(text: &str) -> String {
    sonic_rs::to_string(text).unwrap_or_else(|_| "\"\"".to_owned())
}

//! What the core is told ([`Happening`]) and what it wants done ([`Command`]), and the types that both sides of it speak:
//! questions, attempts, ends and final answers. Plain data, without any wire's form.

use std::rc::Rc;

use gingerledge_blocks::{Epoch, Span};
use gingerledge_dispatch::{Entry, ListKind, Millis, Outcome, RejectionReason, RequestId, ServerId};

use super::IdempotencyKey;
use crate::routes::Told;

/// Text that passes through unchanged.
pub type Text = Rc<[u8]>;

/// Identifies a query at this broker.
pub type QueryId = RequestId;

/// One attempt of a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The part.
    pub part: RequestId,
    /// Its attempts count from 0.
    pub number: u32,
}

/// A part as the client asked for it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ask {
    /// Its shard.
    pub shard: u32,
    /// Its share of the whole answer.
    pub weight: f64,
    /// A guess at its work.
    pub cost_ms: Option<Millis>,
    /// The one weigher that it concerns, where the client says so.
    pub weigher: Option<u64>,
}

/// Which forms a query's text may be carried in; the core only passes it on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Form {
    /// In frames only.
    #[default]
    Opaque,
    /// It is a feature request too, for stores that offer such.
    Features,
}

/// A query as a front hands it over: checked, its names resolved.
#[derive(Clone, Debug)]
pub struct Question {
    /// Its name on the wire; the parts' names are made from it.
    pub name: Rc<str>,
    /// Its class, by index.
    pub class: usize,
    /// Its tenant, by index.
    pub tenant: Option<usize>,
    /// When its client stops waiting.
    pub deadline: Millis,
    /// Whether the client marks it as a repeat.
    pub repeated: bool,
    /// What stores tell its repeats by, in a class that is keyed.
    pub key: Option<IdempotencyKey>,
    /// Its parts; no two of one shard.
    pub parts: Vec<Ask>,
    /// What each part carries.
    pub text: Text,
    /// The forms it may be carried in.
    pub form: Form,
}

/// What a store gave for a part.
#[derive(Clone, Debug, PartialEq)]
pub struct Served {
    /// Decides which shards a second step goes to.
    pub score: u64,
    /// The value, as it came.
    pub value: Text,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub struct Ended {
    /// The outcome; [`Outcome::Success`] only with a value.
    pub outcome: Outcome,
    /// The value of a success.
    pub served: Option<Served>,
    /// The store's load report, where one came along.
    pub report: Vec<f64>,
    /// Of a part turned away at a fence, the newest epoch that the store knows of the block.
    pub newer: Option<u64>,
}

impl From<Outcome> for Ended {
    fn from(outcome: Outcome) -> Self {
        Self { outcome, served: None, report: Vec::new(), newer: None }
    }
}

/// A query's final answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Final {
    /// Served from these parts, in the order of their shards.
    Answered {
        /// Whether it is marked whole.
        whole: bool,
        /// Shards and values.
        values: Vec<(u32, Text)>,
    },
    /// Turned away; a repeat does no harm.
    Refused {
        /// When to come back; 0 for no advice.
        retry_after_ms: Millis,
    },
    /// Given up, with no word on its effect.
    Failed,
}

/// Something that happened outside.
#[derive(Clone, Debug)]
pub enum Happening {
    /// A query was taken.
    Asked(QueryId, Question),
    /// Its client has left, or its time is up.
    Gone(QueryId),
    /// An attempt ended.
    Ended(AttemptId, Ended),
    /// Discovery has told something.
    Listed(ListKind, Vec<Entry>),
    /// Who holds blocks now.
    Holders(Told),
    /// How many processes share this broker's part of everything.
    Shared(u32),
    /// This process is about to end; another may serve in its place already.
    Leaving,
    /// Nothing; whoever waits for its end knows that all before it has been decided on.
    Mark(async_channel::Sender<()>),
}

/// The first step that a part of the second rests on.
#[derive(Clone, Debug, PartialEq)]
pub struct FirstStep {
    /// The shards that were in.
    pub from: Vec<u32>,
    /// Whether its answer was whole.
    pub whole: bool,
}

/// What a store that moves blocks is told of a part, beside its block.
#[derive(Clone, Debug, PartialEq)]
pub struct Fence {
    /// Under which epoch the part was placed.
    pub epoch: Epoch,
    /// The number that the client used.
    pub named: u32,
    /// Which of the block's weighers are asked for, if not all.
    pub slice: Option<Span>,
    /// The one weigher that it concerns.
    pub weigher: Option<u64>,
    /// Whether it is an entry, which must not run twice.
    pub entry: bool,
}

/// An attempt to be made.
#[derive(Clone, Debug)]
pub struct Order {
    /// Which.
    pub attempt: AttemptId,
    /// At which store.
    pub server: ServerId,
    /// The query that it is for: nothing may begin once that is over.
    pub asker: QueryId,
    /// The query's name.
    pub query: Rc<str>,
    /// The shard.
    pub shard: u32,
    /// What it carries.
    pub text: Text,
    /// The forms it may be carried in.
    pub form: Form,
    /// How long to wait.
    pub patience_ms: Millis,
    /// It must not go out later than that from now: its store may have forgotten an attempt before it.
    pub within_ms: Option<Millis>,
    /// What the store tells its repeats by.
    pub key: Option<IdempotencyKey>,
    /// Set for a part of the second step.
    pub second: Option<Rc<FirstStep>>,
    /// Set where blocks move.
    pub fence: Option<Fence>,
}

/// Something the core wants done.
#[derive(Clone, Debug)]
pub enum Command {
    /// Make an attempt; exactly one [`Happening::Ended`] is owed for it.
    Send(Order),
    /// Stop waiting for an attempt; its end is still owed.
    GiveUp(AttemptId),
    /// Stop working on an attempt that nobody waits for any more, through no fault of its store's; its end is still owed.
    Abandon(AttemptId),
    /// Close the idle connections to a store.
    Release(ServerId),
    /// Ask for news of the block map: a store knows more.
    Learn,
    /// Begin a watch on discovery.
    Subscribe,
    /// Count why a query is given up.
    Because(QueryId, RejectionReason),
    /// Give a query its final answer.
    Finish(QueryId, Final),
}

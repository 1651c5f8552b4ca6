//! Dispatch of queries over replicated shards: the decisions of an aggregator, without I/O.
//!
//! A query is split into parts, one for each shard that it needs, and each shard has a few replicas. The
//! [`Aggregator`] decides which replica serves each part, how long to wait for it, when to retry it, and when
//! to answer the query. It follows the batch-filling rule of Weng and Wang: the parts of a query are placed
//! together, one at a time, each on the replica with the fewest outstanding calls of this aggregator, and the
//! counts are updated after every placement.
//!
//! The library does no I/O, reads no clock and starts no threads. The host passes [`Event`]s to it and
//! carries out its [`Action`]s; equal seeds and events always give equal actions.
//!
//! ```
//! use gingerledge_dispatch::{
//!     Action, Aggregator, Class, Event, ListKind, ServerEntry, ServerStatus, Settings,
//! };
//!
//! let settings = Settings {
//!     cells: 2,
//!     reach: 2,
//!     shards: 2,
//!     classes: vec![Class { latency_target_ms: 500.0, deadline_ms: 2000.0, ..Class::default() }],
//!     ..Settings::default()
//! };
//! let mut aggregator = Aggregator::new(7, settings, 0.0);
//! let mut actions = Vec::new();
//! let entries = vec![
//!     ServerEntry { server: 0, cell: 0, status: ServerStatus::Ready, ..ServerEntry::default() },
//!     ServerEntry { server: 1, cell: 1, status: ServerStatus::Ready, ..ServerEntry::default() },
//! ];
//! aggregator.handle(0.0, Event::ServerList { kind: ListKind::Complete, entries }, &mut actions);
//! aggregator.handle(0.0, Event::Query {
//!     id: 1, number: 1, class: 0, tenant: None, deadline: 2000.0, parts: 2, repeated: false,
//! }, &mut actions);
//! for shard in 0..2 {
//!     aggregator.handle(0.0, Event::Part {
//!         id: 2 + u64::from(shard), number: 1, shard, weight: 0.5, cost_ms: None,
//!     }, &mut actions);
//! }
//! aggregator.end_turn(0.0, &mut actions);
//! let sends = actions.iter().filter(|a| matches!(a, Action::Send { .. })).count();
//! assert_eq!(sends, 2);
//! ```

mod aggregator;
pub mod batch_filling;
mod idle_connections;
mod interface;
mod list_refresh;
mod pseudorandom;
mod quotas;
mod settings;
mod setup;
mod shard_replicas;
mod slots;
mod state;

pub use aggregator::Aggregator;
pub use interface::{
    Action, Event, ListKind, Millis, Outcome, RejectionReason, RequestId, ServerEntry, ServerId,
    ServerStatus, SuccessorPart,
};
pub use settings::{Class, Repeat, ReportField, RetryBudget, Settings, Tenant};
pub use setup::{Setup, SetupError, SetupFault};

#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;

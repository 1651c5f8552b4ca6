//! The state of an aggregator: what it records of servers, attempts, parts and queries.
//!
//! The types here hold no decisions; those are in `src/aggregator`.

mod query;
mod server;

pub(crate) use query::{Part, PartState, Query, QueryStep};
pub(crate) use server::{FailureAccrual, OpenCall, OutstandingAttempt, RecentSend, Server};

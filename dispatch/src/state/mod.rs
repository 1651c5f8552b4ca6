//! The state of an aggregator: its records of servers, attempts, parts and queries.
//!
//! The types here make no decisions; those are made in `src/aggregator`.

mod query;
mod server;

pub(crate) use query::{Part, PartState, Query, QueryStep};
pub(crate) use server::{FailureAccrual, OpenCall, OutstandingAttempt, RecentSend, Server};

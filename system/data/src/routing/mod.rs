//! Decisions about requests, without I/O: which route, which service, which store, for how long, and what to answer in the end.

mod affinity;
mod choose;
mod outcome;
mod split;
mod table;
mod times;

pub use affinity::{Affinity, Prompt};
pub use choose::{choose, Candidate};
pub use outcome::{failure, next_step, Failure, Next, Sent};
pub use split::pick_service;
pub use table::{RouteEntry, RouteTable, Usual};
pub use times::{
    connect_time, give_up_at, head_time, retry_after, silence_time, waits_too_long, LEAST_OFFER,
};

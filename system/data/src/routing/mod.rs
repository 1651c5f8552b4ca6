//! Decisions about requests, without I/O: route, service, store, time-outs, retries, and the response if all attempts failed.

mod affinity;
mod retry;
mod store_choice;
mod table;
mod timeouts;
mod traffic_split;

pub use affinity::{Affinity, Prompt};
pub use retry::{decide_retry, failure_response, AttemptHistory, FailureResponse, RetryDecision};
pub use store_choice::{choose_store, Candidate};
pub use table::{LatencyAverage, RouteEntry, RouteTable};
pub use timeouts::{
    connect_timeout, exceeds_queueing_time, head_timeout, idle_timeout, request_deadline, retry_after,
    MIN_ATTEMPT_TIME,
};
pub use traffic_split::pick_service;

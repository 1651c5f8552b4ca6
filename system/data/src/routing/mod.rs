//! Routing decisions, without I/O: the route, service and store of a request, its timeouts and retries, and the response if all
//! attempts fail.

mod affinity;
mod retry;
mod store_choice;
mod table;
mod timeouts;
mod traffic_split;

pub use affinity::{Affinity, PromptPrefixes};
pub use retry::{decide_retry, failure_response, AttemptHistory, FailureResponse, RetryDecision};
pub use store_choice::{choose_store, Candidate};
pub use table::{LatencyAverage, RouteEntry, RouteTable};
pub use timeouts::{
    connect_timeout, head_timeout, idle_timeout, queueing_exceeds_time_left, request_deadline, retry_after,
    MIN_ATTEMPT_TIME,
};
pub use traffic_split::pick_service;

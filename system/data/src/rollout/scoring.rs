//! Scoring calls. A scoring call determines the score of one item's complete text; it is routed by its own host and path.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use gingerledge_wire::ScoringRecord;
use hyper::http::StatusCode;

use super::plan::ScoringOutcome;
use crate::forward::{self, Call};
use crate::Shared;

/// The time-out of a scoring call whose route sets none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);

/// Makes a scoring call. The score is the signature of the store in the response.
pub(super) async fn score(shared: &Rc<Shared>, scoring: &ScoringRecord) -> ScoringOutcome {
    let configuration = shared.configuration();
    let route =
        configuration.as_deref().and_then(|configuration| configuration.route(&scoring.host, &scoring.path));
    let (timeout_ms, max_attempts) =
        route.map_or((None, u32::MAX), |route| (route.timeout_ms, route.max_attempts));
    let timeout = timeout_ms.and_then(|timeout_ms| Duration::try_from_secs_f64(timeout_ms / 1_000.0).ok());
    let call = Call {
        host: scoring.host.clone(),
        path: scoring.path.clone(),
        id: scoring.id.clone(),
        body: Bytes::copy_from_slice(&scoring.body),
        deadline: shared.now() + timeout.unwrap_or(DEFAULT_TIMEOUT),
    };
    match forward::call(shared, call).await {
        Ok(response) if response.status.is_success() && !response.signature.is_empty() => {
            ScoringOutcome::Scored(response.signature)
        }
        Ok(response) if response.status == StatusCode::INTERNAL_SERVER_ERROR => {
            ScoringOutcome::Failed { failures: response.server_error_count.max(1), max_attempts }
        }
        Ok(_) | Err(_) => ScoringOutcome::Other,
    }
}

//! Reward calls: each scores the whole text of one item, by the route of its own host and path.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use gingerledge_wire::ScoringRecord;
use hyper::http::StatusCode;

use super::drive::{Drive, DriveKey, Outcome};
use super::driver;
use super::plan::RewardEnded;
use crate::forward::{self, Call};
use crate::Shared;

/// How long one call may take where its route doesn't say.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);

/// Starts the reward call of an item whose text is whole.
pub(super) fn start(shared: &Rc<Shared>, key: DriveKey, drive: &mut Drive, item: u32) {
    let job = Arc::clone(drive.plan.job());
    let shared = Rc::clone(shared);
    drive.tasks.spawn_local(async move {
        let scoring = job.items.get(item as usize).and_then(|item| item.scoring.as_ref());
        let ended = match scoring {
            Some(scoring) if driver::may_send(&shared, key) => call(&shared, scoring).await,
            Some(_) => RewardEnded::Other,
            None => RewardEnded::Scored(String::new()),
        };
        driver::tell(&shared, Outcome::Reward { drive: key, item, ended });
    });
}

async fn call(shared: &Rc<Shared>, scoring: &ScoringRecord) -> RewardEnded {
    let configuration = shared.configuration();
    let route = configuration.as_deref().and_then(|known| known.route(&scoring.host, &scoring.path));
    let (timeout_ms, max_attempts) =
        route.map_or((None, u32::MAX), |route| (route.timeout_ms, route.max_attempts));
    let timeout = timeout_ms.and_then(|timeout| Duration::try_from_secs_f64(timeout / 1_000.0).ok());
    let call = Call {
        host: scoring.host.clone(),
        path: scoring.path.clone(),
        id: scoring.id.clone(),
        body: Bytes::copy_from_slice(&scoring.body),
        deadline: shared.now() + timeout.unwrap_or(DEFAULT_TIMEOUT),
    };
    match forward::call(shared, call).await {
        Ok(answer) if answer.status.is_success() && !answer.signature.is_empty() => {
            RewardEnded::Scored(answer.signature)
        }
        Ok(answer) if answer.status == StatusCode::INTERNAL_SERVER_ERROR => {
            RewardEnded::Failed { times: answer.server_errors.max(1), max_attempts }
        }
        Ok(_) | Err(_) => RewardEnded::Other,
    }
}

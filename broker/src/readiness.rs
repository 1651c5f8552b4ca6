//! Decides when a new process becomes ready: with the first list of discovery, with an older list after a delay, and finally
//! without any, since a process that never becomes ready serves no client. It does not depend on clients or requests.

use std::rc::Rc;
use std::time::Instant;

use async_io::Timer;

use crate::discovery::watching::CallTimeouts;
use crate::discovery::{Discovery, List};
use crate::lifecycle::Lifecycle;

/// Factor on the wait of a process without any list while another process of this broker serves.
const OTHER_PROCESS_FACTOR: u32 = 3;

/// Waits for the first list of discovery, then marks the process as ready. An older list replaces it: at once if no other
/// process serves, and after a delay otherwise. If lists are pushed, `older_list` is applied only after that delay, since the
/// agent's list takes effect from the first moment, so no part may be sent before the agent was called. The wait without any
/// list is bounded, too.
pub async fn become_ready(
    lifecycle: Rc<Lifecycle>,
    discovery: Rc<Discovery>,
    (has_other_process, calls): (bool, CallTimeouts),
    older_list: Option<List>,
) {
    let started_at = Instant::now();
    let request_list = async {
        if !has_other_process && (discovery.has_stores() || older_list.is_some()) {
            futures_lite::future::pending::<()>().await;
        }
        if !has_other_process {
            Timer::after(discovery.first_call_delay()).await;
        }
        // In a large fleet the first calls to discovery are spread over seconds. This subscribes without that delay in an
        // upgrade, since changes at discovery must be applied soon after this process is ready, and after the delay of the
        // first call without any list.
        discovery.subscribe();
        futures_lite::future::pending::<()>().await
    };
    let fallback = async {
        if let Some(older_list) = &older_list {
            Timer::after(calls.first_list).await;
            discovery.apply(older_list, true);
        } else if has_other_process {
            Timer::after(calls.first_list).await;
        }
        if !discovery.has_stores() {
            let timeout =
                if has_other_process { calls.readiness * OTHER_PROCESS_FACTOR } else { calls.readiness };
            Timer::at(started_at + timeout).await;
            log::warn!("ready without any list of stores: discovery has sent none");
        }
    };
    futures_lite::future::or(discovery.first_list(), futures_lite::future::or(fallback, request_list)).await;
    lifecycle.set_can_serve();
}

//! Decides when a new process becomes ready: with the first list of discovery, with an older list after a delay, and finally
//! without any, since a process that never becomes ready serves nobody. It knows neither clients nor requests.

use std::rc::Rc;
use std::time::Instant;

use async_io::Timer;

use crate::discovery::watching::CallTimeouts;
use crate::discovery::{Discovery, List};
use crate::lifecycle::Lifecycle;

/// Factor on the wait of a process without any list while another process of this broker serves.
const OTHER_PROCESS_FACTOR: u32 = 3;

/// Waits until discovery has told its list. Where an older one is known that will do: at once where no other
/// process serves meanwhile, and beside one after a while. Where lists are pushed the older one is `held` back for that
/// while: what the agent has counts as told from the first moment, so that no part goes out before it was asked.
/// Where there is none at all the wait is bounded, too.
pub async fn become_ready(
    lifecycle: Rc<Lifecycle>,
    discovery: Rc<Discovery>,
    (has_other_process, calls): (bool, CallTimeouts),
    older_list: Option<List>,
) {
    let begun = Instant::now();
    let request_list = async {
        if !has_other_process && (discovery.has_stores() || older_list.is_some()) {
            futures_lite::future::pending::<()>().await;
        }
        if !has_other_process {
            Timer::after(discovery.first_call_delay()).await;
        }
        // Guards the start in a large fleet, whose first calls for the list are spread over seconds: of an upgrade, as what
        // discovery has to tell counts as told soon after this process is ready; and without any list, as there is no
        // more to wait for.
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
            let wait =
                if has_other_process { calls.readiness * OTHER_PROCESS_FACTOR } else { calls.readiness };
            Timer::at(begun + wait).await;
            log::warn!("ready without any list of stores: discovery has sent none");
        }
    };
    futures_lite::future::or(discovery.first_list(), futures_lite::future::or(fallback, request_list)).await;
    lifecycle.set_can_serve();
}

//! When a new process is ready to serve: once discovery has told its list, or by an older list after a while, and in the end
//! without any, since a process that never becomes ready serves nobody. It knows neither clients nor requests.

use std::rc::Rc;
use std::time::Instant;

use async_io::Timer;

use crate::discovery::watching::Waits;
use crate::discovery::{Discovery, List};
use crate::lifecycle::Lifecycle;

/// Where another process of this broker serves meanwhile, one that has no list at all waits so many times as long.
const BESIDE: u32 = 3;

/// Waits until discovery has told its list. Where an older one is known that will do: at once where no other
/// process serves meanwhile, and beside one after a while. Where lists are pushed the older one is `held` back for that
/// while: what the agent has counts as told from the first moment, so that no part goes out before it was asked.
/// Where there is none at all the wait is bounded, too.
pub async fn become_able(
    lifecycle: Rc<Lifecycle>,
    discovery: Rc<Discovery>,
    (beside, calls): (bool, Waits),
    held: Option<List>,
) {
    let begun = Instant::now();
    let ask = async {
        if !beside && (discovery.known() || held.is_some()) {
            futures_lite::future::pending::<()>().await;
        }
        if !beside {
            Timer::after(discovery.first_call()).await;
        }
        // Guards the start in a large fleet, whose first calls for the list are spread over seconds: of an upgrade, as what
        // discovery has to tell counts as told soon after this process is ready; and without any list, as there is no
        // more to wait for.
        discovery.subscribe();
        futures_lite::future::pending::<()>().await
    };
    let fallback = async {
        if let Some(held) = &held {
            Timer::after(calls.first).await;
            discovery.tell(held, true);
        } else if beside {
            Timer::after(calls.first).await;
        }
        if !discovery.known() {
            let wait = if beside { calls.ready * BESIDE } else { calls.ready };
            Timer::at(begun + wait).await;
            log::warn!("ready without any list of stores: discovery has told none");
        }
    };
    futures_lite::future::or(discovery.told(), futures_lite::future::or(fallback, ask)).await;
    lifecycle.set_able();
}

//! The bound on connections to stores, both links and connections to feature APIs ([`crate::limits`]). If no slot is free,
//! idle connections are closed, and the caller waits at most for the dial time-out.

use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::future::or;

use super::Stores;
use crate::limits::ConnectionSlot;

/// Interval at which idle connections are closed while a caller waits for a slot.
const RETRY_INTERVAL: Duration = Duration::from_millis(5);

impl Stores {
    /// Acquires a slot for a connection; `None` if no slot is free within the dial time-out.
    pub(super) async fn acquire_slot(&self) -> Option<ConnectionSlot> {
        let until = Instant::now() + self.limits.dial_timeout;
        loop {
            if let Some(slot) = self.slots.try_acquire() {
                return Some(slot);
            }
            if Instant::now() >= until {
                log::debug!("no connection slot for a store was free in time");
                return None;
            }
            self.close_idle_connections();
            let retry = async {
                Timer::after(RETRY_INTERVAL).await;
            };
            or(self.slots.freed(), retry).await;
        }
    }

    /// Number of slots in use, by connections of both kinds.
    pub fn connections(&self) -> usize {
        self.slots.taken()
    }

    /// Closes all idle connections. They are reopened when needed, while the waiting callers have parts to send now.
    fn close_idle_connections(&self) {
        for endpoint in self.endpoints.borrow().values() {
            endpoint
                .links
                .borrow()
                .iter()
                .filter(|link| link.is_idle())
                .for_each(|link| link.close_when_idle());
            endpoint.features.iter().for_each(|client| client.close_idle());
        }
    }
}

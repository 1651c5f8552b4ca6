//! The bound on connections to stores, of both kinds ([`crate::limits`]). Where no slot is free, idle connections are closed
//! and the caller waits, at most for the dial time-out.

use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::future::or;

use super::Stores;
use crate::limits::ConnectionSlot;

/// Interval at which idle connections are looked for while a caller waits.
const LOOK_AGAIN: Duration = Duration::from_millis(5);

impl Stores {
    /// Acquires a slot for a connection; `None` if none is free within the dial time-out.
    pub(super) async fn acquire_slot(&self) -> Option<ConnectionSlot> {
        let until = Instant::now() + self.limits.dial;
        loop {
            if let Some(slot) = self.slots.try_acquire() {
                return Some(slot);
            }
            if Instant::now() >= until {
                log::debug!("no connection slot for a store was free in time");
                return None;
            }
            self.close_idle_connections();
            let later = async {
                Timer::after(LOOK_AGAIN).await;
            };
            or(self.slots.freed(), later).await;
        }
    }

    /// Number of slots in use, by connections of both kinds.
    pub fn connections(&self) -> usize {
        self.slots.taken()
    }

    /// Closes all idle connections: they are reopened when needed, and the callers that wait have parts to send.
    fn close_idle_connections(&self) {
        for endpoint in self.endpoints.borrow().values() {
            endpoint.links.borrow().iter().filter(|link| link.is_idle()).for_each(|link| link.retire());
            endpoint.features.iter().for_each(|driver| driver.close_idle());
        }
    }
}

//! Places for connections to stores, of both forms: there are as many as the division of descriptors gives ([`crate::limits`]).
//! Who finds none has those closed that carry nothing, and waits as long as a dial may take.

use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::future::or;

use super::Stores;
use crate::limits::Place;

/// A connection may come to rest while others wait: it is looked for again so much later.
const LOOK_AGAIN: Duration = Duration::from_millis(5);

impl Stores {
    /// A place for one more connection; nothing if all are in use for too long.
    pub(super) async fn place(&self) -> Option<Place> {
        let until = Instant::now() + self.limits.dial;
        loop {
            if let Some(place) = self.places.take() {
                return Some(place);
            }
            if Instant::now() >= until {
                log::debug!("no place for a connection to a store");
                return None;
            }
            self.let_idle_go();
            let later = async {
                Timer::after(LOOK_AGAIN).await;
            };
            or(self.places.freed(), later).await;
        }
    }

    /// How many places are taken by connections to stores, of both forms.
    pub fn connections(&self) -> usize {
        self.places.taken()
    }

    /// Closes connections that carry nothing. All of them: they are opened again where they are needed, and who waits has
    /// parts that can't go out.
    fn let_idle_go(&self) {
        for site in self.sites.borrow().values() {
            site.links.borrow().iter().filter(|link| link.idle()).for_each(|link| link.retire());
            site.features.iter().for_each(|driver| driver.let_idle_go());
        }
    }
}

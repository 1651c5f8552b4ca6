//! The deadline for sending orders to stores, shared with the tasks that send them.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use crate::node::clock::Clock;

/// A gate that is open only while the coordinator lease is held. Clones share the same state.
#[derive(Clone, Debug)]
pub(super) struct OrderGate {
    clock: Clock,
    open_until_ms: Arc<AtomicU64>,
}

impl OrderGate {
    /// Creates a closed gate.
    pub(super) fn new(clock: Clock) -> Self {
        Self { clock, open_until_ms: Arc::new(AtomicU64::new(0)) }
    }

    /// Opens the gate until the given time.
    pub(super) fn open_until(&self, until: Duration) {
        self.open_until_ms.store(u64::try_from(until.as_millis()).unwrap_or(u64::MAX), Ordering::Relaxed);
    }

    /// Closes the gate.
    pub(super) fn close(&self) {
        self.open_until_ms.store(0, Ordering::Relaxed);
    }

    /// Whether an order may be sent now.
    pub(super) fn is_open(&self) -> bool {
        self.clock.now().as_millis() < u128::from(self.open_until_ms.load(Ordering::Relaxed))
    }
}

//! Requests that wait for their replies: numbers each request, and passes each reply to the future of its request.

use std::collections::HashMap;
use std::fmt;
use std::future::Future;
use std::hash::{BuildHasher, RandomState};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::{timeout_at, Instant};

/// Numbers start below two to this power, so that they never overflow.
const START_BITS: u32 = 48;

/// A bounded table of requests without reply. Cheap to clone.
///
/// Numbers start at random, so that a late reply to an earlier run of the program matches no request of this one.
pub struct Pending<R> {
    table: Arc<Mutex<Table<R>>>,
}

struct Table<R> {
    capacity: usize,
    next: u64,
    waiting: HashMap<u64, oneshot::Sender<R>>,
}

impl<R> Pending<R> {
    /// An empty table for at most as many requests at a time.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        let next = RandomState::new().hash_one(capacity) >> (u64::BITS - START_BITS);
        Self { table: Arc::new(Mutex::new(Table { capacity, next, waiting: HashMap::new() })) }
    }

    /// Numbers a new request. The future resolves to its reply; or to `None` at the time-out, which counts from now, without a wait
    /// if the table is full, or when the request is cancelled. Dropping the future removes the request.
    pub fn begin(&self, timeout: Duration) -> (u64, impl Future<Output = Option<R>> + use<R>) {
        let deadline = Instant::now() + timeout;
        let (sender, receiver) = oneshot::channel();
        let request = lock(&self.table).insert(sender);
        let removal = RemoveOnDrop { request, table: Arc::clone(&self.table) };
        let reply = async move {
            let _removal = removal;
            timeout_at(deadline, receiver).await.ok()?.ok()
        };
        (request, reply)
    }

    /// Passes a reply to the future of its request; returns false if there is none any more.
    pub fn complete(&self, request: u64, reply: R) -> bool {
        let waiting = lock(&self.table).waiting.remove(&request);
        waiting.is_some_and(|waiting| waiting.send(reply).is_ok())
    }

    /// Cancels a request, for example because its peer is lost: its future resolves to `None`.
    pub fn cancel(&self, request: u64) {
        lock(&self.table).waiting.remove(&request);
    }

    /// Number of requests that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        lock(&self.table).waiting.len()
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl<R> Clone for Pending<R> {
    fn clone(&self) -> Self {
        Self { table: Arc::clone(&self.table) }
    }
}

impl<R> fmt::Debug for Pending<R> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Pending").field("waiting", &self.len()).finish_non_exhaustive()
    }
}

impl<R> Table<R> {
    /// If the table is full, the sender is dropped, and the future of the request resolves.
    fn insert(&mut self, sender: oneshot::Sender<R>) -> u64 {
        let request = self.next;
        self.next = self.next.wrapping_add(1);
        if self.waiting.len() < self.capacity {
            self.waiting.insert(request, sender);
        }
        request
    }
}

struct RemoveOnDrop<R> {
    request: u64,
    table: Arc<Mutex<Table<R>>>,
}

impl<R> Drop for RemoveOnDrop<R> {
    fn drop(&mut self) {
        lock(&self.table).waiting.remove(&self.request);
    }
}

fn lock<R>(table: &Mutex<Table<R>>) -> MutexGuard<'_, Table<R>> {
    table.lock().unwrap_or_else(PoisonError::into_inner)
}

//! Runs a test on one thread, within a bound.

use std::time::Duration;

use tokio::task::LocalSet;

/// A bound that only a fault reaches.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// Runs a test on one thread.
pub async fn local<T>(test: impl std::future::Future<Output = T>) -> T {
    let tasks = LocalSet::new();
    tokio::time::timeout(PATIENCE, tasks.run_until(test)).await.expect("the test hangs")
}

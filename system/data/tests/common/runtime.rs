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

/// Runs a test that is not itself asynchronous on one thread, as parameterized tests are.
pub fn run(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("runtime");
    runtime.block_on(local(test));
}

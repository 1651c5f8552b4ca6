//! Requests that wait for replies.

use std::future::Future;
use std::time::Duration;

use gingerledge_transport::Pending;

const LONG: Duration = Duration::from_secs(20);

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(test);
}

#[test]
fn each_reply_reaches_its_request() {
    run(async {
        let pending = Pending::new(10);
        let (first, first_reply) = pending.begin(LONG);
        let (second, second_reply) = pending.begin(LONG);
        assert_ne!(first, second);
        assert!(pending.complete(second, "second"));
        assert!(pending.complete(first, "first"));
        assert_eq!((first_reply.await, second_reply.await), (Some("first"), Some("second")));
        assert!(pending.is_empty());
    });
}

#[test]
fn second_and_unknown_replies_are_dropped() {
    run(async {
        let pending = Pending::new(10);
        let (request, reply) = pending.begin(LONG);
        assert!(!pending.complete(request.wrapping_add(1), 1));
        assert!(pending.complete(request, 2));
        assert!(!pending.complete(request, 3));
        assert_eq!(reply.await, Some(2));
    });
}

#[test]
fn a_request_without_reply_times_out_and_is_removed() {
    run(async {
        let pending = Pending::<()>::new(10);
        let (request, reply) = pending.begin(Duration::from_millis(1));
        assert_eq!(reply.await, None);
        assert!(pending.is_empty());
        assert!(!pending.complete(request, ()));
    });
}

#[test]
fn a_dropped_future_removes_its_request() {
    run(async {
        let pending = Pending::new(10);
        let (request, reply) = pending.begin(LONG);
        assert_eq!(pending.len(), 1);
        drop(reply);
        assert!(pending.is_empty());
        assert!(!pending.complete(request, ()));
    });
}

#[test]
fn a_cancelled_request_resolves_without_a_wait() {
    run(async {
        let pending = Pending::<()>::new(10);
        let (request, reply) = pending.begin(LONG);
        pending.cancel(request);
        assert_eq!(reply.await, None);
    });
}

#[test]
fn a_full_table_accepts_no_request() {
    run(async {
        let pending = Pending::new(1);
        let (first, first_reply) = pending.begin(LONG);
        let (_, second_reply) = pending.begin(LONG);
        assert_eq!(pending.len(), 1);
        let at_once = tokio::time::timeout(Duration::ZERO, second_reply).await;
        assert_eq!(at_once.expect("it does not wait for its time-out"), None);
        assert!(pending.complete(first, 1));
        assert_eq!(first_reply.await, Some(1));
        let (third, third_reply) = pending.begin(LONG);
        assert!(pending.complete(third, 3));
        assert_eq!(third_reply.await, Some(3));
    });
}

//! Answers that come a second time, in front of the answer to the next request on their connection, where both requests have the
//! same id: the attempts of one request, or the runs of one item.

mod common;
mod edge_common;

use bytes::Bytes;

use common::runtime::run;
use edge_common::{answer, local, ok, Edge, Store, Turn, PATIENCE};
use gingerledge_data::stores::{AttemptError, AttemptTimeouts, StoreResponse, StoreTarget};
use http_body_util::Full;
use hyper::Request;
use yare::parameterized;

const TIMEOUTS: AttemptTimeouts = AttemptTimeouts { connect: PATIENCE, head: PATIENCE, idle: PATIENCE };
const MAX_BODY_BYTES: usize = 1_000;

fn target(edge: &Edge) -> StoreTarget {
    edge.shared.stores_for_service("s")[0].target.clone()
}

async fn send(edge: &Edge, id: &str) -> Result<StoreResponse, AttemptError> {
    let request = Request::post("/x").header("attempt-id", id).body(Full::new(Bytes::new()));
    edge.shared.stores.send(&target(edge), request.expect("request"), TIMEOUTS).await
}

/// Sends a request and reads its whole response; gives the status and the body, or the error.
async fn complete(edge: &Edge, id: &str) -> Result<(u16, Bytes), AttemptError> {
    let response = send(edge, id).await?;
    Ok((response.status.as_u16(), response.body.collect(MAX_BODY_BYTES).await?))
}

/// Guards against an attempt that gets the answer to an earlier attempt of the same request, and so is counted twice, is taken for
/// run or is taken for not run.
#[parameterized(
    success = { "200 OK", "" },
    server_error = { "500 Internal Server Error", "" },
    unprocessable = { "422 Unprocessable Entity", "" },
    gateway_timeout = { "504 Gateway Timeout", "" },
    refused = { "503 Service Unavailable", "Not-Executed: true\r\n" },
    refused_for_too_many = { "429 Too Many Requests", "Not-Executed: true\r\n" },
    misdirected = { "421 Misdirected Request", "Not-Executed: true\r\n" },
)]
fn an_answer_that_comes_again_is_not_taken_for_the_next_attempts(status: &str, more_headers: &str) {
    run(async {
        let surplus = answer(status, more_headers, "again");
        let turns = vec![Turn::SayLate(surplus.clone(), surplus), ok("own")];
        let store = Store::start("a", None, turns).await;
        let edge = Edge::with(&[&store]).await;
        let _ = complete(&edge, "q1").await;
        let (status, body) = complete(&edge, "q1").await.expect("an answer of the store");
        assert_eq!((status, body), (200, Bytes::from("own")));
    });
}

#[tokio::test]
async fn a_connection_carries_requests_with_other_ids() {
    local(async {
        let store = Store::start("a", None, vec![]).await;
        let edge = Edge::with(&[&store]).await;
        for id in ["q1", "q2", "q3"] {
            complete(&edge, id).await.expect("an answer");
        }
        assert_eq!(store.connections(), 1);
        // Now there is a second connection, which may carry what the first may not.
        for id in ["q1", "q2", "q3", "q4"] {
            complete(&edge, id).await.expect("an answer");
        }
        assert_eq!(store.connections(), 2);
        complete(&edge, "q1").await.expect("an answer");
        assert_eq!(store.connections(), 3);
    })
    .await;
}

/// At the limit of connections, one that may not carry a request gives way to a new one.
#[tokio::test]
async fn a_request_does_not_wait_for_connections_that_may_not_carry_it() {
    local(async {
        let store = Store::start("a", None, vec![]).await;
        let edge = Edge::with(&[&store]).await;
        edge.shared.stores.set_connection_limit("s", 2, 1);
        for _ in 0..5 {
            complete(&edge, "q1").await.expect("an answer");
        }
        assert_eq!(store.connections(), 5);
    })
    .await;
}

/// The ids that are kept for one connection are bounded, so it is closed after a number of requests.
#[tokio::test]
async fn a_connection_is_closed_before_its_ids_are_forgotten() {
    local(async {
        let store = Store::start("a", None, vec![]).await;
        let edge = Edge::with(&[&store]).await;
        for number in 0..300 {
            complete(&edge, &format!("q{number}")).await.expect("an answer");
        }
        assert_eq!(store.connections(), 2);
    })
    .await;
}

//! Requests of clients through the edge to stores in trouble: what runs where, and what the client is told.

mod common;
mod edge_common;

use bytes::Bytes;
use edge_common::{
    answer, full, local, ok, own_error, request, two, until, Client, Edge, Store, Turn, PATIENCE,
};
use gingerledge_data::stores::AttemptTimeouts;
use gingerledge_protocol::StoreState;
use http_body_util::Full;
use hyper::Request;

#[tokio::test]
async fn a_rejected_request_of_any_kind_is_retried_at_another_store() {
    for path in ["/idem/x", "/once/x", "/stream/x"] {
        local(async {
            let (edge, near, far) = two(vec![full()], vec![ok("far")]).await;
            let mut client = Client::connect(edge.address, None).await;
            let reply = client.ask("POST", path, "b1", "b").await;
            assert_eq!((reply.status(), reply.body()), (200, "far"));
            assert_eq!((near.heard().len(), far.heard().len()), (1, 1));
        })
        .await;
    }
}

/// Turns after which nobody can tell whether the request ran.
fn unclear() -> Vec<(&'static str, Turn)> {
    vec![
        ("reset", Turn::Reset),
        ("close", Turn::SayAndClose(String::new())),
        ("garbage", Turn::SayAndClose("\u{7f}\u{1}garbage\r\n\r\n".to_owned())),
        ("half a head", Turn::SayAndClose("HTTP/1.1 200 OK\r\nAttempt-".to_owned())),
        ("other id", Turn::Say(answer("200 OK", "", "x").replace("{id}", "other"))),
        ("no stamp", Turn::Say(answer("200 OK", "", "x").replace("Server-Signature: stamp\r\n", ""))),
        ("cut body", Turn::SayAndClose(answer("200 OK", "", "whole").replace("whole", "who"))),
        ("unpromised 503", Turn::Say(answer("503 Service Unavailable", "", ""))),
    ]
}

#[tokio::test]
async fn a_request_that_may_have_run_is_retried_only_if_idempotent() {
    for (name, turn) in unclear() {
        local(async {
            let (edge, near, far) = two(vec![turn], vec![]).await;
            let mut client = Client::connect(edge.address, None).await;
            let reply = client.ask("POST", "/once/x", "b2", "b").await;
            assert_eq!(reply.status(), 502, "{name}");
            assert_eq!((near.heard().len(), far.heard().len()), (1, 0), "{name}");
        })
        .await;
    }
    for (name, turn) in unclear() {
        local(async {
            let (edge, _near, far) = two(vec![turn], vec![ok("far")]).await;
            let mut client = Client::connect(edge.address, None).await;
            let reply = client.ask("POST", "/idem/x", "b3", "b").await;
            assert_eq!((reply.status(), reply.body()), (200, "far"), "{name}");
            assert_eq!(far.heard().len(), 1, "{name}");
        })
        .await;
    }
}

#[tokio::test]
async fn a_server_error_is_retried_elsewhere_and_else_forwarded() {
    local(async {
        let (edge, _near, _far) = two(vec![own_error()], vec![ok("far")]).await;
        let mut client = Client::connect(edge.address, None).await;
        assert_eq!(client.ask("POST", "/idem/x", "b4", "b").await.body(), "far");
    })
    .await;
    local(async {
        let (edge, near, far) = two(vec![own_error()], vec![own_error()]).await;
        let mut client = Client::connect(edge.address, None).await;
        let reply = client.ask("POST", "/idem/x", "b5", "b").await;
        assert_eq!((reply.status(), reply.body()), (500, "oops"));
        assert_eq!(reply.header("server-signature").as_deref(), Some("stamp"));
        assert_eq!((near.heard().len(), far.heard().len()), (1, 1));
    })
    .await;
    local(async {
        let (edge, _near, far) = two(vec![own_error()], vec![]).await;
        let mut client = Client::connect(edge.address, None).await;
        assert_eq!(client.ask("POST", "/once/x", "b6", "b").await.status(), 500);
        assert_eq!(far.heard().len(), 0);
    })
    .await;
}

#[tokio::test]
async fn no_more_stores_get_a_request_than_its_attempts() {
    local(async {
        let mut stores = Vec::new();
        for index in 0..5 {
            stores.push(Store::start(&format!("s{index}"), None, vec![full()]).await);
        }
        let edge = Edge::with(&stores.iter().collect::<Vec<_>>()).await;
        let mut client = Client::connect(edge.address, None).await;
        let reply = client.ask("POST", "/idem/x", "b7", "b").await;
        assert_eq!(reply.status(), 503);
        assert!(reply.header("retry-after").is_some());
        assert_eq!(stores.iter().map(|store| store.heard().len()).sum::<usize>(), 3);
    })
    .await;
}

#[tokio::test]
async fn a_late_response_is_not_taken_for_the_next_requests() {
    local(async {
        let late = answer("200 OK", "", "late").replace("{id}", "b8");
        let store = Store::start("a", None, vec![Turn::SayLate(answer("200 OK", "", "first"), late)]).await;
        let edge = Edge::with(&[&store]).await;
        let mut client = Client::connect(edge.address, None).await;
        assert_eq!(client.ask("POST", "/once/x", "b8", "b").await.body(), "first");
        let reply = client.ask("POST", "/once/x", "b9", "b").await;
        assert_eq!((reply.status(), reply.body()), (502, ""));
        assert_eq!(store.connections(), 1);
        assert_eq!(client.ask("POST", "/once/x", "b10", "b").await.body(), "a");
        assert_eq!(store.connections(), 2);
    })
    .await;
}

#[tokio::test]
async fn connections_are_reused() {
    local(async {
        let store = Store::start("a", None, vec![]).await;
        let edge = Edge::with(&[&store]).await;
        let mut client = Client::connect(edge.address, None).await;
        for index in 0..20 {
            assert_eq!(client.ask("POST", "/once/x", &format!("c{index}"), "b").await.status(), 200);
        }
        assert_eq!((store.heard().len(), store.connections()), (20, 1));
    })
    .await;
}

#[tokio::test]
async fn a_connection_is_reused_after_a_rejection_but_not_after_connection_close() {
    local(async {
        let farewell = Turn::Say(answer("200 OK", "Connection: close\r\n", "bye"));
        let full = answer("503 Service Unavailable", "Not-Executed: true\r\n", "no room");
        let store = Store::start("a", None, vec![Turn::Say(full), farewell]).await;
        let edge = Edge::with(&[&store]).await;
        let mut client = Client::connect(edge.address, None).await;
        assert_eq!(client.ask("POST", "/once/x", "c1", "b").await.status(), 503);
        assert_eq!(client.ask("POST", "/once/x", "c2", "b").await.body(), "bye");
        assert_eq!(store.connections(), 1);
        assert_eq!(client.ask("POST", "/once/x", "c3", "b").await.body(), "a");
        assert_eq!(store.connections(), 2);
    })
    .await;
}

#[tokio::test]
async fn a_long_body_that_is_interrupted_never_looks_complete() {
    local(async {
        let length = 200_000;
        let cut = answer("200 OK", "", &"x".repeat(length));
        let cut = cut.get(..cut.len() - 1_000).expect("shorter").to_owned();
        let store = Store::start("a", None, vec![Turn::SayAndClose(cut)]).await;
        let edge = Edge::with(&[&store]).await;
        let mut client = Client::connect(edge.address, None).await;
        let reply = client.ask("POST", "/idem/x", "d1", "b").await;
        assert_eq!((reply.status(), reply.complete), (200, false));
        assert_eq!(reply.header("content-length"), Some(length.to_string()));
    })
    .await;
}

#[tokio::test]
async fn draining_and_removed_stores_get_no_new_requests() {
    local(async {
        let (edge, near, far) = two(vec![], vec![]).await;
        edge.learn_store(&near, 2, StoreState::Draining);
        let mut client = Client::connect(edge.address, None).await;
        for index in 0..5 {
            assert_eq!(client.ask("POST", "/idem/x", &format!("f{index}"), "b").await.body(), "far");
        }
        edge.learn_store(&far, 2, StoreState::Draining);
        let reply = client.ask("POST", "/idem/x", "f9", "b").await;
        assert_eq!((reply.status(), near.heard().len(), far.heard().len()), (503, 0, 5));
    })
    .await;
}

#[tokio::test]
async fn a_request_that_waits_for_a_connection_to_a_removed_store_is_sent_elsewhere() {
    local(async {
        let whole = answer("200 OK", "", "near");
        let (head, tail) = whole.split_at(whole.len() - 2);
        let (head, tail) = (head.to_owned(), tail.to_owned());
        let held = || Turn::SayInParts(head.clone(), tail.clone());
        let (edge, near, far) = two(vec![held(), held()], vec![]).await;
        edge.learn_store(&far, 2, StoreState::Draining);
        edge.shared.stores.set_connection_limit("s", 2, 1);
        let mut clients = Vec::new();
        for index in 0..3 {
            let mut client = Client::connect(edge.address, None).await;
            client.send(&request("POST", "/once/x", &format!("w{index}"), "", "b")).await;
            let in_flight =
                || edge.shared.stores_for_service("s").first().map(|store| store.in_flight_requests.get());
            until("the request is out", || in_flight() == Some(index + 1)).await;
            clients.push(client);
        }
        until("two are at the store", || near.heard().len() == 2).await;
        edge.learn_store(&near, 2, StoreState::Draining);
        edge.learn_store(&far, 3, StoreState::Ready);
        near.go_on();
        near.go_on();
        let mut bodies = Vec::new();
        for client in &mut clients {
            bodies.push(client.read().await.body().to_owned());
        }
        assert_eq!((near.heard().len(), far.heard().len()), (2, 1));
        assert_eq!(bodies.iter().filter(|body| *body == "far").count(), 1, "{bodies:?}");
    })
    .await;
}

#[tokio::test]
async fn an_unreachable_store_is_skipped_and_then_suspect() {
    local(async {
        let (edge, near, far) = two(vec![], vec![]).await;
        let gone = near.moved_to("127.0.0.1:1");
        edge.learn_store(&gone, 2, StoreState::Ready);
        let mut client = Client::connect(edge.address, None).await;
        assert_eq!(client.ask("POST", "/once/x", "g1", "b").await.body(), "far");
        assert!(edge.shared.health.is_suspect("near", edge.shared.now()));
        assert_eq!((gone.heard().len(), far.heard().len()), (0, 1));
    })
    .await;
}

#[tokio::test]
async fn edges_divide_a_stores_connection_limit() {
    local(async {
        let store = Store::start("a", None, vec![Turn::Silent, Turn::Silent, Turn::Silent]).await;
        let edge = Edge::with(&[&store]).await;
        edge.shared.stores.set_connection_limit("s", 8, 4);
        let mut clients = Vec::new();
        for index in 0..3 {
            let mut client = Client::connect(edge.address, None).await;
            client.send(&request("POST", "/once/x", &format!("l{index}"), "", "b")).await;
            clients.push(client);
        }
        let mut last = clients.pop().expect("client");
        let reply = last.read().await;
        assert_eq!((reply.status(), store.connections()), (503, 2));
    })
    .await;
}

/// The near store reports requests of others, and nothing is known of the far one, which is no reason to open a connection to it.
#[tokio::test]
async fn a_store_of_unknown_load_is_no_better_than_one_with_an_idle_connection() {
    local(async {
        let loaded = || Turn::Say(answer("200 OK", "Server-Load: 3,0,4\r\n", "near"));
        let (edge, near, far) = two(vec![loaded(), loaded(), loaded()], vec![]).await;
        let mut client = Client::connect(edge.address, None).await;
        for id in ["u1", "u2", "u3"] {
            assert_eq!(client.ask("POST", "/idem/x", id, "b").await.body(), "near");
        }
        assert_eq!((near.connections(), far.connections()), (1, 0));
    })
    .await;
}

#[tokio::test]
async fn an_idle_connection_is_closed_for_another_store_at_the_total_limit() {
    local(async {
        let (edge, near, far) = two(vec![], vec![]).await;
        edge.shared.stores.set_total_connection_limit(1);
        let mut client = Client::connect(edge.address, None).await;
        assert_eq!(client.ask("POST", "/once/x", "m1", "b").await.body(), "near");
        edge.learn_store(&near, 2, StoreState::Draining);
        assert_eq!(client.ask("POST", "/once/x", "m2", "b").await.body(), "far");
        until("resting connection closed", || near.closed() == 1).await;
        assert_eq!(far.connections(), 1);
    })
    .await;
}

/// A request whose client waits for a short time only.
fn hurried(path: &str, id: &str, milliseconds: u64) -> String {
    request("POST", path, id, "", "b").replace("Deadline-Ms: 5000", &format!("Deadline-Ms: {milliseconds}"))
}

#[tokio::test]
async fn an_unresponsive_store_times_out_earlier_where_a_retry_is_possible() {
    local(async {
        let (edge, _near, far) = two(vec![Turn::Silent], vec![]).await;
        let mut client = Client::connect(edge.address, None).await;
        let began = std::time::Instant::now();
        client.send(&hurried("/once/x", "o1", 200)).await;
        assert_eq!((client.read().await.status(), far.heard().len()), (504, 0));
        assert!(began.elapsed() >= std::time::Duration::from_millis(200));
    })
    .await;
    local(async {
        let (edge, near, _far) = two(vec![Turn::Silent], vec![]).await;
        let mut client = Client::connect(edge.address, None).await;
        client.send(&hurried("/idem/x", "o2", 1_500)).await;
        assert_eq!(client.read().await.body(), "far");
        until("silent store's connection closed", || near.closed() == 1).await;
    })
    .await;
}

#[tokio::test]
async fn an_unread_response_returns_its_connection_only_if_complete() {
    local(async {
        let part = Turn::SayInParts(answer("200 OK", "", "whole").replace("whole", "who"), String::new());
        let store = Store::start("a", None, vec![ok("whole"), part]).await;
        let edge = Edge::with(&[&store]).await;
        let target = edge.shared.stores_for_service("s")[0].target.clone();
        let timings = AttemptTimeouts { connect: PATIENCE, head: PATIENCE, idle: PATIENCE };
        for (id, connections) in [("q1", 1), ("q2", 1), ("q3", 2)] {
            let request = Request::post("/x").header("attempt-id", id).body(Full::new(Bytes::new()));
            let answer = edge.shared.stores.send(&target, request.expect("request"), timings).await;
            drop(answer.expect("answer"));
            assert_eq!(store.connections(), connections, "{id}");
        }
        store.go_on();
        until("unread answer's connection closed", || store.closed() == 1).await;
    })
    .await;
}

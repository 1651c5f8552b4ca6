//! What the front lets in: bounds, limits, configurations, clients that leave, and the end of the process.

mod common;
mod edge_common;

use edge_common::{answer, local, request, until, Client, Edge, Store, Turn};
use gingerledge_data::front::FrontLimits;
use gingerledge_protocol::StoreState;

#[tokio::test]
async fn the_request_of_a_disconnected_client_is_cancelled_at_the_store() {
    local(async {
        let store = Store::start("a", None, vec![Turn::Silent]).await;
        let edge = Edge::with(&[&store]).await;
        let mut client = Client::connect(edge.address, None).await;
        client.send(&request("POST", "/once/x", "e1", "", "b")).await;
        until("request heard", || store.heard().len() == 1).await;
        assert_eq!(edge.shared.in_flight_counts.count("a"), 1);
        drop(client);
        until("store's connection closed", || store.closed() == 1).await;
        until("count given back", || edge.shared.in_flight_counts.count("a") == 0).await;
    })
    .await;
}

#[tokio::test]
async fn an_edge_with_a_stale_registry_denies_no_route() {
    local(async {
        let edge = Edge::start().await;
        let mut client = Client::connect(edge.address, None).await;
        assert_eq!(client.ask("GET", "/idem/x", "h1", "").await.status(), 503);
        edge.learn_configuration(1, &edge_common::configuration(1));
        assert_eq!(client.ask("GET", "/nowhere/x", "h2", "").await.status(), 503);
        edge.tick();
        assert_eq!(client.ask("GET", "/nowhere/x", "h3", "").await.status(), 404);
    })
    .await;
}

#[tokio::test]
async fn the_newest_configuration_is_in_force_and_never_replaced_by_an_older_one() {
    local(async {
        let store = Store::start("a", None, vec![]).await;
        let edge = Edge::with(&[&store]).await;
        let without = edge_common::configuration(2).replace("/idem/", "/moved/");
        edge.learn_configuration(2, &without);
        edge.learn_configuration(1, &edge_common::configuration(1));
        let mut client = Client::connect(edge.address, None).await;
        assert_eq!(client.ask("GET", "/idem/x", "h4", "").await.status(), 404);
        assert_eq!(client.ask("GET", "/moved/x", "h5", "").await.status(), 200);
    })
    .await;
}

#[tokio::test]
async fn a_body_over_the_limit_is_rejected_unread() {
    local(async {
        let store = Store::start("a", None, vec![]).await;
        let edge = Edge::with(&[&store]).await;
        let mut client = Client::connect(edge.address, None).await;
        client.send("POST /idem/x HTTP/1.1\r\nHost: example.test\r\nAttempt-Id: i1\r\nContent-Length: 1000001\r\n\r\n").await;
        assert_eq!(client.read().await.status(), 413);
        assert_eq!(store.heard().len(), 0);
    })
    .await;
}

#[tokio::test]
async fn request_hidden_in_another_never_reaches_a_store() {
    local(async {
        let store = Store::start("a", None, vec![]).await;
        let edge = Edge::with(&[&store]).await;
        let mut client = Client::connect(edge.address, None).await;
        let hidden = request("POST", "/once/hidden", "i3", "", "");
        let chunk = format!("{:x}\r\n{hidden}\r\n0\r\n\r\n", hidden.len());
        client
            .send(&request(
                "POST",
                "/once/x",
                "i2",
                "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
                "",
            ))
            .await;
        client.send(&chunk).await;
        client.read().await;
        let heard = store.heard();
        assert!(heard.len() <= 1, "{heard:?}");
        assert!(heard.iter().all(|request| request.contains(&format!("content-length: {}", hidden.len()))));
    })
    .await;
}

#[tokio::test]
async fn requests_beyond_the_limit_are_rejected_without_delay() {
    local(async {
        let store = Store::start("a", None, vec![Turn::Silent]).await;
        let edge = Edge::start_with(FrontLimits {
            connections: 8,
            store_connections: 64,
            requests: 1,
            body_bytes: 1_000,
        })
        .await;
        edge.learn_configuration(1, &edge_common::configuration(1));
        edge.learn_store(&store, 1, StoreState::Ready);
        let mut first = Client::connect(edge.address, None).await;
        first.send(&request("POST", "/once/x", "j1", "", "b")).await;
        until("request heard", || store.heard().len() == 1).await;
        let mut second = Client::connect(edge.address, None).await;
        let reply = second.ask("POST", "/once/x", "j2", "b").await;
        assert_eq!((reply.status(), reply.header("retry-after").is_some()), (503, true));
        drop(first);
        until("request dropped", || edge.front.budget.requests_in_flight() == 0).await;
        assert_eq!(second.ask("POST", "/once/x", "j3", "b").await.status(), 200);
    })
    .await;
}

#[tokio::test]
async fn a_connection_beyond_the_limit_replaces_the_one_idle_for_longest() {
    local(async {
        let store = Store::start("a", None, vec![]).await;
        let edge = Edge::start_with(FrontLimits {
            connections: 2,
            store_connections: 64,
            requests: 8,
            body_bytes: 1_000,
        })
        .await;
        edge.learn_configuration(1, &edge_common::configuration(1));
        edge.learn_store(&store, 1, StoreState::Ready);
        let mut first = Client::connect(edge.address, None).await;
        assert_eq!(first.ask("POST", "/once/x", "k1", "b").await.status(), 200);
        let mut second = Client::connect(edge.address, None).await;
        assert_eq!(second.ask("POST", "/once/x", "k2", "b").await.status(), 200);
        let mut third = Client::connect(edge.address, None).await;
        assert_eq!(third.ask("POST", "/once/x", "k3", "b").await.status(), 200);
        assert_eq!(first.read_some().await, None);
        assert_eq!(second.ask("POST", "/once/x", "k4", "b").await.status(), 200);
    })
    .await;
}

#[tokio::test]
async fn a_request_in_flight_is_completed_during_a_shutdown() {
    local(async {
        let slow = Turn::SayInParts(String::new(), answer("200 OK", "", "whole"));
        let store = Store::start("a", None, vec![slow]).await;
        let edge = Edge::with(&[&store]).await;
        let mut client = Client::connect(edge.address, None).await;
        client.send(&request("POST", "/once/x", "p1", "", "b")).await;
        until("request heard", || store.heard().len() == 1).await;
        edge.shared.start_shutdown();
        store.go_on();
        let reply = client.read().await;
        assert_eq!((reply.body(), reply.header("connection").as_deref()), ("whole", Some("close")));
    })
    .await;
}

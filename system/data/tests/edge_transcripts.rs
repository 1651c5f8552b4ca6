//! Whole exchanges between a client, the edge and stores, compared with approved transcripts.

mod common;
mod edge_common;

use edge_common::transcript;
use edge_common::{answer, event, events, local, request, Client, Edge, Store, Turn};

/// A full store's refusal.
fn full() -> String {
    answer("503 Service Unavailable", "Not-Executed: true\r\nRetry-After: 1\r\n", "")
}

#[tokio::test]
async fn a_request_and_its_response_are_forwarded_unchanged() {
    local(async {
        let transcript = transcript();
        let reply =
            answer("200 OK", "Keep-Alive: timeout=5\r\nConnection: keep-alive\r\nX-Own: 1\r\n", "the body");
        let store = Store::start("store-a", Some(&transcript), vec![Turn::Say(reply)]).await;
        let edge = Edge::with(&[&store]).await;
        let mut client = Client::connect(edge.address, Some(&transcript)).await;
        let headers = "Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nX-End: 2\r\nTE: trailers\r\n";
        client.send(&request("PUT", "/idem/a%20b/../c?x=1&y=%2F", "aa01", headers, "payload")).await;
        client.read().await;
        transcript.check("unchanged");
    })
    .await;
}

#[tokio::test]
async fn a_chunked_request_is_forwarded_complete() {
    local(async {
        let transcript = transcript();
        let store = Store::start("store-a", Some(&transcript), vec![]).await;
        let edge = Edge::with(&[&store]).await;
        let mut client = Client::connect(edge.address, Some(&transcript)).await;
        let head = request("POST", "/once/x", "aa02", "Transfer-Encoding: chunked\r\n", "");
        client.send(&format!("{head}3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")).await;
        client.read().await;
        transcript.check("chunked-request");
    })
    .await;
}

#[tokio::test]
async fn a_rejected_request_is_reported_as_never_run() {
    local(async {
        let transcript = transcript();
        let store = Store::start("store-a", Some(&transcript), vec![Turn::Say(full())]).await;
        let edge = Edge::with(&[&store]).await;
        let mut client = Client::connect(edge.address, Some(&transcript)).await;
        client.ask("POST", "/once/x", "aa03", "b").await;
        transcript.check("refused");
    })
    .await;
}

#[tokio::test]
async fn a_reset_request_that_is_not_idempotent_is_not_reported_as_never_run() {
    local(async {
        let transcript = transcript();
        let store = Store::start("store-a", Some(&transcript), vec![Turn::Reset]).await;
        let edge = Edge::with(&[&store]).await;
        let mut client = Client::connect(edge.address, Some(&transcript)).await;
        client.ask("POST", "/once/x", "aa04", "b").await;
        transcript.check("reset-once");
    })
    .await;
}

#[tokio::test]
async fn a_surplus_response_belongs_to_no_request() {
    local(async {
        let transcript = transcript();
        let twice = format!("{}{}", answer("200 OK", "", "first"), answer("200 OK", "", "surplus"));
        let store = Store::start("store-a", Some(&transcript), vec![Turn::Say(twice)]).await;
        let edge = Edge::with(&[&store]).await;
        let mut client = Client::connect(edge.address, Some(&transcript)).await;
        client.ask("POST", "/once/x", "aa05", "b").await;
        client.ask("POST", "/once/x", "aa06", "b").await;
        transcript.check("surplus");
    })
    .await;
}

#[tokio::test]
async fn a_stream_interrupted_within_an_event_is_resumed_within_the_response() {
    local(async {
        let transcript = transcript();
        let cut = events(&[&event(1), &event(2), "id: 3\nda"]);
        let rest = format!("{}0\r\n\r\n", events(&[&event(3), &event(4)]));
        let turns = vec![Turn::SayAndClose(cut)];
        let first = Store::start("store-a", Some(&transcript), turns).await;
        let edge = Edge::with(&[&first]).await;
        let second = Store::start_in("store-b", "away", Some(&transcript), vec![Turn::Say(rest)]).await;
        edge.learn_store(&second, 1, gingerledge_protocol::StoreState::Ready);
        let mut client = Client::connect(edge.address, Some(&transcript)).await;
        client.ask("POST", "/resume/x", "aa07", "b").await;
        transcript.check("resumed-stream");
    })
    .await;
}

#[tokio::test]
async fn unknown_route() {
    local(async {
        let transcript = transcript();
        let edge = Edge::with(&[]).await;
        let mut client = Client::connect(edge.address, Some(&transcript)).await;
        client.ask("GET", "/nowhere/x", "aa08", "").await;
        transcript.check("no-route");
    })
    .await;
}

#[tokio::test]
async fn an_edge_in_shutdown_asks_its_clients_to_reconnect() {
    local(async {
        let transcript = transcript();
        let store = Store::start("store-a", Some(&transcript), vec![]).await;
        let edge = Edge::with(&[&store]).await;
        let mut client = Client::connect(edge.address, Some(&transcript)).await;
        edge.shared.start_shutdown();
        client.ask("GET", "/idem/x", "aa09", "").await;
        assert_eq!(client.read_some().await, None);
        transcript.check("stopping");
    })
    .await;
}

#[tokio::test]
async fn requests_that_reach_no_store() {
    local(async {
        let transcript = transcript();
        let edge = Edge::with(&[]).await;
        let without_id = request("POST", "/once/x", "aa10", "", "b").replace("Attempt-Id: aa10\r\n", "");
        // The configuration allows a million bytes.
        let too_long = request("POST", "/once/x", "aa11", "Content-Length: 1000001\r\n", "");
        for text in [without_id, too_long] {
            let mut client = Client::connect(edge.address, Some(&transcript)).await;
            client.send(&text).await;
            client.read().await;
        }
        let unaware = Edge::start().await;
        let mut client = Client::connect(unaware.address, Some(&transcript)).await;
        client.ask("GET", "/idem/x", "aa12", "").await;
        transcript.check("no-store");
    })
    .await;
}

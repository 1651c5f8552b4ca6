//! Streams through the edge: events pass as they come, once and whole, and a cut never looks like the end.

mod common;
mod edge_common;

use edge_common::{event, events, full, local, request, two, Client, Edge, Store, Turn};

#[tokio::test]
async fn an_interrupted_stream_that_is_not_resumable_never_looks_complete() {
    local(async {
        let cut = events(&[&event(1), "id: 2\nda"]);
        let (edge, _near, far) = two(vec![Turn::SayAndClose(cut)], vec![]).await;
        let mut client = Client::connect(edge.address, None).await;
        let reply = client.ask("POST", "/stream/x", "d2", "b").await;
        assert_eq!((reply.status(), reply.complete, far.heard().len()), (200, false, 0));
    })
    .await;
}

#[tokio::test]
async fn an_interrupted_stream_that_no_store_resumes_never_looks_complete() {
    local(async {
        let cut = events(&[&event(1), "id: 2\nda"]);
        let (edge, near, far) = two(vec![Turn::SayAndClose(cut)], vec![full()]).await;
        let mut client = Client::connect(edge.address, None).await;
        let reply = client.ask("POST", "/resume/x", "d3", "b").await;
        assert_eq!((reply.status(), reply.complete), (200, false));
        assert_eq!(reply.unchunked(), event(1));
        assert_eq!((near.heard().len(), far.heard().len()), (1, 1));
    })
    .await;
}

#[tokio::test]
async fn a_stream_that_ends_within_an_event_is_resumed() {
    local(async {
        let ended = format!("{}0\r\n\r\n", events(&[&event(1), "id: 2\nda"]));
        let rest = format!("{}0\r\n\r\n", events(&[&event(2)]));
        let (edge, _near, far) = two(vec![Turn::Say(ended)], vec![Turn::Say(rest)]).await;
        let mut client = Client::connect(edge.address, None).await;
        let reply = client.ask("POST", "/resume/x", "d5", "b").await;
        assert_eq!((reply.complete, far.heard().len()), (true, 1));
        assert_eq!(reply.unchunked(), format!("{}{}", event(1), event(2)));
    })
    .await;
}

#[tokio::test]
async fn repeated_events_are_forwarded_once() {
    local(async {
        let cut = events(&[&event(1), &event(2)]);
        let again = format!("{}0\r\n\r\n", events(&[&event(2), &event(3)]));
        let (edge, _near, _far) = two(vec![Turn::SayAndClose(cut)], vec![Turn::Say(again)]).await;
        let mut client = Client::connect(edge.address, None).await;
        let reply = client.ask("POST", "/resume/x", "d6", "b").await;
        assert_eq!(reply.unchunked(), format!("{}{}{}", event(1), event(2), event(3)));
    })
    .await;
}

#[tokio::test]
async fn events_are_forwarded_as_they_arrive() {
    for path in ["/stream/x", "/resume/x"] {
        local(async {
            let (head, tail) = (events(&[&event(1)]), format!("10\r\n{}\r\n0\r\n\r\n", event(2)));
            let store = Store::start("a", None, vec![Turn::SayInParts(head, tail)]).await;
            let edge = Edge::with(&[&store]).await;
            let mut client = Client::connect(edge.address, None).await;
            client.send(&request("POST", path, "d4", "", "b")).await;
            let mut seen = String::new();
            while !seen.contains(&event(1)) {
                seen.push_str(&client.read_some().await.expect("first event"));
            }
            assert!(!seen.contains("id: 2"));
            store.go_on();
            let rest = client.read().await.text;
            assert!(rest.contains(&event(2)) || seen.contains(&event(2)));
        })
        .await;
    }
}

#[tokio::test]
async fn the_stream_of_an_unresponsive_store_is_resumed_elsewhere() {
    local(async {
        let rest = format!("{}0\r\n\r\n", events(&[&event(2)]));
        let silent = Turn::SayInParts(events(&[&event(1)]), String::new());
        let (edge, _near, far) = two(vec![silent], vec![Turn::Say(rest)]).await;
        let mut client = Client::connect(edge.address, None).await;
        let reply = client.ask("POST", "/resume/x", "o3", "b").await;
        assert_eq!(reply.unchunked(), format!("{}{}", event(1), event(2)));
        assert!(far.heard().iter().all(|request| request.contains("last-event-id: 1\r\n")));
    })
    .await;
}

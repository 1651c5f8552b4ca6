//! The edge as a whole: it learns from a control node, serves, reads its settings again, and ends in good order.

mod common;
mod edge_common;

use std::cell::Cell;
use std::convert::Infallible;
use std::net::{Ipv4Addr, SocketAddr};
use std::process::Command;
use std::rc::Rc;
use std::time::{Duration, Instant};

use edge_common::control::Control;
use edge_common::{configuration, configuration_entry, local, store_entry, until, Client, Store};
use gingerledge_data::node;
use gingerledge_protocol::{Settings, StoreState};

const GRACE: Duration = Duration::from_secs(2);

/// An address of this test alone.
fn own_ip(host: u8) -> Ipv4Addr {
    let process = std::process::id();
    Ipv4Addr::new(127, 70 + (process >> 8 & 63) as u8, process as u8, host)
}

fn settings() -> Settings {
    let ip = own_ip(1);
    let text = format!(
        r#"{{"nodeName":"edge-1","role":"edge","machineClass":"edge","ip":"{ip}","zone":"home",
        "listen":{{"frontend":"{ip}:8149","readiness":"{ip}:8141"}},
        "internalPorts":[7380,7395],"seeds":["{}:8144"],"bounds":{{"graceS":{}}}}}"#,
        own_ip(2),
        GRACE.as_secs()
    );
    Settings::parse(text.as_bytes()).expect("settings")
}

fn address(host: u8, port: u16) -> SocketAddr {
    SocketAddr::new(own_ip(host).into(), port)
}

async fn is_ready() -> bool {
    let mut client = Client::connect(address(1, 8141), None).await;
    client.ask("GET", "/readiness", "r", "").await.status() == 200
}

/// Asks as the platform does, and writes it down.
async fn note_readiness(transcript: &gingerledge_system_testkit::Transcript) {
    let mut client = Client::connect(address(1, 8141), Some(transcript)).await;
    client.ask("GET", "/readiness", "r", "").await;
}

async fn until_ready(expected: bool) {
    let began = Instant::now();
    while is_ready().await != expected {
        assert!(began.elapsed() < edge_common::PATIENCE, "ready: not {expected} in time");
    }
}

fn signal(name: &str) {
    let process = std::process::id().to_string();
    let status = Command::new("kill").args([&format!("-{name}"), &process]).status();
    assert!(status.expect("kill").success());
}

#[tokio::test]
async fn an_edge_starts_serves_reloads_its_settings_and_shuts_down_gracefully() {
    local(async {
        let control = Control::start(address(2, 7380)).await;
        let store = Store::start("a", None, vec![]).await;
        let read_again = Rc::new(Cell::new(0));
        let counter = Rc::clone(&read_again);
        let edge = tokio::task::spawn_local(node::run(settings(), move || {
            counter.set(counter.get() + 1);
            Ok::<_, Infallible>(settings())
        }));

        until("heartbeat", || !control.heartbeats.borrow().is_empty()).await;
        let incarnation = control.heartbeats.borrow()[0].incarnation;
        assert!(!is_ready().await);
        let transcript = edge_common::transcript();
        note_readiness(&transcript).await;
        control.learn(vec![configuration_entry(1, &configuration(1))]);
        control.learn(vec![store_entry(&store, 1, StoreState::Ready)]);
        until_ready(true).await;
        note_readiness(&transcript).await;
        let mut client = Client::connect(address(1, 8149), None).await;
        assert_eq!(client.ask("POST", "/once/x", "n1", "b").await.body(), "a");

        signal("HUP");
        until("settings read again", || read_again.get() == 1).await;
        let reply = client.ask("POST", "/once/x", "n2", "b").await;
        assert_eq!((reply.body(), reply.header("connection")), ("a", None));

        let told = Instant::now();
        signal("TERM");
        until_ready(false).await;
        note_readiness(&transcript).await;
        let reply = client.ask("POST", "/once/x", "n3", "b").await;
        assert_eq!((reply.body(), reply.header("connection").as_deref()), ("a", Some("close")));
        assert_eq!(client.read_some().await, None);
        edge.await.expect("no panic").expect("a good end");
        assert!(told.elapsed() < GRACE, "ended after {:?}", told.elapsed());
        transcript.check("readiness");
        until("farewell", || *control.farewells.borrow() == [incarnation]).await;
    })
    .await;
}

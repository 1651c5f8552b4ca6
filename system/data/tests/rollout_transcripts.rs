//! Whole exchanges of trainers with the edge, and of its driver with stores, compared with approved transcripts.

mod common;
mod edge_common;
mod rollout_common;

use std::net::SocketAddr;
use std::rc::Rc;

use common::runtime::local;
use edge_common::{transcript, Client};
use gingerledge_data::front::{self, Front, FrontLimits};
use gingerledge_system_testkit::Transcript;
use gingerledge_wire::JobsResponse;
use rollout_common::{loopback, until, Does, Engine, Route, Says, World, EVENTS};
use tokio::net::TcpListener;

const SUBMISSION: &str = concat!(
    r#"{"step":7,"model":"model","minVersion":2,"desired":1,"items":[{"id":"i0","path":"/jobs/0?q=1","#,
    r#""headers":{"Model":"model","Token-Count":"5,4"},"body":"Ym9keSAw","tokens":9,"group":"g0","#,
    r#""scoringEndpoint":{"id":"r0","host":"example.test","path":"/reward/x","body":"c2NvcmUgbWU="}}]}"#
);

/// The front of a world's edge.
async fn serve(world: &World) -> SocketAddr {
    let bounds = FrontLimits { connections: 64, store_connections: 64, requests: 64, body_bytes: 4_000_000 };
    let listener = TcpListener::bind(loopback()).await.expect("listener");
    let address = listener.local_addr().expect("address");
    tokio::task::spawn_local(front::serve(Rc::clone(&world.shared), Front::new(bounds), listener));
    address
}

/// One call of a trainer, on a connection of its own.
async fn call(front: SocketAddr, transcript: &Transcript, method: &str, path: &str, id: &str, body: &str) {
    Client::connect(front, Some(transcript)).await.ask(method, path, id, body).await;
}

/// What a store heard, and in which order.
fn note_heard(transcript: &Transcript, engine: &Engine) {
    for asked in engine.heard() {
        transcript.note(&format!("edge to {}", engine.id), &asked.text);
    }
}

#[tokio::test]
async fn batch_job_is_submitted_read_and_ended() {
    local(async {
        let transcript = transcript();
        let world = World::start(Route::default()).await;
        let front = serve(&world).await;
        call(front, &transcript, "POST", "/jobs/x", "j", SUBMISSION).await;
        call(front, &transcript, "GET", "/items/j?id=i0", "t1", "").await;
        call(front, &transcript, "GET", "/items/j?id=other", "t2", "").await;
        call(front, &transcript, "GET", "/items/j", "t3", "").await;
        call(front, &transcript, "GET", "/lots/j?startAfter=0", "t4", "").await;
        let engine = Engine::start("engine-1", 2, |asked| match asked.nth {
            0 => Does::CutAfter(EVENTS - 2),
            _ => Does::Stream,
        })
        .await;
        world.learn_engine(&engine);
        until("the result", || world.backend.results("j").len() == 1).await;
        note_heard(&transcript, &engine);
        note_heard(&transcript, &world.rewards);
        call(front, &transcript, "GET", "/lots/j?startAfter=0", "t5", "").await;
        call(front, &transcript, "GET", "/lots/j?startAfter=1", "t6", "").await;
        call(front, &transcript, "POST", "/jobs/x", "j", SUBMISSION).await;
        call(front, &transcript, "DELETE", "/lots/j", "t7", "").await;
        call(front, &transcript, "DELETE", "/lots/j", "t8", "").await;
        call(front, &transcript, "POST", "/jobs/x", "j", SUBMISSION).await;
        transcript.check("batch-job");
    })
    .await;
}

#[tokio::test]
async fn abandoned_item_is_listed_without_a_score() {
    local(async {
        let transcript = transcript();
        let world = World::start(Route::default()).await;
        let front = serve(&world).await;
        let engine = Engine::start("engine-1", 2, |_| Does::Answer("422 Unprocessable Entity")).await;
        world.learn_engine(&engine);
        call(front, &transcript, "POST", "/jobs/x", "j", SUBMISSION).await;
        until("the result", || world.backend.results("j").len() == 1).await;
        note_heard(&transcript, &engine);
        call(front, &transcript, "GET", "/lots/j?startAfter=0", "t1", "").await;
        transcript.check("abandoned-item");
    })
    .await;
}

#[tokio::test]
async fn calls_that_are_wrong_are_refused() {
    local(async {
        let transcript = transcript();
        let world = World::start(Route::default()).await;
        let front = serve(&world).await;
        call(front, &transcript, "POST", "/jobs/x", "j", "{").await;
        call(front, &transcript, "POST", "/jobs/x", "", SUBMISSION).await;
        call(front, &transcript, "POST", "/lots/j", "t1", "").await;
        call(front, &transcript, "GET", "/lots/other", "t2", "").await;
        call(front, &transcript, "DELETE", "/lots/other", "t3", "").await;
        call(front, &transcript, "GET", "/items/other?id=i0", "t4", "").await;
        // The configuration allows a million bytes; the head alone shows that there are more.
        let mut client = Client::connect(front, Some(&transcript)).await;
        let length = "Content-Length: 1000001\r\n";
        client.send(&edge_common::request("POST", "/jobs/x", "k", length, "")).await;
        client.read().await;
        transcript.check("batch-job-refused");
    })
    .await;
}

#[tokio::test]
async fn nothing_is_promised_that_the_backend_has_not_said() {
    local(async {
        let transcript = transcript();
        let world = World::start(Route::default()).await;
        let front = serve(&world).await;
        let says = [
            ("no room", Says::This(JobsResponse::CapacityExceeded)),
            ("not now", Says::This(JobsResponse::Unavailable)),
            ("another answer", Says::This(JobsResponse::Appended)),
        ];
        for (what, answer) in says {
            world.backend.says(move |_| Some(answer.clone()));
            transcript.note("backend", what);
            let mut client = Client::connect(front, Some(&transcript)).await;
            let text = edge_common::request("POST", "/jobs/x", "j", "", SUBMISSION);
            client.send(&text.replace("Deadline-Ms: 5000", "Deadline-Ms: 400")).await;
            client.read().await;
        }
        world.backend.says(|_| Some(Says::This(JobsResponse::Unavailable)));
        transcript.note("backend", "not now");
        call(front, &transcript, "GET", "/lots/j?startAfter=0", "t1", "").await;
        call(front, &transcript, "GET", "/items/j?id=i0", "t2", "").await;
        call(front, &transcript, "DELETE", "/lots/j", "t3", "").await;
        transcript.check("batch-job-not-known");
    })
    .await;
}

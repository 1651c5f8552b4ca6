//! Whole exchanges of the operator, trainers and stores with three control nodes on loopback, compared with approved transcripts.

use yare::parameterized;

use crate::common::{run, Call, Cluster, NEWCOMER};

const REPLACE: &str = "/configuration/replace";
const READ: &str = "/configuration/read";
/// A store that is silent for so long is taken to be gone: three of its intervals.
const SESSION_TIMEOUT: std::time::Duration =
    std::time::Duration::from_millis(3 * crate::common::HEARTBEAT_MS);
const HEARTBEAT: &str = "/instances/i-1/heartbeat";

fn configuration(version: u64) -> String {
    format!(r#"{{"version":{version},"routes":[],"services":[{{"name":"s","healthPath":"/healthz"}}]}}"#)
}

fn heartbeat(sequence: u64, state: &str) -> String {
    format!(
        r#"{{"service":"s","address":"10.1.0.9:8080","zone":"z","version":"v1","slots":12,"state":"{state}","coldRemainingMs":0,"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"sequence":{sequence}}}"#
    )
}

/// Waits until the nodes take writes.
pub async fn ready(cluster: &Cluster) {
    let named = Call::post("/version-put", "", r#"{"model":"warm","version":2}"#);
    for node in 0..3 {
        cluster.until(node, &named, 200).await;
    }
}

#[test]
fn configurations_are_applied_rejected_and_read_back() {
    run(async {
        let cluster = Cluster::start(1);
        ready(&cluster).await;
        let transcript = crate::common::transcript();
        let (first, second, rival) = (configuration(5), configuration(9), configuration(7));
        let calls = [
            (2, Call::get(READ)),
            (0, Call::post(REPLACE, "Base-Version: 0\r\n", &first)),
            (1, Call::post(REPLACE, "Base-Version: 0\r\n", &first)),
            (1, Call::post(REPLACE, "Base-Version: 0\r\n", &rival)),
            (2, Call::post(REPLACE, "Base-Version: 5\r\n", &second)),
            (2, Call::post(REPLACE, "Base-Version: 9\r\n", &rival)),
            (0, Call::post(REPLACE, "Base-Version: 0\r\n", &first)),
            (1, Call::post(REPLACE, "", &second)),
            (1, Call::post(REPLACE, "Base-Version: nine\r\n", &second)),
            (1, Call::post(REPLACE, "Base-Version: 9\r\n", &second[..second.len() - 4])),
            (0, Call::get(READ)),
        ];
        for (node, call) in &calls {
            cluster.call(*node, call, Some(&transcript)).await;
        }
        transcript.check("configurations");
    });
}

#[test]
fn versions_are_named_whenever_they_come() {
    run(async {
        let cluster = Cluster::start(2);
        ready(&cluster).await;
        let transcript = crate::common::transcript();
        let bodies = [
            r#"{"model":"m","version":2}"#,
            r#"{"model":"m","version":2}"#,
            r#"{"model":"m","version":3}"#,
            r#"{"model":"m","version":2}"#,
            r#"{"model":"","version":2}"#,
            r#"{"model":"m"}"#,
            r#"{"model":"m","#,
        ];
        for (at, body) in bodies.iter().enumerate() {
            cluster.call((at % 3) as u8, &Call::post("/version-put", "", body), Some(&transcript)).await;
        }
        transcript.check("versions");
    });
}

/// Waits until a node asks stores to stay: the chain has confirmed it a moment ago.
async fn confirmed_a_moment_ago(cluster: &Cluster, node: u8) {
    let warm = heartbeat(1, "ready").replace("10.1.0.9", "10.1.0.8");
    let stays = |answer: &crate::common::Answer| answer.body().contains("heartbeatAddress");
    let call = Call::post("/instances/i-warm/heartbeat", "", &warm);
    while !stays(&cluster.until(node, &call, 200).await) {
        cluster.call(node, &Call::get(READ), None).await;
    }
}

#[test]
fn a_store_sends_heartbeats_and_deregisters() {
    run(async {
        let cluster = Cluster::start(3);
        ready(&cluster).await;
        confirmed_a_moment_ago(&cluster, 0).await;
        let transcript = crate::common::transcript();
        let (alive, leaving) = (heartbeat(4, "ready"), heartbeat(5, "draining"));
        let calls = [
            (0, Call::post(HEARTBEAT, "", &alive)),
            (0, Call::post(HEARTBEAT, "", &leaving)),
            (1, Call::post(HEARTBEAT, "", &leaving)),
            (0, Call::post(HEARTBEAT, "", "{\"service\":")),
            (1, Call::post("/instances/i-1/deregister", "", "")),
            (2, Call::post("/instances/i-1/deregister", "", "")),
        ];
        for (node, call) in &calls {
            cluster.call(*node, call, Some(&transcript)).await;
        }
        transcript.check("store");
    });
}

/// The store's state at a node, from its status.
async fn state_at(cluster: &Cluster, node: u8) -> Option<String> {
    let answer = cluster.call(node, &Call::get("/status"), None).await?;
    let status: serde_json::Value = serde_json::from_str(answer.body()).ok()?;
    let stores = status["stores"].as_array()?;
    stores.iter().find(|store| store["id"] == "i-1")?["state"].as_str().map(str::to_owned)
}

#[test]
fn every_node_knows_of_a_draining_store_once_it_is_acknowledged() {
    run(async {
        let cluster = Cluster::start(4);
        ready(&cluster).await;
        for (sequence, state) in [(4, "ready"), (5, "draining")] {
            let body = heartbeat(sequence, state);
            cluster.until(0, &Call::post(HEARTBEAT, "", &body), 200).await;
        }
        for node in 0..3 {
            assert_eq!(state_at(&cluster, node).await.as_deref(), Some("draining"), "node {node}");
        }
        cluster.until(2, &Call::post("/instances/i-1/deregister", "", ""), 200).await;
        for node in 0..3 {
            assert_eq!(state_at(&cluster, node).await, None, "node {node}");
        }
    });
}

#[test]
fn retirements_that_were_never_begun_are_not_found() {
    run(async {
        let cluster = Cluster::start(5);
        ready(&cluster).await;
        let transcript = crate::common::transcript();
        let begin = Call::post("/retire/nobody/begin", "", "{\"deadlineS\":10}");
        // A node that has just started can't be sure.
        cluster.until(1, &begin, 404).await;
        cluster.call(1, &begin, Some(&transcript)).await;
        cluster.call(2, &Call::get("/retire/nobody/read"), Some(&transcript)).await;
        transcript.check("retire-unknown");
    });
}

#[test]
fn what_was_acknowledged_outlives_the_head_the_tail_and_all_at_once() {
    run(async {
        let mut cluster = Cluster::start(6);
        ready(&cluster).await;
        let mut base = 0;
        for (round, victim) in [0u8, 1, 2, 0].into_iter().enumerate() {
            let version = base + 3;
            let headers = format!("Base-Version: {base}\r\n");
            let text = configuration(version);
            cluster.until((victim + 1) % 3, &Call::post(REPLACE, &headers, &text), 200).await;
            cluster.kill(victim).await;
            let read = cluster.until((victim + 2) % 3, &Call::get(READ), 200).await;
            assert_eq!(read.body(), text, "round {round}");
            cluster.start_node(victim, false);
            let read = cluster.until(victim, &Call::get(READ), 200).await;
            assert_eq!(read.body(), text, "round {round}");
            base = version;
        }
        for node in 0..3 {
            cluster.kill(node).await;
        }
        for node in 0..3 {
            cluster.start_node(node, false);
        }
        let read = cluster.until(1, &Call::get(READ), 200).await;
        assert_eq!(read.body(), configuration(base));
        let (headers, text) = (format!("Base-Version: {base}\r\n"), configuration(base + 1));
        cluster.until(2, &Call::post(REPLACE, &headers, &text), 200).await;
    });
}

#[test]
fn a_node_that_stops_ends_and_the_others_continue() {
    run(async {
        let mut cluster = Cluster::start(7);
        ready(&cluster).await;
        let (first, second) = (configuration(5), configuration(9));
        cluster.until(0, &Call::post(REPLACE, "Base-Version: 0\r\n", &first), 200).await;
        cluster.stop(0).await;
        assert!(cluster.call(0, &Call::get(READ), None).await.is_none(), "nobody listens any more");
        cluster.until(1, &Call::post(REPLACE, "Base-Version: 5\r\n", &second), 200).await;
        assert_eq!(cluster.until(2, &Call::get(READ), 200).await.body(), second);
    });
}

#[test]
fn without_a_majority_nothing_is_acknowledged() {
    run(async {
        let mut cluster = Cluster::start(8);
        ready(&cluster).await;
        let (first, second) = (configuration(5), configuration(9));
        cluster.until(0, &Call::post(REPLACE, "Base-Version: 0\r\n", &first), 200).await;
        cluster.kill(1).await;
        cluster.kill(2).await;
        let transcript = crate::common::transcript();
        cluster.call(0, &Call::post(REPLACE, "Base-Version: 5\r\n", &second), Some(&transcript)).await;
        cluster.call(0, &Call::get(READ), Some(&transcript)).await;
        transcript.check("no-majority");
        // Stores are sent on to other control nodes; what they say is kept all the same.
        let alive = heartbeat(4, "ready");
        cluster.until(0, &Call::post(HEARTBEAT, "", &alive), 503).await;
        assert_eq!(state_at(&cluster, 0).await.as_deref(), Some("ready"));
        cluster.start_node(1, false);
        cluster.until(0, &Call::post(REPLACE, "Base-Version: 5\r\n", &second), 200).await;
        cluster.until(0, &Call::post(HEARTBEAT, "", &alive), 200).await;
    });
}

#[test]
fn without_a_majority_no_other_call_is_acknowledged() {
    run(async {
        let mut cluster = Cluster::start(13);
        ready(&cluster).await;
        cluster.kill(1).await;
        cluster.kill(2).await;
        let (alive, leaving) = (heartbeat(4, "ready"), heartbeat(5, "draining"));
        cluster.until(0, &Call::post(HEARTBEAT, "", &alive), 503).await;
        let update = r#"{"version":9,"upsert":{"services":[{"name":"s"}]}}"#;
        let calls = [
            Call::post(HEARTBEAT, "", &alive),
            Call::post(HEARTBEAT, "", &leaving),
            Call::post("/instances/i-1/deregister", "", ""),
            Call::post("/configuration/update", "Base-Version: 5\r\n", update),
            Call::post("/version-put", "", r#"{"model":"m","version":2}"#),
            Call::post("/retire/nobody/begin", "", "{\"deadlineS\":10}"),
            Call::get("/retire/nobody/read"),
        ];
        let transcript = crate::common::transcript();
        for call in &calls {
            cluster.call(0, call, Some(&transcript)).await;
        }
        transcript.check("no-majority-others");
    });
}

/// The node does not know yet that it is alone: its last tick is only a moment old.
#[parameterized(draining = { HEARTBEAT, 40 }, deregistered = { "/instances/i-1/deregister", 41 })]
fn the_end_of_a_store_is_never_acknowledged_by_a_node_that_is_alone(path: &str, number: u8) {
    run(async {
        let mut cluster = Cluster::start(number);
        ready(&cluster).await;
        confirmed_a_moment_ago(&cluster, 0).await;
        cluster.until(0, &Call::post(HEARTBEAT, "", &heartbeat(4, "ready")), 200).await;
        cluster.kill(1).await;
        cluster.kill(2).await;
        for sequence in 5..8 {
            let body = heartbeat(sequence, "draining");
            let answer = cluster.call(0, &Call::post(path, "", &body), None).await.expect("an answer");
            assert_eq!(answer.status, 503, "try {sequence}");
        }
    });
}

#[test]
fn the_end_of_a_store_is_acknowledged_once_the_chain_is_without_the_lost_member() {
    run(async {
        let mut cluster = Cluster::start(42);
        ready(&cluster).await;
        confirmed_a_moment_ago(&cluster, 0).await;
        cluster.until(0, &Call::post(HEARTBEAT, "", &heartbeat(4, "ready")), 200).await;
        cluster.kill(2).await;
        let leaving = heartbeat(5, "draining");
        cluster.until(0, &Call::post(HEARTBEAT, "", &leaving), 200).await;
        assert_eq!(state_at(&cluster, 1).await.as_deref(), Some("draining"));
        let status = cluster.status_until(0, |_| true).await;
        assert_eq!(status["chain"].as_array().map(Vec::len), Some(2), "{status:#}");
    });
}

#[test]
fn a_node_partitioned_from_the_others_expires_no_session() {
    run(async {
        let mut cluster = Cluster::start(12);
        ready(&cluster).await;
        cluster.until(0, &Call::post(HEARTBEAT, "", &heartbeat(4, "ready")), 200).await;
        cluster.kill(1).await;
        cluster.kill(2).await;
        // Far longer than a store may be silent.
        let began = std::time::Instant::now();
        while began.elapsed() < 2 * SESSION_TIMEOUT {
            assert_eq!(state_at(&cluster, 0).await.as_deref(), Some("ready"));
        }
        // Back in a chain, it waits anew, and then lets go of the store, which never comes again.
        cluster.start_node(1, false);
        cluster.status_until(0, |status| status["serving"] == true).await;
        let gone = |status: &serde_json::Value| status["stores"].as_array().is_some_and(Vec::is_empty);
        cluster.status_until(0, gone).await;
    });
}

#[test]
fn a_node_whose_disk_was_lost_comes_back_as_another_member() {
    run(async {
        let mut cluster = Cluster::start(9);
        ready(&cluster).await;
        let (first, second, third) = (configuration(5), configuration(9), configuration(12));
        cluster.until(0, &Call::post(REPLACE, "Base-Version: 0\r\n", &first), 200).await;
        cluster.wipe(0).await;
        cluster.until(1, &Call::post(REPLACE, "Base-Version: 5\r\n", &second), 200).await;
        cluster.start_node(0, false);
        cluster.status_until(0, |status| status["serving"] == true).await;
        cluster
            .status_until(1, |status| status["chain"].as_array().is_some_and(|chain| chain.len() == 3))
            .await;
        assert_eq!(cluster.until(0, &Call::get(READ), 200).await.body(), second);
        // Now it counts: without one of the others, it and the last one go on.
        cluster.kill(1).await;
        cluster.until(0, &Call::post(REPLACE, "Base-Version: 9\r\n", &third), 200).await;
        assert_eq!(cluster.until(2, &Call::get(READ), 200).await.body(), third);
    });
}

#[test]
fn a_machine_at_another_address_replaces_one_that_is_lost() {
    run(async {
        let mut cluster = Cluster::start(10);
        ready(&cluster).await;
        let (first, second, third) = (configuration(5), configuration(9), configuration(12));
        cluster.until(0, &Call::post(REPLACE, "Base-Version: 0\r\n", &first), 200).await;
        cluster.kill(0).await;
        cluster.start_node(NEWCOMER, false);
        cluster.until(1, &Call::post(REPLACE, "Base-Version: 5\r\n", &second), 200).await;
        cluster.status_until(NEWCOMER, |status| status["serving"] == true).await;
        assert_eq!(cluster.until(NEWCOMER, &Call::get(READ), 200).await.body(), second);
        cluster.kill(2).await;
        cluster.until(NEWCOMER, &Call::post(REPLACE, "Base-Version: 9\r\n", &third), 200).await;
        assert_eq!(cluster.until(1, &Call::get(READ), 200).await.body(), third);
    });
}

//! The real programs as several processes on loopback, with process and disk faults: what was acknowledged is never lost.

mod common;

use common::{is_lookup_served, post, run, step, Cluster, TEST_TIMEOUT};
use gingerledge_protocol::ItemState;
use gingerledge_system_testkit::configuration;

/// Submits a batch job, and checks that all items complete with their texts and scores.
async fn complete_step(cluster: &Cluster, number: u64, min_version: u64) {
    let step = step(number, min_version);
    assert!(cluster.trainer.submit(&step, TEST_TIMEOUT).await, "{}", cluster.logs());
    let results = cluster.trainer.collect(&step, TEST_TIMEOUT).await;
    assert_eq!(results.len(), 16, "{}", cluster.logs());
    for result in &results {
        assert_eq!(result.state, ItemState::Completed);
        let text: Vec<_> = (1..=8).map(|event| format!("{} event {event}", result.id)).collect();
        assert_eq!(result.text, text.join("\n"));
        assert!(result.versions.iter().all(|&version| version >= min_version), "{result:?}");
        assert!(result.score.starts_with("stamp."), "{result:?}");
        let (texts, rewards) = (cluster.runs(&result.id), cluster.runs(&format!("r-{}", result.id)));
        assert!(texts >= 1 && rewards >= 1, "{}: {texts} runs, {rewards} reward calls", result.id);
    }
    assert!(cluster.trainer.end(&step.id, TEST_TIMEOUT).await);
}

#[test]
fn without_faults_batch_jobs_complete_under_named_versions() {
    run(async {
        let cluster = Cluster::start(81).await;
        complete_step(&cluster, 0, 1).await;
        let named = cluster.operator.name_version("m0", 2, TEST_TIMEOUT).await;
        assert_eq!(named.map(|status| status.as_u16()), Some(200));
        complete_step(&cluster, 1, 2).await;
        let read = cluster.operator.read(TEST_TIMEOUT).await.expect("configuration");
        let sent: serde_json::Value = configuration(1, &["m0"]);
        assert_eq!(serde_json::from_slice::<serde_json::Value>(&read.body).ok(), Some(sent));
    });
}

#[test]
fn a_configuration_survives_a_kill_of_all_control_processes() {
    run(async {
        let mut cluster = Cluster::start(82).await;
        let mut second = configuration(5, &["m0"]);
        second["routes"][0]["pathPrefix"] = "/moved/".into();
        let taken = cluster.operator.replace(1, &second, TEST_TIMEOUT).await;
        assert_eq!(taken.map(|status| status.as_u16()), Some(200));
        for name in ["core-1", "core-2", "core-3"] {
            cluster.fleet.kill(name);
        }
        cluster.fleet.start_all().expect("processes");
        let again = cluster.operator.replace(1, &second, TEST_TIMEOUT).await;
        assert_eq!(again.map(|status| status.as_u16()), Some(200), "{}", cluster.logs());
        let stale = cluster.operator.replace(1, &configuration(6, &["m0"]), TEST_TIMEOUT).await;
        assert_eq!(stale.map(|status| status.as_u16()), Some(412), "{}", cluster.logs());
        for edge in cluster.fleet.edges() {
            let moved =
                || async move { post(edge, "/moved/7").await.is_some_and(|response| response.status == 200) };
            cluster.wait_until("moved route served", moved).await;
            let dropped = post(edge, "/weights/7").await.map(|response| response.status.as_u16());
            assert_eq!(dropped, Some(404), "{}", cluster.logs());
        }
    });
}

#[test]
fn a_configuration_survives_the_loss_of_a_control_disk() {
    run(async {
        let mut cluster = Cluster::start(83).await;
        let second = configuration(5, &["m0"]);
        let taken = cluster.operator.replace(1, &second, TEST_TIMEOUT).await;
        assert_eq!(taken.map(|status| status.as_u16()), Some(200));
        cluster.fleet.wipe("core-1").expect("disk");
        cluster.fleet.start_all().expect("processes");
        let third = configuration(6, &["m0"]);
        let taken = cluster.operator.replace(5, &third, TEST_TIMEOUT).await;
        assert_eq!(taken.map(|status| status.as_u16()), Some(200), "{}", cluster.logs());
        let read = cluster.operator.read(TEST_TIMEOUT).await.expect("configuration");
        assert_eq!(
            serde_json::from_slice::<serde_json::Value>(&read.body).ok(),
            Some(third),
            "{}",
            cluster.logs()
        );
    });
}

#[test]
fn a_batch_job_completes_after_a_kill_of_its_driver() {
    run(async {
        let mut cluster = Cluster::start(84).await;
        let step = step(0, 1);
        assert!(cluster.trainer.submit(&step, TEST_TIMEOUT).await, "{}", cluster.logs());
        // The trainer submits to the first edge, which becomes the driver.
        cluster.fleet.kill("edge-1");
        let results = cluster.trainer.collect(&step, TEST_TIMEOUT).await;
        assert_eq!(results.len(), 16, "{}", cluster.logs());
        cluster.fleet.start_all().expect("processes");
        let again = cluster.trainer.read(0, &step.id, 0).await;
        let edge = cluster.fleet.edges()[0];
        cluster.wait_until("edge back", || is_lookup_served(edge)).await;
        if let Some((status, page)) = again.filter(|(status, _)| status.is_success()) {
            assert_eq!((status.as_u16(), page.results), (200, results));
        }
    });
}

#[test]
fn results_survive_the_loss_of_a_backend_disk() {
    run(async {
        let mut cluster = Cluster::start(85).await;
        let step = step(0, 1);
        assert!(cluster.trainer.submit(&step, TEST_TIMEOUT).await, "{}", cluster.logs());
        let results = cluster.trainer.collect(&step, TEST_TIMEOUT).await;
        assert_eq!(results.len(), 16, "{}", cluster.logs());
        cluster.fleet.wipe("backend-1").expect("disk");
        cluster.fleet.start_all().expect("processes");
        let again = cluster.trainer.collect(&step, TEST_TIMEOUT).await;
        assert_eq!(again, results, "{}", cluster.logs());
    });
}

//! The real programs as several processes on loopback, with faults between them: what was acknowledged stands.

mod common;

use common::{ask, look_up, step, World, PATIENCE};
use gingerledge_protocol::ItemState;
use gingerledge_system_standin::configuration;

fn run(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("runtime");
    runtime.block_on(test);
}

async fn whole_step(world: &World, number: u64, min_version: u64) {
    let step = step(number, min_version);
    assert!(world.trainer.submit(&step, PATIENCE).await, "{}", world.logs());
    let results = world.trainer.collect(&step, PATIENCE).await;
    assert_eq!(results.len(), 16, "{}", world.logs());
    for result in &results {
        assert_eq!(result.state, ItemState::Completed);
        let text: Vec<_> = (1..=8).map(|event| format!("{} event {event}", result.id)).collect();
        assert_eq!(result.text, text.join("\n"));
        assert!(result.versions.iter().all(|&version| version >= min_version), "{result:?}");
        assert!(result.score.starts_with("stamp."), "{result:?}");
        let (texts, rewards) = (world.runs(&result.id), world.runs(&format!("r-{}", result.id)));
        assert!(texts >= 1 && rewards >= 1, "{}: {texts} runs, {rewards} reward calls", result.id);
    }
    assert!(world.trainer.end(&step.id, PATIENCE).await);
}

#[test]
fn a_calm_day_is_served() {
    run(async {
        let world = World::start(81).await;
        whole_step(&world, 0, 1).await;
        let named = world.operator.name_version("m0", 2, PATIENCE).await;
        assert_eq!(named.map(|status| status.as_u16()), Some(200));
        whole_step(&world, 1, 2).await;
        let read = world.operator.read(PATIENCE).await.expect("configuration");
        let sent: serde_json::Value = configuration(1, &["m0"]);
        assert_eq!(serde_json::from_slice::<serde_json::Value>(&read.body).ok(), Some(sent));
    });
}

#[test]
fn a_configuration_stands_after_every_control_process_was_killed() {
    run(async {
        let mut world = World::start(82).await;
        let mut second = configuration(5, &["m0"]);
        second["routes"][0]["pathPrefix"] = "/moved/".into();
        let taken = world.operator.replace(1, &second, PATIENCE).await;
        assert_eq!(taken.map(|status| status.as_u16()), Some(200));
        for name in ["core-1", "core-2", "core-3"] {
            world.fleet.kill(name);
        }
        world.fleet.start_all().expect("processes");
        let again = world.operator.replace(1, &second, PATIENCE).await;
        assert_eq!(again.map(|status| status.as_u16()), Some(200), "{}", world.logs());
        let stale = world.operator.replace(1, &configuration(6, &["m0"]), PATIENCE).await;
        assert_eq!(stale.map(|status| status.as_u16()), Some(412), "{}", world.logs());
        for edge in world.fleet.edges() {
            let moved =
                || async move { ask(edge, "/moved/7").await.is_some_and(|answer| answer.status == 200) };
            world.until("moved route served", moved).await;
            let dropped = ask(edge, "/weights/7").await.map(|answer| answer.status.as_u16());
            assert_eq!(dropped, Some(404), "{}", world.logs());
        }
    });
}

#[test]
fn a_configuration_stands_after_a_control_disk_was_lost() {
    run(async {
        let mut world = World::start(83).await;
        let second = configuration(5, &["m0"]);
        let taken = world.operator.replace(1, &second, PATIENCE).await;
        assert_eq!(taken.map(|status| status.as_u16()), Some(200));
        world.fleet.wipe("core-1").expect("disk");
        world.fleet.start_all().expect("processes");
        let third = configuration(6, &["m0"]);
        let taken = world.operator.replace(5, &third, PATIENCE).await;
        assert_eq!(taken.map(|status| status.as_u16()), Some(200), "{}", world.logs());
        let read = world.operator.read(PATIENCE).await.expect("configuration");
        assert_eq!(
            serde_json::from_slice::<serde_json::Value>(&read.body).ok(),
            Some(third),
            "{}",
            world.logs()
        );
    });
}

#[test]
fn a_batch_job_goes_on_when_its_edge_is_killed() {
    run(async {
        let mut world = World::start(84).await;
        let step = step(0, 1);
        assert!(world.trainer.submit(&step, PATIENCE).await, "{}", world.logs());
        // The trainer hands in at the first edge, which drives the batch job.
        world.fleet.kill("edge-1");
        let results = world.trainer.collect(&step, PATIENCE).await;
        assert_eq!(results.len(), 16, "{}", world.logs());
        world.fleet.start_all().expect("processes");
        let again = world.trainer.read(0, &step.id, 0).await;
        let edge = world.fleet.edges()[0];
        world.until("edge back", || look_up(edge)).await;
        if let Some((status, page)) = again.filter(|(status, _)| status.is_success()) {
            assert_eq!((status.as_u16(), page.results), (200, results));
        }
    });
}

#[test]
fn results_stand_after_a_backend_disk_was_lost() {
    run(async {
        let mut world = World::start(85).await;
        let step = step(0, 1);
        assert!(world.trainer.submit(&step, PATIENCE).await, "{}", world.logs());
        let results = world.trainer.collect(&step, PATIENCE).await;
        assert_eq!(results.len(), 16, "{}", world.logs());
        world.fleet.wipe("backend-1").expect("disk");
        world.fleet.start_all().expect("processes");
        let again = world.trainer.collect(&step, PATIENCE).await;
        assert_eq!(again, results, "{}", world.logs());
    });
}

//! Answers to runs of items and to reward calls that come a second time, in front of the answer to the next request on their
//! connection. An item keeps its id in all its runs, so the id does not tell which run such an answer belongs to.

mod common;
mod rollout_common;

use common::runtime::run;
use gingerledge_protocol::StoreState;
use rollout_common::*;

const SERVER_ERROR: &str = "500 Internal Server Error";

/// Drives a batch job of one item, and checks that it is completed.
async fn assert_completed(world: &World) {
    world.backend.tell_to_drive(world.shared.address(), job("j", 1, 1), 3, Vec::new());
    until("the result", || !world.backend.results("j").is_empty()).await;
    let result = &world.backend.results("j")[0];
    assert!(result.completed, "given up before `maxAttempts` answers of 500");
    assert_eq!(result.score, "stamp of r0");
}

/// Guards against an item that is abandoned because the same answer of 500 counts for two of its runs.
#[test]
fn a_server_error_that_comes_again_counts_once() {
    run(async {
        let world = World::start(Route::default()).await;
        let engine = Engine::start("a", 2, |asked| {
            if asked.nth < 2 {
                Does::AnswerAgainLate(SERVER_ERROR)
            } else {
                Does::Stream
            }
        })
        .await;
        world.learn_engine(&engine);
        assert_completed(&world).await;
        assert_eq!(engine.heard_of("i0").len(), 3, "each run is answered by the store itself");
    });
}

/// Guards against an item that is abandoned because the same answer of 500 counts for two of its reward calls.
#[test]
fn a_server_error_of_a_reward_call_that_comes_again_counts_once() {
    run(async {
        let mut world = World::start(Route::default()).await;
        world.rewards = Engine::start("rewards-2", 0, |asked| {
            if asked.nth == 1 {
                Does::Answer("200 OK")
            } else {
                Does::AnswerAgainLate(SERVER_ERROR)
            }
        })
        .await;
        world.learn_store(&world.rewards, "rewards", 1, StoreState::Ready);
        // The store that scores leaves; the other one fails at first.
        let left = Engine::start("rewards-1", 0, |_| Does::Silence).await;
        world.learn_store(&left, "rewards", 2, StoreState::Draining);
        let engine = Engine::start("a", 2, |_| Does::Stream).await;
        world.learn_engine(&engine);
        assert_completed(&world).await;
        assert_eq!(world.rewards.heard_of("r0").len(), 2, "each call is answered by the store itself");
    });
}

//! Connections closed before use: attempts on one that was idle for long may get no response.

mod common;

use common::{settings, Harness};
use gingerledge_dispatch::{Action, Outcome};

/// Releases asked for while `lost_after` of idleness loses what is sent, one query every `pause`, and a
/// new connection can be opened or not.
fn releases(lost_after: f64, pause: f64, opens: bool) -> usize {
    let mut set = settings(2, 1, 2);
    (set.allows_parallel_attempts, set.idle_timeout_ms) = (false, 15_000.0);
    let mut harness = Harness::new(set, 2);
    for id in 1..40 {
        let from = harness.sent.len();
        let fresh = harness.actions.len();
        harness.query(id, 0, &[0]);
        let released =
            harness.actions[fresh..].iter().any(|a| matches!(a, Action::CloseIdleConnections { server: 0 }));
        harness.now += 100.0;
        let lost = pause > lost_after && id > 1 && !released;
        let fails = released && !opens;
        let first = if fails { Outcome::Unreachable } else { Outcome::Success };
        harness.end_attempts_from(from, if lost { Outcome::TimedOut } else { first });
        harness.advance(if lost || fails { 300.0 } else { 0.0 });
        if harness.sent.len() > from + 1 {
            harness.end_attempts_from(from + 1, Outcome::Success);
        }
        harness.advance(pause);
    }
    harness.actions.iter().filter(|action| matches!(action, Action::CloseIdleConnections { .. })).count()
}

#[test]
fn while_attempts_on_long_idle_connections_are_lost_these_are_closed_before_use() {
    let all = releases(1500.0, 3000.0, true);
    assert!(all > 20, "{all}");
    let shut = releases(1500.0, 3000.0, false);
    assert!(shut < all - 5, "{shut} of {all}: closing does not help");
    assert_eq!(releases(f64::MAX, 3000.0, true), 0, "nothing is lost");
    assert_eq!(releases(300.0, 600.0, true), 0, "lost without long idleness: not the connection's age");
}

/// Releases among sixty queries of one part over twelve servers, where some are silent for those that are picked. What is
/// lost is served by the other holder.
fn releases_with_unresponsive_servers(silent: impl Fn(u64, u32) -> bool) -> usize {
    let mut set = settings(12, 2, 12);
    (set.allows_parallel_attempts, set.idle_timeout_ms) = (false, 15_000.0);
    let mut harness = Harness::new(set, 12);
    for id in 1..60 {
        let from = harness.sent.len();
        harness.query(id, 0, &[id as u32 * 5 % 12]);
        harness.now += 100.0;
        let outcome =
            if silent(id, harness.sent[from].server) { Outcome::TimedOut } else { Outcome::Success };
        harness.end_attempts_from(from, outcome);
        harness.advance(300.0);
        if harness.sent.len() > from + 1 {
            harness.end_attempts_from(from + 1, Outcome::Success);
        }
        harness.advance(1000.0);
    }
    harness.actions.iter().filter(|action| matches!(action, Action::CloseIdleConnections { .. })).count()
}

#[test]
fn an_unresponsive_server_is_not_taken_for_dead_connections() {
    assert_eq!(releases_with_unresponsive_servers(|id, server| id > 20 && server % 2 == 0), 0, "for long");
    assert_eq!(
        releases_with_unresponsive_servers(|id, server| id > 20 && id % 4 < 2 && server % 2 == 0),
        0,
        "by turns"
    );
    assert_eq!(
        releases_with_unresponsive_servers(|id, _| id > 20 && id / 12 % 2 == 0),
        0,
        "once each, and well when next asked"
    );
}

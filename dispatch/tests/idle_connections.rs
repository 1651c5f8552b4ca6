//! Closing idle connections before use, because attempts on connections that were idle for long may get no
//! response.

mod common;

use common::{ring_settings, Harness};
use gingerledge_dispatch::{Action, Outcome};

/// The number of times that idle connections are closed while attempts on connections idle for longer than
/// `dead_after_ms` are lost. There is one query every `pause_ms`. `can_open` determines whether new
/// connections can be opened.
fn closures(dead_after_ms: f64, pause_ms: f64, can_open: bool) -> usize {
    let mut settings = ring_settings(2, 1, 2);
    (settings.allows_parallel_attempts, settings.idle_timeout_ms) = (false, 15_000.0);
    let mut harness = Harness::new(settings, 2);
    for id in 1..40 {
        let from = harness.sent.len();
        let first_action = harness.actions.len();
        harness.query(id, 0, &[0]);
        let was_closed = harness.actions[first_action..]
            .iter()
            .any(|a| matches!(a, Action::CloseIdleConnections { server: 0 }));
        harness.now += 100.0;
        let is_lost = pause_ms > dead_after_ms && id > 1 && !was_closed;
        let cannot_open = was_closed && !can_open;
        let outcome = if cannot_open { Outcome::Unreachable } else { Outcome::Success };
        harness.end_attempts_from(from, if is_lost { Outcome::TimedOut } else { outcome });
        harness.advance(if is_lost || cannot_open { 300.0 } else { 0.0 });
        if harness.sent.len() > from + 1 {
            harness.end_attempts_from(from + 1, Outcome::Success);
        }
        harness.advance(pause_ms);
    }
    harness.actions.iter().filter(|action| matches!(action, Action::CloseIdleConnections { .. })).count()
}

#[test]
fn while_attempts_on_long_idle_connections_are_lost_these_are_closed_before_use() {
    let closed = closures(1500.0, 3000.0, true);
    assert!(closed > 20, "{closed}");
    let unopenable = closures(1500.0, 3000.0, false);
    assert!(
        unopenable < closed - 5,
        "{unopenable} of {closed}: closing does not help if no new connection can be opened"
    );
    assert_eq!(closures(f64::MAX, 3000.0, true), 0, "no attempt is lost");
    assert_eq!(
        closures(300.0, 600.0, true),
        0,
        "attempts are also lost on connections that were not idle for long"
    );
}

/// The number of times that idle connections are closed in 59 queries of one part over twelve servers.
/// `is_unresponsive` determines for which queries a server does not respond. Lost parts are served by the
/// other replica.
fn closures_with_unresponsive_servers(is_unresponsive: impl Fn(u64, u32) -> bool) -> usize {
    let mut settings = ring_settings(12, 2, 12);
    (settings.allows_parallel_attempts, settings.idle_timeout_ms) = (false, 15_000.0);
    let mut harness = Harness::new(settings, 12);
    for id in 1..60 {
        let from = harness.sent.len();
        harness.query(id, 0, &[id as u32 * 5 % 12]);
        harness.now += 100.0;
        let outcome =
            if is_unresponsive(id, harness.sent[from].server) { Outcome::TimedOut } else { Outcome::Success };
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
    assert_eq!(
        closures_with_unresponsive_servers(|id, server| id > 20 && server % 2 == 0),
        0,
        "servers that are unresponsive for long"
    );
    assert_eq!(
        closures_with_unresponsive_servers(|id, server| id > 20 && id % 4 < 2 && server % 2 == 0),
        0,
        "servers that are unresponsive from time to time"
    );
    assert_eq!(
        closures_with_unresponsive_servers(|id, _| id > 20 && id / 12 % 2 == 0),
        0,
        "servers that are unresponsive once and healthy for the next part"
    );
}

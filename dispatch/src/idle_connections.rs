//! Decides whether connections that were idle for long are closed before use.
//!
//! Some idle connections die unnoticed, and a request sent on one gets no response. A lost attempt alone does not prove
//! that its connection was dead, since the server may be silent or slow. So the cause stays open until the next attempt at
//! that server ends: if it is served soon after, the server was healthy and the connection dead; otherwise the loss does
//! not count.

use crate::{Millis, Outcome, Settings};

/// A connection counts as long idle after this share of the time for which connections may be idle.
const LONG_IDLE_SHARE: f64 = 0.06;
/// Gain of the moving averages of lost attempts.
const LOSS_GAIN: f64 = 0.08;
/// By how much losses on long idle connections must exceed those on recently used ones.
const LOSS_MARGIN: f64 = 0.15;
/// Each connection closed lowers the loss rate of long idle ones by this factor.
const LOSS_DECAY_PER_CLOSE: f64 = 0.998;
/// Time constant of the decay of that rate, in longest idle times: by then, the connections it was measured on are gone.
const LOSS_MEMORY_IDLE_TIMES: f64 = 2.0;
/// A part served within this many shortest latency targets after a loss shows that the server was healthy.
const HEALTHY_WITHIN_TARGETS: f64 = 1.0;

/// How long the connection of an attempt had been unused when it was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionUse {
    Recent,
    LongIdle,
}

/// Whether an attempt took longer than is usual for its class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Lateness {
    InTime,
    Late,
}

/// A lost attempt whose cause is not known yet.
#[derive(Clone, Copy, Debug)]
struct UnexplainedLoss {
    at: Millis,
    connection: ConnectionUse,
}

/// What is recorded of the connections to one server.
#[derive(Debug, Default)]
pub(crate) struct ServerConnections {
    last_used: Millis,
    unexplained_loss: Option<UnexplainedLoss>,
}

impl ServerConnections {
    /// Records that a connection to the server is in use.
    pub(crate) fn mark_used(&mut self, now: Millis) {
        self.last_used = now;
    }
}

/// Loss rates over all connections.
///
/// Closing connections could do harm where handshakes are expensive and losses happen at servers that are seldom used;
/// failed handshakes count against it.
#[derive(Debug)]
pub(crate) struct IdleConnections {
    idle_timeout: Millis,
    shortest_target: Millis,
    recent_loss_rate: f64,
    idle_loss_rate: f64,
    /// When the decay of `idle_loss_rate` was last applied.
    decayed_at: Millis,
}

impl IdleConnections {
    pub(crate) fn new(settings: &Settings, shortest_target: Millis, now: Millis) -> Self {
        Self {
            idle_timeout: settings.idle_timeout_ms.max(1.0),
            shortest_target,
            recent_loss_rate: 0.0,
            idle_loss_rate: 0.0,
            decayed_at: now,
        }
    }

    /// Whether a request sent now, while no other is outstanding at the server, uses a connection idle for long.
    pub(crate) fn is_long_idle(&self, now: Millis, connections: &ServerConnections) -> bool {
        let was_used = connections.last_used > 0.0;
        was_used && now - connections.last_used > self.idle_timeout * LONG_IDLE_SHARE
    }

    /// Whether a long idle connection is to be closed before use.
    pub(crate) fn should_close(&mut self, now: Millis) -> bool {
        self.decay(now);
        let should_close = self.idle_loss_rate > self.recent_loss_rate + LOSS_MARGIN;
        if should_close {
            self.idle_loss_rate *= LOSS_DECAY_PER_CLOSE;
        }
        should_close
    }

    /// Learns from the end of an attempt.
    pub(crate) fn on_attempt_ended(
        &mut self,
        now: Millis,
        connections: &mut ServerConnections,
        connection: ConnectionUse,
        outcome: Outcome,
        lateness: Lateness,
    ) {
        connections.last_used = now;
        let earlier_loss = connections.unexplained_loss.take();
        match outcome {
            Outcome::Success => {
                self.explain_loss(now, earlier_loss);
                self.record_delivered(now, connection);
            }
            Outcome::Failure | Outcome::Overloaded => self.record_delivered(now, connection),
            Outcome::TimedOut | Outcome::Broken => {
                connections.unexplained_loss = Some(UnexplainedLoss { at: now, connection });
            }
            Outcome::Withdrawn if lateness == Lateness::Late => {
                connections.unexplained_loss = Some(UnexplainedLoss { at: now, connection });
            }
            // A new connection that cannot be opened: closing idle ones would not help.
            Outcome::Unreachable if connection == ConnectionUse::Recent => {
                self.record_lost(now, ConnectionUse::Recent);
            }
            Outcome::Withdrawn | Outcome::Unreachable | Outcome::Void => {}
        }
    }

    /// The server has served a part: an attempt that was lost shortly before was lost with its connection.
    fn explain_loss(&mut self, now: Millis, loss: Option<UnexplainedLoss>) {
        let Some(loss) = loss else { return };
        if now - loss.at <= HEALTHY_WITHIN_TARGETS * self.shortest_target {
            self.record_lost(now, loss.connection);
        }
    }

    fn record_delivered(&mut self, now: Millis, connection: ConnectionUse) {
        self.update_loss_rate(now, connection, 0.0);
    }

    fn record_lost(&mut self, now: Millis, connection: ConnectionUse) {
        self.update_loss_rate(now, connection, 1.0);
    }

    fn update_loss_rate(&mut self, now: Millis, connection: ConnectionUse, sample: f64) {
        self.decay(now);
        let rate = match connection {
            ConnectionUse::Recent => &mut self.recent_loss_rate,
            ConnectionUse::LongIdle => &mut self.idle_loss_rate,
        };
        *rate += LOSS_GAIN * (sample - *rate);
    }

    fn decay(&mut self, now: Millis) {
        let elapsed = (now - self.decayed_at).max(0.0);
        self.idle_loss_rate *= (-elapsed / (LOSS_MEMORY_IDLE_TIMES * self.idle_timeout)).exp();
        self.decayed_at = now;
    }
}

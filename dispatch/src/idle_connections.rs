//! Decides whether connections that have been idle for long are closed before use.
//!
//! Some idle connections die unnoticed, and a request sent on such a connection gets no response. A lost
//! attempt alone does not prove that its connection was dead, since the server may be unresponsive or slow.
//! Therefore, the cause is left open until the next attempt at that server ends. If that attempt is served
//! soon after the loss, the server was healthy and the connection was dead. Otherwise, the loss does not
//! count.

use crate::{Millis, Outcome, Settings};

/// Share of the idle timeout after which a connection counts as idle for long.
const LONG_IDLE_SHARE: f64 = 0.06;
/// Gain of the moving averages of the loss rates.
const LOSS_GAIN: f64 = 0.08;
/// Connections idle for long are closed before use if their loss rate exceeds that of recently used ones by
/// more than this.
const LOSS_MARGIN: f64 = 0.15;
/// Factor applied to the loss rate of connections idle for long whenever one is closed before use.
const LOSS_DECAY_PER_CLOSE: f64 = 0.998;
/// Time constant of the decay of that loss rate, in idle timeouts. After that time, the connections on which
/// the rate was measured no longer exist.
const LOSS_MEMORY_IDLE_TIMES: f64 = 2.0;
/// Time after a loss, in shortest latency targets, within which a served part shows that the server was
/// healthy.
const HEALTHY_WITHIN_TARGETS: f64 = 1.0;

/// How long the connection of an attempt had been idle when the attempt was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionUse {
    Recent,
    LongIdle,
}

/// Whether an attempt took longer than the usual latency of its class.
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

/// The record of the connections to one server.
#[derive(Debug, Default)]
pub(crate) struct ServerConnections {
    /// When a connection to the server was last used; 0 if never.
    last_used_at: Millis,
    unexplained_loss: Option<UnexplainedLoss>,
}

impl ServerConnections {
    /// Records that a connection to the server is in use.
    pub(crate) fn mark_used(&mut self, now: Millis) {
        self.last_used_at = now;
    }
}

/// Loss rates of the connections to all servers.
///
/// Closing connections can do harm if handshakes are expensive and the losses happen at servers that are
/// seldom used. Failed handshakes therefore raise the loss rate of recently used connections, which makes
/// closing less likely.
#[derive(Debug)]
pub(crate) struct IdleConnections {
    idle_timeout: Millis,
    shortest_latency_target: Millis,
    recent_loss_rate: f64,
    long_idle_loss_rate: f64,
    /// When the decay of `long_idle_loss_rate` was last applied.
    decayed_at: Millis,
}

impl IdleConnections {
    pub(crate) fn new(settings: &Settings, shortest_latency_target: Millis, now: Millis) -> Self {
        Self {
            idle_timeout: settings.idle_timeout_ms.max(1.0),
            shortest_latency_target,
            recent_loss_rate: 0.0,
            long_idle_loss_rate: 0.0,
            decayed_at: now,
        }
    }

    /// Whether a request that is sent now, while no other is outstanding at the server, uses a connection
    /// that has been idle for long.
    pub(crate) fn is_long_idle(&self, now: Millis, connections: &ServerConnections) -> bool {
        let was_used = connections.last_used_at > 0.0;
        was_used && now - connections.last_used_at > self.idle_timeout * LONG_IDLE_SHARE
    }

    /// Whether to close a connection that has been idle for long before it is used.
    pub(crate) fn should_close(&mut self, now: Millis) -> bool {
        self.decay(now);
        let should_close = self.long_idle_loss_rate > self.recent_loss_rate + LOSS_MARGIN;
        if should_close {
            self.long_idle_loss_rate *= LOSS_DECAY_PER_CLOSE;
        }
        should_close
    }

    /// Updates the loss rates when an attempt has ended.
    pub(crate) fn on_attempt_ended(
        &mut self,
        now: Millis,
        connections: &mut ServerConnections,
        connection: ConnectionUse,
        outcome: Outcome,
        lateness: Lateness,
    ) {
        connections.last_used_at = now;
        let previous_loss = connections.unexplained_loss.take();
        match outcome {
            Outcome::Success => {
                self.attribute_loss(now, previous_loss);
                self.record_delivered(now, connection);
            }
            Outcome::Failure | Outcome::Overloaded => self.record_delivered(now, connection),
            Outcome::TimedOut | Outcome::Broken => {
                connections.unexplained_loss = Some(UnexplainedLoss { at: now, connection });
            }
            Outcome::Withdrawn if lateness == Lateness::Late => {
                connections.unexplained_loss = Some(UnexplainedLoss { at: now, connection });
            }
            // A new connection could not be opened, so closing idle ones would not help.
            Outcome::Unreachable if connection == ConnectionUse::Recent => {
                self.record_lost(now, ConnectionUse::Recent);
            }
            Outcome::Withdrawn | Outcome::Unreachable | Outcome::Void => {}
        }
    }

    /// The server has served a part. If an attempt was lost shortly before, its connection was dead.
    fn attribute_loss(&mut self, now: Millis, loss: Option<UnexplainedLoss>) {
        let Some(loss) = loss else { return };
        if now - loss.at <= HEALTHY_WITHIN_TARGETS * self.shortest_latency_target {
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
            ConnectionUse::LongIdle => &mut self.long_idle_loss_rate,
        };
        *rate += LOSS_GAIN * (sample - *rate);
    }

    fn decay(&mut self, now: Millis) {
        let elapsed = (now - self.decayed_at).max(0.0);
        self.long_idle_loss_rate *= (-elapsed / (LOSS_MEMORY_IDLE_TIMES * self.idle_timeout)).exp();
        self.decayed_at = now;
    }
}

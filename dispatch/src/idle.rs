//! Whether connections that stood idle for long are closed before use: some die unseen, and what is sent on one gets no answer.
//! A loss by itself says nothing of the connection, since its server may be silent or slow. So it is in doubt until the
//! next part ends there: served soon after, the server was well and the connection lost; anything else, and it does not count.

use crate::{Millis, Outcome, Settings};

/// Connections idle for this share of the time that they may be count as idle for long.
const IDLE_SHARE: f64 = 0.06;
/// How fast the share of lost attempts follows, and by how much that of idle connections has to be above that of others.
const LOST_GAIN: f64 = 0.08;
const LOST_MARGIN: f64 = 0.15;
/// Each connection closed makes the share seem a little less. It fades, too, within so many times what connections may be
/// idle: by then, those are gone that the losses told of.
const LOST_FORGIVEN: f64 = 0.998;
const LOST_MEMORY: f64 = 2.0;
/// A part served by so many shortest aims after a loss shows that the server was well.
const SOON_AIMS: f64 = 1.0;

/// What is remembered of the connections to one server.
#[derive(Debug, Default)]
pub(crate) struct Connections {
    used: Millis,
    /// When an attempt was lost of which it is not known yet why, and whether its connection had been idle for long.
    doubt: Option<(Millis, bool)>,
}

impl Connections {
    /// Notes that they are in use.
    pub(crate) fn used(&mut self, now: Millis) {
        self.used = now;
    }
}

/// What was learned of all connections. It could harm where handshakes are dear and losses fall on servers seldom used;
/// lost handshakes end it.
#[derive(Debug)]
pub(crate) struct Idle {
    longest: Millis,
    aim: Millis,
    /// The recent share of attempts lost on connections in use, and on long idle ones; and when the latter was last looked at.
    lost: [f64; 2],
    faded: Millis,
}

impl Idle {
    pub(crate) fn new(set: &Settings, aim: Millis, now: Millis) -> Self {
        Self { longest: set.idle_ms.max(1.0), aim, lost: [0.0; 2], faded: now }
    }

    /// Whether what is sent now goes on a connection idle for long, where no other part is out.
    pub(crate) fn long(&self, now: Millis, connections: &Connections) -> bool {
        connections.used > 0.0 && now - connections.used > self.longest * IDLE_SHARE
    }

    /// Whether such a connection is to be closed before use.
    pub(crate) fn close(&mut self, now: Millis) -> bool {
        self.fade(now);
        let close = self.lost[1] > self.lost[0] + LOST_MARGIN;
        self.lost[1] *= if close { LOST_FORGIVEN } else { 1.0 };
        close
    }

    /// Learns from an attempt's end; `late` tells that it took longer than usual.
    pub(crate) fn ended(
        &mut self,
        now: Millis,
        connections: &mut Connections,
        idle: bool,
        outcome: Outcome,
        late: bool,
    ) {
        connections.used = now;
        let doubt = connections.doubt.take();
        match outcome {
            Outcome::Success => {
                let soon = |(at, _): &(Millis, bool)| now - at <= SOON_AIMS * self.aim;
                if let Some((_, idle)) = doubt.filter(soon) {
                    self.learn(now, idle, 1.0);
                }
                self.learn(now, idle, 0.0);
            }
            Outcome::Failure | Outcome::Overloaded => self.learn(now, idle, 0.0),
            Outcome::TimedOut | Outcome::Broken => connections.doubt = Some((now, idle)),
            Outcome::Withdrawn if late => connections.doubt = Some((now, idle)),
            // A new one that does not come about: closing is no cure.
            Outcome::Unreachable if !idle => self.learn(now, false, 1.0),
            Outcome::Withdrawn | Outcome::Unreachable | Outcome::Void => {}
        }
    }

    fn learn(&mut self, now: Millis, idle: bool, lost: f64) {
        self.fade(now);
        let share = &mut self.lost[usize::from(idle)];
        *share += LOST_GAIN * (lost - *share);
    }

    fn fade(&mut self, now: Millis) {
        self.lost[1] *= (-(now - self.faded).max(0.0) / (LOST_MEMORY * self.longest)).exp();
        self.faded = now;
    }
}

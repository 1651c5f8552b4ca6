//! Learns what latency is usual for a class, and which servers are slower than that.

use super::Aggregator;
use crate::interface::{Millis, Outcome};
use crate::state::{OutstandingAttempt, Server};

/// Gain of the usual latency of a class: it is raised or lowered by this share with each sample.
const USUAL_LATENCY_GAIN: f64 = 0.04;
/// Gain of the low latency of a class, for samples below it and above it.
const LOW_LATENCY_FALL_GAIN: f64 = 0.1;
const LOW_LATENCY_RISE_GAIN: f64 = 0.01;
/// Gain of a server's latency ratio, and the highest ratio that a sample counts as.
const LATENCY_RATIO_GAIN: f64 = 0.25;
const LATENCY_RATIO_MAX: f64 = 20.0;
/// The least usual latency that a sample is divided by.
const USUAL_LATENCY_MIN_MS: Millis = 0.1;
/// Without new samples, a server's latency ratio returns to 1 with a time constant of this many shortest latency targets, so
/// that the server is tried again; where servers are seldom sampled, of this many usual intervals between samples.
const RATIO_MEMORY_TARGETS: f64 = 5.0;
const RATIO_MEMORY_INTERVALS: f64 = 2.0;
/// Gain of the usual interval between samples, and the longest interval that counts, in time constants of the ratio.
const SAMPLE_INTERVAL_GAIN: f64 = 0.01;
const SAMPLE_INTERVAL_MAX_MEMORIES: f64 = 10.0;
/// An attempt outstanding for this many usual latencies counts as a latency ratio of 1.
const SILENCE_USUAL_LATENCIES: f64 = 2.0;

/// The latencies of the parts of a class; 0 until one has been served.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ClassLatency {
    pub(super) usual: Millis,
    /// A low latency: close to the work of a part, without waiting.
    pub(super) low: Millis,
}

impl ClassLatency {
    /// Learns the low latency from a part that was served, and takes its latency as the usual one if there is none yet.
    pub(super) fn on_served(&mut self, wait: Millis) {
        if self.usual == 0.0 {
            self.usual = wait;
            self.low = wait;
        }
        let gain = if wait < self.low { LOW_LATENCY_FALL_GAIN } else { LOW_LATENCY_RISE_GAIN };
        self.low += gain * (wait - self.low);
    }

    /// Learns the usual latency. What was cut short would have taken longer still, so it never lowers it.
    fn update_usual(&mut self, wait: Millis, outcome: Outcome) {
        self.usual *= if wait > self.usual {
            1.0 + USUAL_LATENCY_GAIN
        } else if outcome == Outcome::Success {
            1.0 - USUAL_LATENCY_GAIN
        } else {
            1.0
        };
    }
}

impl Aggregator {
    /// Learns from an attempt that was served or waited for in vain.
    pub(super) fn sample_latency(
        &mut self,
        now: Millis,
        server: crate::ServerId,
        class: usize,
        wait: Millis,
        outcome: Outcome,
    ) {
        if !matches!(outcome, Outcome::Success | Outcome::TimedOut | Outcome::Withdrawn) {
            return;
        }
        let Some(server) = self.servers.get_mut(&server) else { return };
        let latency = &mut self.latencies[class];
        let ratio = wait / latency.usual.max(USUAL_LATENCY_MIN_MS);
        let is_sample = match outcome {
            Outcome::Success => true,
            Outcome::Withdrawn => ratio > server.latency_ratio,
            _ => false,
        };
        if is_sample {
            server.latency_ratio +=
                LATENCY_RATIO_GAIN * (ratio.min(LATENCY_RATIO_MAX) - server.latency_ratio);
            let longest = SAMPLE_INTERVAL_MAX_MEMORIES * RATIO_MEMORY_TARGETS * self.shortest_target;
            let interval = (now - server.sampled_at).min(longest);
            self.sample_interval += SAMPLE_INTERVAL_GAIN * (interval - self.sample_interval);
            server.sampled_at = now;
        }
        latency.update_usual(wait, outcome);
    }

    /// How much of a server's last latency sample still counts, from 1 falling to 0.
    pub(super) fn sample_weight(&self, now: Millis, server: &Server) -> f64 {
        let by_interval = RATIO_MEMORY_INTERVALS * self.sample_interval;
        let memory = by_interval.max(RATIO_MEMORY_TARGETS * self.shortest_target);
        (-(now - server.sampled_at) / memory).exp()
    }

    /// A server's latency relative to the usual one.
    ///
    /// Silence counts: a server whose oldest attempt has been outstanding for long is slow whatever it did before. This
    /// guards against stalls, slow machines, neighbours and lost servers alike, and against a fresh stall that does not
    /// show in any count yet.
    pub(super) fn latency_ratio(&self, now: Millis, server: &Server) -> f64 {
        let learned = 1.0 + (server.latency_ratio - 1.0) * self.sample_weight(now, server);
        match server.outstanding.first() {
            Some(oldest) if self.latencies[oldest.class].usual > 0.0 => {
                learned.max(self.silence_ratio(now, oldest))
            }
            _ => learned,
        }
    }

    fn silence_ratio(&self, now: Millis, attempt: &OutstandingAttempt) -> f64 {
        let usual = self.latencies[attempt.class].usual;
        (now - attempt.sent_at) / (SILENCE_USUAL_LATENCIES * usual).max(1.0)
    }
}

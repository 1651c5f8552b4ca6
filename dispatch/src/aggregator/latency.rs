//! Learns the usual latency of each class, and which servers are slower.

use super::Aggregator;
use crate::interface::{Millis, Outcome};
use crate::state::{OutstandingAttempt, Server};

/// Gain of the usual latency of a class: each sample raises or lowers it by this share.
const USUAL_LATENCY_GAIN: f64 = 0.04;
/// Gain of the low latency of a class for samples below it.
const LOW_LATENCY_FALL_GAIN: f64 = 0.1;
/// Gain of the low latency of a class for samples above it.
const LOW_LATENCY_RISE_GAIN: f64 = 0.01;
/// Gain of a server's latency ratio.
const LATENCY_RATIO_GAIN: f64 = 0.25;
/// Maximum latency ratio of a sample. Higher ratios are lowered to it.
const LATENCY_RATIO_MAX: f64 = 20.0;
/// Minimum usual latency by which a sample is divided.
const USUAL_LATENCY_MIN_MS: Millis = 0.1;
/// Time constant, in shortest latency targets, with which a server's latency ratio returns to 1 without new
/// samples, so that the server is tried again.
const RATIO_MEMORY_TARGETS: f64 = 5.0;
/// Time constant of the same decay in usual intervals between samples. The longer of the two applies: this
/// one, where servers are seldom sampled.
const RATIO_MEMORY_INTERVALS: f64 = 2.0;
/// Gain of the usual interval between samples.
const SAMPLE_INTERVAL_GAIN: f64 = 0.01;
/// Maximum interval between samples that counts, in time constants of [`RATIO_MEMORY_TARGETS`].
const SAMPLE_INTERVAL_MAX_MEMORIES: f64 = 10.0;
/// Number of usual latencies for which an attempt has to be outstanding to count as a latency ratio of 1.
const OUTSTANDING_USUAL_LATENCIES: f64 = 2.0;

/// The latencies of the parts of a class. They are 0 until a part has been served.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ClassLatency {
    /// The usual latency of a part.
    pub(super) usual: Millis,
    /// A low latency of a part: close to its processing time without queueing.
    pub(super) low: Millis,
}

impl ClassLatency {
    /// Updates the low latency with the latency of a served part. The first such latency is also used as the
    /// usual latency.
    pub(super) fn on_served(&mut self, elapsed: Millis) {
        if self.usual == 0.0 {
            self.usual = elapsed;
            self.low = elapsed;
        }
        let gain = if elapsed < self.low { LOW_LATENCY_FALL_GAIN } else { LOW_LATENCY_RISE_GAIN };
        self.low += gain * (elapsed - self.low);
    }

    /// Updates the usual latency. An attempt that was cut short would have taken even longer, so it never
    /// lowers the usual latency.
    fn update_usual(&mut self, elapsed: Millis, outcome: Outcome) {
        self.usual *= if elapsed > self.usual {
            1.0 + USUAL_LATENCY_GAIN
        } else if outcome == Outcome::Success {
            1.0 - USUAL_LATENCY_GAIN
        } else {
            1.0
        };
    }
}

impl Aggregator {
    /// Updates the latencies with an attempt that was served, or whose response did not arrive in time.
    pub(super) fn sample_latency(
        &mut self,
        now: Millis,
        server: crate::ServerId,
        class: usize,
        elapsed: Millis,
        outcome: Outcome,
    ) {
        if !matches!(outcome, Outcome::Success | Outcome::TimedOut | Outcome::Withdrawn) {
            return;
        }
        let Some(server) = self.servers.get_mut(&server) else { return };
        let latency = &mut self.latencies[class];
        let ratio = elapsed / latency.usual.max(USUAL_LATENCY_MIN_MS);
        let is_sample = match outcome {
            Outcome::Success => true,
            Outcome::Withdrawn => ratio > server.latency_ratio,
            _ => false,
        };
        if is_sample {
            server.latency_ratio +=
                LATENCY_RATIO_GAIN * (ratio.min(LATENCY_RATIO_MAX) - server.latency_ratio);
            let longest_interval =
                SAMPLE_INTERVAL_MAX_MEMORIES * RATIO_MEMORY_TARGETS * self.shortest_latency_target;
            let interval = (now - server.latency_sampled_at).min(longest_interval);
            self.sample_interval += SAMPLE_INTERVAL_GAIN * (interval - self.sample_interval);
            server.latency_sampled_at = now;
        }
        latency.update_usual(elapsed, outcome);
    }

    /// The weight that a server's latest latency sample still has. It falls from 1 to 0 with the sample's
    /// age.
    pub(super) fn sample_weight(&self, now: Millis, server: &Server) -> f64 {
        let by_interval = RATIO_MEMORY_INTERVALS * self.sample_interval;
        let memory = by_interval.max(RATIO_MEMORY_TARGETS * self.shortest_latency_target);
        (-(now - server.latency_sampled_at) / memory).exp()
    }

    /// The latency ratio of a server: its latency as a multiple of the usual one.
    ///
    /// A server whose oldest attempt has been outstanding for long is slow, regardless of its earlier
    /// latencies. This covers stalls, slow machines, interference from other processes on the machine, and
    /// lost servers, including a recent stall that no sample or count shows yet.
    pub(super) fn latency_ratio(&self, now: Millis, server: &Server) -> f64 {
        let sampled_ratio = 1.0 + (server.latency_ratio - 1.0) * self.sample_weight(now, server);
        match server.outstanding.first() {
            Some(oldest) if self.latencies[oldest.class].usual > 0.0 => {
                sampled_ratio.max(self.outstanding_ratio(now, oldest))
            }
            _ => sampled_ratio,
        }
    }

    /// The latency ratio that an outstanding attempt shows before it ends.
    fn outstanding_ratio(&self, now: Millis, attempt: &OutstandingAttempt) -> f64 {
        let usual = self.latencies[attempt.class].usual;
        (now - attempt.sent_at) / (OUTSTANDING_USUAL_LATENCIES * usual).max(1.0)
    }
}

//! What is learned of servers: who is on the list, who fails, who is slow, and how long parts usually take.

use super::*;

/// How fast the usual latency of a class, and a server's own pace against it, follow new samples.
const TYPICAL_GAIN: f64 = 0.04;
const PACE_GAIN: f64 = 0.25;
/// A pace with no new sample returns to the usual with a time constant of so many times the shortest aim, so
/// it is tried again; where a server is seldom sampled, of so many times the usual time between samples.
const PACE_MEMORY_AIMS: f64 = 5.0;
const PACE_MEMORY_GAPS: f64 = 2.0;
const GAP_GAIN: f64 = 0.01;
/// A silence of so many usual latencies counts as a pace of 1.
const SILENCE: f64 = 2.0;
/// The first and longest time that a failing server is kept out, in shortest aims: in absolute terms, where
/// aims are short, one late part would keep a server out for as long as whole queries may last, and its
/// neighbours on the ring would drown in its load.
const HOLD_AIMS: f64 = 0.2;
const HOLD_MAX_AIMS: f64 = 3.0;
/// So many failures in a row, each after the hold of the one before, show that a process went down.
const DOWN_AFTER: u32 = 2;
const FLAKY_GAIN: f64 = 0.12;

impl Aggregator {
    /// Follows the list. A server that is draining or gone gets nothing from this turn on, without
    /// using the grace. One listed with a new start begins anew: cold, and not suspected.
    pub(super) fn list(&mut self, now: Millis, kind: ListKind, entries: Vec<Entry>) {
        if kind == ListKind::Failed {
            self.random = mix(self.random);
            self.asking.fail(now, self.set.aggregators, unit(self.random));
            return;
        }
        if kind != ListKind::Remembered {
            self.asking.told();
        }
        if kind != ListKind::Changes {
            self.servers.values_mut().for_each(|server| server.status = Status::Gone);
        }
        let faults = vec![Fault::default(); self.set.classes.len() + 1];
        for entry in entries {
            let server = self.servers.entry(entry.server).or_insert_with(|| Server {
                faults: faults.clone(),
                pace: 1.0,
                sampled: f64::NEG_INFINITY,
                served: f64::NEG_INFINITY,
                since: f64::NEG_INFINITY,
                ..Server::default()
            });
            server.status = entry.status;
            server.zone = entry.zone;
            server.cell = entry.cell % self.set.cells;
            let since = if entry.since > 0.0 { entry.since } else { f64::NEG_INFINITY };
            if since > server.since {
                server.since = since;
                server.faults.clone_from(&faults);
                server.pace = 1.0;
                server.down = false;
            }
        }
        // What is gone is let go: days are long, and whoever replaces a server has another id.
        self.servers.retain(|_, server| server.status != Status::Gone || !server.outs.is_empty());
        let ready = self.servers.iter().filter(|(_, server)| server.status == Status::Ready);
        self.holders.list(ready.map(|(&id, server)| (id, server.cell)));
    }

    /// Takes an attempt off its server's count and learns from how it ended.
    /// Suspicion goes by symptom. An answer with an error keeps the server out for its class, any
    /// other failure for all classes: for a short time that doubles with each failure in a row; then
    /// one call at a time is a trial, and until a success it loses ties. This covers servers that fail
    /// at once (and would look least loaded), fail one class, are full, dead, cut off, or fail by turns;
    /// what is withdrawn, too: a lost query still waited for it. It harms if a shared cause makes all
    /// replicas fail, or clients are impatient: all are equally suspect and counts decide.
    pub(super) fn outcome(
        &mut self,
        now: Millis,
        of: (RequestId, u32, ServerId),
        wait: Millis,
        outcome: Outcome,
    ) {
        let (id, attempt, sid) = of;
        let mut class = None;
        if let Some(server) = self.servers.get_mut(&sid) {
            if let Some(at) = server.outs.iter().position(|out| out.part == id && out.attempt == attempt) {
                let out = server.outs.remove(at);
                class = Some(out.class);
                let late = wait > self.typical[out.class];
                self.idle.ended(now, &mut server.connections, out.idle, outcome, late);
            }
            let process = self.set.classes.len();
            let of = if outcome == Outcome::Failure { class.unwrap_or(process) } else { process };
            let served = outcome == Outcome::Success;
            // Guards against a herd: a server that answers, if too late, is slow and no worse. Kept out, it
            // stands idle while its load drowns the next replica, which is then late and kept out itself.
            let slow = matches!(outcome, Outcome::Withdrawn | Outcome::TimedOut);
            let answers = slow && server.served > now - wait;
            let usual = class.map_or(0.0, |class| self.typical[class]);
            if let (true, Some(class)) = (served, class) {
                server.served = now;
                if server.down {
                    // It was down and answers: a restart that the list has not told yet.
                    server.down = false;
                    server.since = server.since.max(now - wait);
                }
                let fault = &mut server.faults[class];
                fault.learn(now, 0.0, FLAKY_GAIN);
                (fault.count, fault.until) = (0, 0.0);
                server.faults[process] = Fault::default();
                if usual == 0.0 {
                    self.typical[class] = wait;
                    self.light[class] = wait;
                }
                let light = &mut self.light[class];
                *light += if wait < *light { 0.1 } else { 0.01 } * (wait - *light);
            } else if !served && !answers && outcome != Outcome::Void {
                let fault = &mut server.faults[of];
                fault.learn(now, 1.0, FLAKY_GAIN);
                // Failures within a hold are of sends before it, and say nothing new.
                if now >= fault.until {
                    fault.count = (fault.count + 1).min(8);
                    let hold = HOLD_AIMS * f64::from(1u32 << (fault.count - 1));
                    fault.until = now + hold.min(HOLD_MAX_AIMS) * self.aim;
                }
                // A single connection may break or fail to open while the process goes on; taken for a
                // restart, it would leave a warm server's load to the others for all its warm-up.
                let connection = matches!(outcome, Outcome::Unreachable | Outcome::Broken);
                server.down |= connection && fault.count >= DOWN_AFTER;
            }
            let ended = served || outcome == Outcome::TimedOut || outcome == Outcome::Withdrawn;
            if let (true, Some(class)) = (ended, class) {
                let typical = &mut self.typical[class];
                // What was cut short would have taken longer still.
                let pace = wait / typical.max(0.1);
                if served || (outcome == Outcome::Withdrawn && pace > server.pace) {
                    server.pace += PACE_GAIN * (pace.min(20.0) - server.pace);
                    let longest = 10.0 * PACE_MEMORY_AIMS * self.aim;
                    self.gap += GAP_GAIN * ((now - server.sampled).min(longest) - self.gap);
                    server.sampled = now;
                }
                let less = if served { 1.0 - TYPICAL_GAIN } else { 1.0 };
                *typical *= if wait > *typical { 1.0 + TYPICAL_GAIN } else { less };
            }
        }
        // Guards against keeping who is gone until the next list, which may be long in coming.
        if self.servers.get(&sid).is_some_and(|s| s.status == Status::Gone && s.outs.is_empty()) {
            self.servers.remove(&sid);
        }
        let Some(part) = self.parts.get_mut(&id) else { return };
        part.out = part.out.saturating_sub(1);
        part.leaving = false;
        // A part that takes a second server down with it is blamed itself: its query is not passed on to
        // the rest. Harms a query that meets two unrelated crashes; its client may come back.
        if outcome == Outcome::Broken && part.may_have_run.is_some() {
            self.queries.entry(part.query).and_modify(|query| query.blamed = true);
        }
        if outcome != Outcome::Success && !outcome.never_ran() {
            // Of two copies the one sent later may end first.
            part.may_have_run = Some(part.may_have_run.unwrap_or(f64::INFINITY).min(now - wait));
        }
        if outcome == Outcome::Success {
            part.state = PartState::In;
        } else if part.state == PartState::Out && part.out == 0 {
            part.state = PartState::Waiting;
        }
    }

    pub(super) fn kept(&self, now: Millis, server: &Server) -> f64 {
        (-(now - server.sampled) / (PACE_MEMORY_GAPS * self.gap).max(PACE_MEMORY_AIMS * self.aim)).exp()
    }

    /// How a server's latency compares with the usual. Silence counts: a server whose oldest part has
    /// been out for long is slow whatever it did before. This guards against stalls, slow machines,
    /// neighbours and lost ones alike, and against a fresh stall that shows in no count yet.
    pub(super) fn pace(&self, now: Millis, server: &Server) -> f64 {
        let pace = 1.0 + (server.pace - 1.0) * self.kept(now, server);
        let silence = |out: &Out| (now - out.sent) / (SILENCE * self.typical[out.class]).max(1.0);
        server.outs.first().filter(|o| self.typical[o.class] > 0.0).map_or(pace, |out| pace.max(silence(out)))
    }
}

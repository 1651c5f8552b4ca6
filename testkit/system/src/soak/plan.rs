//! Draws the disruptions of a run from its seed.

use std::time::Duration;

use fastrand::Rng;

use super::{SoakKind, SoakSettings};
use crate::{Fleet, NodeClass};

/// Time after a machine with a disk is back, or has started again, before the next one is disrupted: `catchUpS` of the small
/// deployments.
const CATCH_UP: Duration = Duration::from_millis(5_100);

/// What is done to a machine's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Disruption {
    /// SIGTERM; the process is started again this long after its end.
    Terminate { down: Duration },
    /// SIGTERM a second time, while the process ends.
    TerminateAgain,
    /// SIGHUP.
    HangUp,
    /// SIGKILL; the process is started again after this time.
    Kill { down: Duration },
    /// SIGKILL, and the disk is emptied.
    Wipe { down: Duration },
    /// The process stands still for this time.
    Freeze { time: Duration },
}

/// A disruption at a time after the beginning.
#[derive(Clone, Debug)]
pub(super) struct PlannedDisruption {
    pub at: Duration,
    pub node: String,
    pub disruption: Disruption,
}

/// Draws the disruptions of a run, in the order of their times.
pub(super) fn draw(settings: &SoakSettings, fleet: &Fleet) -> Vec<PlannedDisruption> {
    let mut rng = Rng::with_seed(settings.seed);
    let mut plan = Vec::new();
    draw_edges(settings, fleet, &mut rng, &mut plan);
    draw_machines_with_disks(settings, fleet, &mut rng, &mut plan);
    draw_hang_ups(settings, fleet, &mut rng, &mut plan);
    plan.sort_by_key(|planned| planned.at);
    plan
}

fn names(fleet: &Fleet, is_wanted: impl Fn(NodeClass) -> bool) -> Vec<String> {
    fleet.nodes().iter().filter(|node| is_wanted(node.class)).map(|node| node.name.clone()).collect()
}

fn millis(rng: &mut Rng, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(rng.u64(range))
}

/// Edges may go in any number, so their disruptions overlap; one edge at least is left alone.
fn draw_edges(settings: &SoakSettings, fleet: &Fleet, rng: &mut Rng, plan: &mut Vec<PlannedDisruption>) {
    let edges = names(fleet, |class| class == NodeClass::Edge);
    let Some((_spared, disrupted)) = edges.split_first() else { return };
    for node in disrupted {
        let mut at = millis(rng, 200..3_000);
        while at < settings.duration {
            let disruption = match (settings.kind, rng.u8(..10)) {
                _ if settings.kills_edges => Disruption::Kill { down: millis(rng, 100..1_500) },
                (SoakKind::Faults, 0..3) => Disruption::Kill { down: millis(rng, 100..1_500) },
                (SoakKind::Faults, 3) => Disruption::Freeze { time: millis(rng, 200..2_500) },
                _ => Disruption::Terminate { down: millis(rng, 0..500) },
            };
            plan.push(PlannedDisruption { at, node: node.clone(), disruption });
            if matches!(disruption, Disruption::Terminate { .. }) && rng.bool() {
                let again = at + millis(rng, 1..1_500);
                let disruption = Disruption::TerminateAgain;
                plan.push(PlannedDisruption { at: again, node: node.clone(), disruption });
            }
            at += millis(rng, 2_000..6_000);
        }
    }
}

/// Of the machines with a disk the loss of one at a time is to be borne.
fn draw_machines_with_disks(
    settings: &SoakSettings,
    fleet: &Fleet,
    rng: &mut Rng,
    plan: &mut Vec<PlannedDisruption>,
) {
    let machines = names(fleet, |class| class != NodeClass::Edge);
    let mut at = millis(rng, 500..2_000);
    while at < settings.duration {
        let node = machines[rng.usize(..machines.len())].clone();
        let down = millis(rng, 0..2_000);
        let disruption = match (settings.kind, rng.u8(..10)) {
            (SoakKind::Planned, _) | (SoakKind::Faults, 0..2) => Disruption::Terminate { down },
            (SoakKind::Faults, 2..6) => Disruption::Kill { down },
            (SoakKind::Faults, 6..8) => Disruption::Wipe { down },
            (SoakKind::Faults, _) => Disruption::Freeze { time: down },
        };
        plan.push(PlannedDisruption { at, node, disruption });
        at += down + CATCH_UP + millis(rng, 0..1_500);
    }
}

/// Series of SIGHUP to any machines.
fn draw_hang_ups(settings: &SoakSettings, fleet: &Fleet, rng: &mut Rng, plan: &mut Vec<PlannedDisruption>) {
    let all = names(fleet, |_| true);
    let mut at = millis(rng, 100..1_500);
    while at < settings.duration {
        for _ in 0..rng.usize(1..6) {
            let node = all[rng.usize(..all.len())].clone();
            let at = at + millis(rng, 0..200);
            plan.push(PlannedDisruption { at, node, disruption: Disruption::HangUp });
        }
        at += millis(rng, 300..2_500);
    }
}

//! Carries out the disruptions of a run, and notes processes that end when nobody asked them to.

use std::collections::BTreeMap;
use std::process::ExitStatus;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{sleep, Instant};

use super::plan::{Disruption, PlannedDisruption};
use super::World;
use crate::FleetError;

/// Interval at which processes are looked at.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// `graceS` of the settings, after which the platform would kill a process, and a second.
const MAX_END_TIME: Duration = Duration::from_secs(9);

/// What is yet to be done to a machine.
#[derive(Clone, Copy, Debug)]
enum Pending {
    /// The process was asked to end at this time.
    Ending { since: Instant, down: Duration },
    /// The process is to be started.
    StartAt(Instant),
    /// The process is to go on.
    ThawAt(Instant),
}

/// Carries out the disruptions at their times, and starts all machines in the end.
pub(super) async fn carry_out(world: &Rc<World>, plan: &[PlannedDisruption]) -> Result<(), FleetError> {
    let began = Instant::now();
    let mut pending = BTreeMap::new();
    let mut next = 0;
    while !world.is_over() || !pending.is_empty() {
        while let Some(planned) = plan.get(next).filter(|planned| began + planned.at <= Instant::now()) {
            next += 1;
            if !world.is_over() {
                begin(world, planned, &mut pending)?;
            }
        }
        note_ended(world, &mut pending)?;
        finish_due(world, &mut pending)?;
        sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

fn begin(
    world: &World,
    planned: &PlannedDisruption,
    pending: &mut BTreeMap<String, Pending>,
) -> Result<(), FleetError> {
    let (name, mut fleet) = (planned.node.as_str(), world.fleet.borrow_mut());
    let now = Instant::now();
    let is_disrupted = pending.contains_key(name);
    let what = match planned.disruption {
        Disruption::TerminateAgain if matches!(pending.get(name), Some(Pending::Ending { .. })) => {
            fleet.terminate(name)?;
            "SIGTERM again"
        }
        Disruption::HangUp => {
            fleet.hang_up(name)?;
            "SIGHUP"
        }
        _ if is_disrupted => return Ok(()),
        Disruption::TerminateAgain => return Ok(()),
        Disruption::Terminate { down } => {
            fleet.terminate(name)?;
            pending.insert(name.to_owned(), Pending::Ending { since: now, down });
            "SIGTERM"
        }
        Disruption::Kill { down } => {
            fleet.kill(name);
            pending.insert(name.to_owned(), Pending::StartAt(now + down));
            "kill"
        }
        Disruption::Wipe { down } => {
            fleet.wipe(name)?;
            pending.insert(name.to_owned(), Pending::StartAt(now + down));
            "lost disk"
        }
        Disruption::Freeze { time } => {
            fleet.freeze(name)?;
            pending.insert(name.to_owned(), Pending::ThawAt(now + time));
            "freeze"
        }
    };
    world.report.borrow_mut().count(what);
    Ok(())
}

/// Notes the processes that have ended: those that were asked to are started again, all others broke a rule.
fn note_ended(world: &World, pending: &mut BTreeMap<String, Pending>) -> Result<(), FleetError> {
    for (name, status) in ended(world)? {
        match pending.get(&name).copied() {
            Some(Pending::Ending { down, .. }) if status.success() => {
                pending.insert(name, Pending::StartAt(Instant::now() + down));
            }
            asked => {
                world.violation(format!("{name} ended with {status} ({asked:?})"));
                pending.insert(name, Pending::StartAt(Instant::now()));
            }
        }
    }
    Ok(())
}

fn ended(world: &World) -> Result<Vec<(String, ExitStatus)>, FleetError> {
    let mut fleet = world.fleet.borrow_mut();
    let names: Vec<String> = fleet.nodes().iter().map(|node| node.name.clone()).collect();
    let mut ended = Vec::new();
    for name in names {
        if let Some(status) = fleet.take_ended(&name)? {
            ended.push((name, status));
        }
    }
    Ok(ended)
}

fn finish_due(world: &World, pending: &mut BTreeMap<String, Pending>) -> Result<(), FleetError> {
    let now = Instant::now();
    let mut fleet = world.fleet.borrow_mut();
    let mut finished = Vec::new();
    for (name, disruption) in pending.iter() {
        match *disruption {
            Pending::StartAt(at) if at <= now => fleet.start(name)?,
            Pending::ThawAt(at) if at <= now => fleet.thaw(name)?,
            Pending::Ending { since, .. } if now > since + MAX_END_TIME => {
                world.violation(format!("{name} had not ended {MAX_END_TIME:?} after SIGTERM"));
                fleet.kill(name);
                fleet.start(name)?;
            }
            _ => continue,
        }
        finished.push(name.clone());
    }
    for name in finished {
        pending.remove(&name);
    }
    Ok(())
}

/// Notes processes that have ended by themselves since the last disruption.
pub(super) fn note_own_ends(world: &World) -> Result<(), FleetError> {
    for (name, status) in ended(world)? {
        world.violation(format!("{name} ended by itself with {status}"));
    }
    Ok(())
}

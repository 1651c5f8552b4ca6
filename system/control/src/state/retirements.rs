//! Retirements of backends. The operator begins a retirement and the coordinator completes it.

use std::collections::BTreeMap;

use gingerledge_wire::{CommandOutcome, RetirementState};
use serde::{Deserialize, Serialize};

/// Maximum number of retirements that are remembered.
pub const MAX_RETIREMENTS: usize = 4_096;

/// The retirement of one backend.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Retirement {
    /// Identity of the backend's disk when the retirement began.
    pub member: u64,
    /// State of the retirement.
    pub state: RetirementState,
}

/// All retirements, by the name of the machine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Retirements {
    machines: BTreeMap<String, Retirement>,
}

impl Retirements {
    /// The retirement of a machine; `None` if none was ever begun.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Retirement> {
        self.machines.get(name)
    }

    /// All retirements, with the names of their machines.
    pub fn all(&self) -> impl Iterator<Item = (&str, &Retirement)> {
        self.machines.iter().map(|(name, retirement)| (name.as_str(), retirement))
    }

    /// Whether the backend with disk identity `member` has a retirement, active or completed, and so must not get partitions.
    #[must_use]
    pub fn contains_member(&self, member: u64) -> bool {
        self.machines.values().any(|retirement| retirement.member == member)
    }

    pub(super) fn begin(&mut self, name: &str, member: u64) -> CommandOutcome {
        if self.machines.get(name).is_some_and(|retirement| retirement.member == member) {
            return CommandOutcome::Applied;
        }
        if self.machines.len() >= MAX_RETIREMENTS && !self.machines.contains_key(name) {
            return CommandOutcome::Invalid { reason: "too many machines are being emptied".to_owned() };
        }
        self.machines.insert(name.to_owned(), Retirement { member, state: RetirementState::Active });
        CommandOutcome::Applied
    }

    /// Completes a retirement. The operator removes the machine and its disk after that, so the backend must not be needed:
    /// neither as a member of a chain, nor as a former member of a chain whose other members are not in sync yet.
    pub(super) fn complete(&mut self, name: &str, member: u64, is_needed: bool) -> CommandOutcome {
        match self.machines.get_mut(name) {
            Some(retirement) if retirement.member == member && !is_needed => {
                retirement.state = RetirementState::Completed;
                CommandOutcome::Applied
            }
            Some(retirement) if retirement.member == member => CommandOutcome::Invalid {
                reason: "the machine may still be needed for partitions".to_owned(),
            },
            _ => CommandOutcome::Invalid { reason: "the machine is not being emptied".to_owned() },
        }
    }
}

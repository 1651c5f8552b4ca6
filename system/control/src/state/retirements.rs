//! Backends that the operator wants emptied.

use std::collections::BTreeMap;

use gingerledge_wire::{CommandOutcome, RetirementState};
use serde::{Deserialize, Serialize};

/// Most backends whose emptying is remembered.
pub const MAX_RETIREMENTS: usize = 4_096;

/// One backend that is being emptied, or is empty.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Retirement {
    /// The identity of its disk when the emptying was asked for.
    pub member: u64,
    /// How far it is.
    pub state: RetirementState,
}

/// All of them, by the machine's name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Retirements {
    machines: BTreeMap<String, Retirement>,
}

impl Retirements {
    /// How far the emptying of a machine is; none if it was never asked for.
    pub fn get(&self, name: &str) -> Option<&Retirement> {
        self.machines.get(name)
    }

    /// All machines.
    pub fn all(&self) -> impl Iterator<Item = (&str, &Retirement)> {
        self.machines.iter().map(|(name, retirement)| (name.as_str(), retirement))
    }

    /// Whether a member must not be given partitions.
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

    /// The machine is empty. It is taken away at once with its disk, so it must not be `needed`: neither a member of a chain, nor a
    /// former one of a chain whose other members do not hold everything yet.
    pub(super) fn complete(&mut self, name: &str, member: u64, needed: bool) -> CommandOutcome {
        match self.machines.get_mut(name) {
            Some(retirement) if retirement.member == member && !needed => {
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

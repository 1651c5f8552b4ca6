//! Decides whether a backend may be retired: it must be known, and enough other backends must remain.

use std::collections::BTreeSet;
use std::time::Duration;

use gingerledge_wire::{NodeRecord, PartitionRecord, Registry, Role};

use super::request::BeginRetirementOutcome;
use crate::state::ControlState;

/// Time after the start of the process during which the registry may lack backends that are alive.
const REGISTRY_COMPLETION_TIME: Duration = Duration::from_secs(5);

/// The input of the decision on a retirement.
#[derive(Clone, Copy, Debug)]
pub(super) struct RetirementCheck<'a> {
    /// Time since this process started.
    pub now: Duration,
    /// Number of machines that may fail at the same time.
    pub fault_tolerance: usize,
    pub state: &'a ControlState,
    pub registry: &'a Registry,
}

impl RetirementCheck<'_> {
    /// The member to be retired under a machine's name: the same one as before if it is already being retired.
    ///
    /// # Errors
    ///
    /// The outcome for the caller if no backend can be retired under that name.
    pub(super) fn member_to_retire(&self, name: &str) -> Result<u64, BeginRetirementOutcome> {
        let running_member = self.backend_named(name).map(|backend| backend.member);
        let retiring_member = self.state.retirements().get(name).map(|retirement| retirement.member);
        match retiring_member.filter(|member| running_member.is_none_or(|running| running == *member)) {
            Some(member) => Ok(member),
            None => self.check_new(name),
        }
    }

    fn check_new(&self, name: &str) -> Result<u64, BeginRetirementOutcome> {
        let Some(backend) = self.backend_named(name) else {
            return Err(self.unless_registry_incomplete(BeginRetirementOutcome::UnknownBackend));
        };
        let remaining = self.remaining_without(backend.member);
        if remaining.len() > self.fault_tolerance {
            return Ok(backend.member);
        }
        let is_present = |record: &PartitionRecord| {
            record.chain.iter().all(|member| *member == backend.member || remaining.contains(member))
        };
        // A chain member that is missing now may return soon.
        let are_all_present = self.state.partitions().all().all(|(_, record)| is_present(record));
        if are_all_present {
            Err(self.unless_registry_incomplete(BeginRetirementOutcome::TooFewBackends))
        } else {
            Err(BeginRetirementOutcome::Unavailable)
        }
    }

    fn unless_registry_incomplete(&self, rejection: BeginRetirementOutcome) -> BeginRetirementOutcome {
        if self.now >= REGISTRY_COMPLETION_TIME {
            rejection
        } else {
            BeginRetirementOutcome::Unavailable
        }
    }

    fn backend_named(&self, name: &str) -> Option<&NodeRecord> {
        self.registry.nodes().find(|node| node.role == Role::Backend && node.name == name)
    }

    fn remaining_without(&self, member: u64) -> BTreeSet<u64> {
        let retirements = self.state.retirements();
        let others = self.registry.nodes().filter(|node| {
            node.role == Role::Backend && node.member != member && !retirements.contains_member(node.member)
        });
        others.map(|node| node.member).collect()
    }
}

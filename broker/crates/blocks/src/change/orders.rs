//! Orders of each step of a change, and the stores that they are sent to.

use super::{Change, ChangeKind, Step};
use crate::holding::Order;
use crate::types::{BlockId, Span, StoreId};

impl Change {
    /// Returns the stores that must acknowledge the current step.
    pub(super) fn step_stores(&self) -> Vec<StoreId> {
        match (self.step, &self.kind) {
            (Step::Preparing | Step::Reading | Step::Opening, _) => {
                self.copy_endpoints().map(|(_, to)| to).into_iter().collect()
            }
            // The remaining holder had the block before the change, so there is nothing to drop.
            (Step::Dropping, ChangeKind::Remove { .. }) => Vec::new(),
            (Step::Dropping, _) => self.copy_endpoints().map(|(_, to)| to).into_iter().collect(),
            (Step::Copying | Step::CatchingUp { .. }, _) => {
                self.copy_endpoints().map(|(_, to)| to).into_iter().collect()
            }
            (Step::Fencing | Step::Retiring | Step::Forgetting, _) => {
                self.copy_endpoints().map(|(from, _)| from).into_iter().collect()
            }
            (Step::Unfencing, _) if self.fenced => {
                self.copy_endpoints().map(|(from, _)| from).into_iter().collect()
            }
            (Step::Naming | Step::Unnaming | Step::Withdrawing, _) => self.stores(),
            _ => Vec::new(),
        }
    }

    pub(super) fn order(&self) -> Option<Order> {
        let (from, to) = self.copy_endpoints().unwrap_or_default();
        let names = |new: &[(BlockId, Span)]| new.iter().map(|(id, _)| *id).collect();
        let old = || match &self.kind {
            ChangeKind::Merge { with, .. } => vec![self.block, *with],
            _ => vec![self.block],
        };
        Some(match (self.step, &self.kind) {
            (Step::Preparing, _) => Order::Prepare { span: self.span, from },
            (Step::Fencing, _) => Order::Fence { to },
            (Step::Reading, _) => Order::AllowReads,
            (Step::Retiring, _) => Order::Retire,
            (Step::Opening, _) => Order::Open,
            (Step::Forgetting | Step::Dropping, _) => Order::Forget,
            (Step::Unfencing, _) => Order::Unfence,
            (Step::Naming, ChangeKind::Split { new, .. } | ChangeKind::Merge { new, .. }) => {
                Order::AddNames { old: old(), new: new.clone() }
            }
            (Step::Unnaming, _) => Order::RemoveNames { names: old() },
            (Step::Withdrawing, ChangeKind::Split { new, .. } | ChangeKind::Merge { new, .. }) => {
                Order::RemoveNames { names: names(new) }
            }
            _ => return None,
        })
    }
}

//! Who is owed which order at each step.

use super::{Change, Kind, Step};
use crate::holding::Order;
use crate::types::{BlockId, Span, StoreId};

impl Change {
    /// Who has to acknowledge the present step.
    pub(super) fn parties(&self) -> Vec<StoreId> {
        match (self.step, &self.kind) {
            (Step::Preparing | Step::Reading | Step::Opening, _) => {
                self.copy().map(|(_, to)| to).into_iter().collect()
            }
            // A keeper holds the block anyway: there is nothing to drop.
            (Step::Dropping, Kind::Remove { .. }) => Vec::new(),
            (Step::Dropping, _) => self.copy().map(|(_, to)| to).into_iter().collect(),
            (Step::Copying | Step::CatchingUp { .. }, _) => {
                self.copy().map(|(_, to)| to).into_iter().collect()
            }
            (Step::Fencing | Step::Retiring | Step::Forgetting, _) => {
                self.copy().map(|(from, _)| from).into_iter().collect()
            }
            (Step::Unfencing, _) if self.fenced => self.copy().map(|(from, _)| from).into_iter().collect(),
            (Step::Naming | Step::Unnaming | Step::Withdrawing, _) => self.stores(),
            _ => Vec::new(),
        }
    }

    pub(super) fn order(&self) -> Option<Order> {
        let (from, to) = self.copy().unwrap_or_default();
        let names = |new: &[(BlockId, Span)]| new.iter().map(|(id, _)| *id).collect();
        let old = || match &self.kind {
            Kind::Merge { with, .. } => vec![self.block, *with],
            _ => vec![self.block],
        };
        Some(match (self.step, &self.kind) {
            (Step::Preparing, _) => Order::Prepare { span: self.span, from },
            (Step::Fencing, _) => Order::Fence { to },
            (Step::Reading, _) => Order::Read,
            (Step::Retiring, _) => Order::Retire,
            (Step::Opening, _) => Order::Open,
            (Step::Forgetting | Step::Dropping, _) => Order::Forget,
            (Step::Unfencing, _) => Order::Unfence,
            (Step::Naming, Kind::Split { new, .. } | Kind::Merge { new, .. }) => {
                Order::Name { old: old(), new: new.clone() }
            }
            (Step::Unnaming, _) => Order::Unname { names: old() },
            (Step::Withdrawing, Kind::Split { new, .. } | Kind::Merge { new, .. }) => {
                Order::Unname { names: names(new) }
            }
            _ => return None,
        })
    }
}

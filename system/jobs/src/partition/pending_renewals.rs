//! Renewals of driver leases that wait until the chain confirms that this replica is still the head.

use std::collections::BTreeMap;

use gingerledge_wire::{DriverTerm, JobId};

use super::read_token::ReadToken;
use crate::store::Caller;

/// Maximum number of renewals that wait at the same time.
const MAX_PENDING: usize = 256;

/// One request to renew driver leases.
#[derive(Debug)]
pub(super) struct Renewal {
    pub caller: Caller,
    /// Batch jobs whose leases are renewed, with the term of the driver.
    pub leases: Vec<(JobId, DriverTerm)>,
}

/// All renewals that wait, by the token of their read through the chain.
#[derive(Debug, Default)]
pub(super) struct PendingRenewals {
    by_token: BTreeMap<ReadToken, Renewal>,
}

impl PendingRenewals {
    pub(super) fn is_full(&self) -> bool {
        self.by_token.len() >= MAX_PENDING
    }

    pub(super) fn insert(&mut self, token: ReadToken, renewal: Renewal) {
        self.by_token.insert(token, renewal);
    }

    /// Removes and returns the renewal whose read through the chain has this token.
    pub(super) fn remove(&mut self, token: ReadToken) -> Option<Renewal> {
        self.by_token.remove(&token)
    }

    /// Removes all renewals. Called when the replica is no longer the head; returns the callers, to which the caller must respond.
    pub(super) fn remove_all(&mut self) -> Vec<Caller> {
        std::mem::take(&mut self.by_token).into_values().map(|renewal| renewal.caller).collect()
    }
}

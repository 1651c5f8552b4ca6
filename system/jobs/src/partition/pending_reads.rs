//! Reads that wait at the tail: for a result, or for the chain to confirm that the state is the newest one.
//!
//! All applied commands are committed, and the position of a result never changes, so a response with results is sent immediately
//! from the local state. A response without results may be out of date: it is sent only after a read through the chain that
//! started after the request arrived (linearizability; van Renesse & Schneider 2004 serve reads at the tail for the same reason).

use std::collections::BTreeMap;
use std::time::Duration;

use gingerledge_wire::{JobId, JobsResponse};

use super::read_token::ReadToken;
use crate::settings::JobsSettings;
use crate::store::{Caller, Job, Store};

/// The part of a batch job that a client reads.
#[derive(Clone, Debug)]
pub(super) enum ReadTarget {
    /// Results from position `start_after` on, as many as fit into `max_bytes`.
    Results { start_after: u64, max_bytes: u64 },
    /// The request body of one item.
    ItemBody { item: String },
}

/// One read request of a client.
#[derive(Clone, Debug)]
pub(super) struct Read {
    pub caller: Caller,
    pub job: JobId,
    pub target: ReadTarget,
    /// Time until which the read waits for a result.
    pub wait_until: Duration,
}

impl Read {
    /// The response, if the state allows one that no newer command can make incorrect.
    pub(super) fn stable_response(&self, store: &Store) -> Option<JobsResponse> {
        let job = store.job(&self.job)?;
        match &self.target {
            ReadTarget::ItemBody { item } => Some(
                job.body(item).map_or(JobsResponse::NotFound, |body| JobsResponse::ItemBody(body.to_vec())),
            ),
            ReadTarget::Results { start_after, max_bytes } => {
                let has_results = *start_after < job.results().len() as u64;
                (has_results || !job.needs_driver()).then(|| results_response(job, *start_after, *max_bytes))
            }
        }
    }

    /// The response from a state that is confirmed to be the newest one.
    fn confirmed_response(&self, store: &Store) -> JobsResponse {
        match (store.job(&self.job), &self.target) {
            (Some(job), ReadTarget::Results { start_after, max_bytes }) => {
                results_response(job, *start_after, *max_bytes)
            }
            (Some(_), ReadTarget::ItemBody { .. }) | (None, _) => {
                self.stable_response(store).unwrap_or(JobsResponse::NotFound)
            }
        }
    }
}

fn results_response(job: &Job, start_after: u64, max_bytes: u64) -> JobsResponse {
    JobsResponse::Results {
        total: job.record().items.len() as u64,
        results: job.results_from(start_after, max_bytes),
        ended: job.is_ended(),
    }
}

/// A read that has no response yet.
#[derive(Debug)]
struct PendingRead {
    read: Read,
    /// Whether the chain has confirmed, after the request arrived, that the local state is the newest one.
    is_confirmed: bool,
}

impl PendingRead {
    fn response(&self, now: Duration, store: &Store) -> Option<JobsResponse> {
        if let Some(response) = self.read.stable_response(store) {
            return Some(response);
        }
        let is_waiting = now < self.read.wait_until && store.job(&self.read.job).is_some();
        (self.is_confirmed && !is_waiting).then(|| self.read.confirmed_response(store))
    }
}

/// All reads that have no response yet, by the token of their read through the chain; empty if the replica is not the tail.
#[derive(Debug)]
pub(super) struct PendingReads {
    max_pending: usize,
    max_wait: Duration,
    max_response_bytes: u64,
    by_token: BTreeMap<ReadToken, PendingRead>,
}

impl PendingReads {
    pub(super) fn new(settings: &JobsSettings) -> Self {
        Self {
            max_pending: settings.max_pending_reads,
            max_wait: settings.max_read_wait,
            max_response_bytes: settings.max_read_bytes,
            by_token: BTreeMap::new(),
        }
    }

    pub(super) fn is_full(&self) -> bool {
        self.by_token.len() >= self.max_pending
    }

    pub(super) fn is_empty(&self) -> bool {
        self.by_token.is_empty()
    }

    /// Time until which a read may wait, given the wait that the client has requested.
    pub(super) fn wait_until(&self, now: Duration, wait: Duration) -> Duration {
        now + wait.min(self.max_wait)
    }

    /// Maximum bytes of results in a response, given the maximum that the client has requested.
    pub(super) fn bounded_bytes(&self, max_bytes: u64) -> u64 {
        max_bytes.min(self.max_response_bytes)
    }

    /// Adds a read, whose read through the chain has this token.
    pub(super) fn insert(&mut self, token: ReadToken, read: Read) {
        self.by_token.insert(token, PendingRead { read, is_confirmed: false });
    }

    /// Marks the read with this token as confirmed by the chain.
    pub(super) fn confirm(&mut self, token: ReadToken) {
        if let Some(pending) = self.by_token.get_mut(&token) {
            pending.is_confirmed = true;
        }
    }

    /// Removes the read with this token, which the chain could not confirm. Returns its caller.
    pub(super) fn remove(&mut self, token: ReadToken) -> Option<Caller> {
        self.by_token.remove(&token).map(|pending| pending.read.caller)
    }

    /// Removes all reads. Called when the replica is no longer the tail; returns the callers, to which the caller must respond.
    pub(super) fn remove_all(&mut self) -> Vec<Caller> {
        std::mem::take(&mut self.by_token).into_values().map(|pending| pending.read.caller).collect()
    }

    /// Removes all reads that can be responded to now, and returns their callers with the responses.
    pub(super) fn poll_responses(&mut self, now: Duration, store: &Store) -> Vec<(Caller, JobsResponse)> {
        let mut responses = Vec::new();
        self.by_token.retain(|_, pending| match pending.response(now, store) {
            Some(response) => {
                responses.push((pending.read.caller, response));
                false
            }
            None => true,
        });
        responses
    }

    /// Earliest time at which the wait of a confirmed read ends.
    pub(super) fn next_timer(&self) -> Option<Duration> {
        let confirmed = self.by_token.values().filter(|pending| pending.is_confirmed);
        confirmed.map(|pending| pending.read.wait_until).min()
    }
}

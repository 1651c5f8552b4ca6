//! Responses and messages that the simulated edges have received, and checks of later ones against them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use gingerledge_wire::{JobRecord, ResultRecord};

/// A batch job as the edges have observed it.
pub struct ObservedJob {
    pub record: Arc<JobRecord>,
    /// Time at which its creation was first sent.
    pub first_sent: Duration,
    /// Highest age received in an assignment.
    pub highest_age: Duration,
    /// Time at which its creation was first acknowledged.
    pub created: Option<Duration>,
    /// Time at which its end was first acknowledged.
    pub ended: Option<Duration>,
    /// Whether any edge has requested its end.
    pub end_requested: bool,
    /// Items for which an edge has sent a result.
    pub sent: BTreeSet<u32>,
    /// Received results by position: id of the item, result, and time at which it was first received.
    pub received: BTreeMap<u64, (String, ResultRecord, Duration)>,
    /// Items whose results were acknowledged.
    pub acknowledged_items: BTreeSet<u32>,
    /// Newest term in which a lease was confirmed as held, and the time of the first confirmation.
    pub held_term: (u64, Duration),
}

/// All observations of the edges.
#[derive(Default)]
pub struct Observations {
    pub jobs: BTreeMap<String, ObservedJob>,
    /// Numbers of received responses and messages by kind, which show that a run covers each kind.
    pub responses: BTreeMap<&'static str, u64>,
}

impl Observations {
    pub fn count(&mut self, kind: &'static str) {
        *self.responses.entry(kind).or_default() += 1;
    }

    /// Checks results received at `now` for a request sent at `sent`.
    pub fn on_results(
        &mut self,
        now: Duration,
        sent: Duration,
        id: &str,
        start: u64,
        page: &[(String, ResultRecord)],
    ) {
        let observed = self.jobs.get_mut(id).unwrap();
        let end = start + page.len() as u64;
        for (position, (item, result)) in (start..).zip(page) {
            assert_eq!(observed.record.items[result.item as usize].id, *item, "{id}: position {position}");
            let received = observed
                .received
                .entry(position)
                .or_insert_with(|| (item.clone(), result.clone(), now))
                .clone();
            assert_eq!((&received.0, &received.1), (item, result), "{id}: position {position} has changed");
        }
        let missing = observed
            .received
            .iter()
            .find(|(position, (_, _, at))| **position >= start.max(end) && *at < sent);
        assert!(
            missing.is_none() || !page.is_empty(),
            "{id}: position {missing:?} was received and is missing now"
        );
        let mut items: Vec<_> = observed.received.values().map(|(item, _, _)| item).collect();
        items.sort();
        items.dedup();
        assert_eq!(items.len(), observed.received.len(), "{id}: an item has two positions");
    }

    /// Checks an age that a driver has received: it may be lower than the true age, but never higher.
    pub fn on_age_received(&mut self, now: Duration, id: &str, age: Duration) {
        let observed = self.jobs.get_mut(id).unwrap();
        let max_age = now - observed.first_sent;
        assert!(age <= max_age, "{id}: received age {age:?}, but it was first sent {max_age:?} ago");
        observed.highest_age = observed.highest_age.max(age);
    }

    /// Checks a response that a batch job does not exist, received for a request sent at `sent`.
    pub fn on_not_found(&mut self, sent: Duration, id: &str) {
        let created = self.jobs[id].created;
        assert!(
            created.is_none_or(|at| at >= sent),
            "{id} was acknowledged at {created:?} and is unknown now"
        );
    }

    /// Checks that a lease may be held, confirmed at `now` for a renewal sent at `sent`.
    pub fn on_lease_held(&mut self, now: Duration, sent: Duration, id: &str, term: u64) {
        let observed = self.jobs.get_mut(id).unwrap();
        assert!(
            observed.ended.is_none_or(|at| at >= sent),
            "{id} was ended at {:?}, but its lease is held",
            observed.ended
        );
        let (newest, since) = observed.held_term;
        assert!(
            term >= newest || since >= sent,
            "{id}: lease held in term {term} after it was held in term {newest}"
        );
        if term > newest {
            observed.held_term = (term, now);
        }
    }
}

//! What edges have received, and what therefore must hold of everything that they receive later.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use gingerledge_wire::{JobRecord, ResultRecord};

/// A batch job as the edges have observed it.
pub struct ObservedJob {
    pub record: Arc<JobRecord>,
    /// When it was sent first.
    pub first_sent: Duration,
    /// The highest age in an assignment.
    pub highest_age: Duration,
    /// When it was first acknowledged.
    pub created: Option<Duration>,
    /// When its end was first acknowledged.
    pub ended: Option<Duration>,
    /// Whether any edge has requested its end.
    pub end_requested: bool,
    /// Items for which somebody sent a result.
    pub sent: BTreeSet<u32>,
    /// By position: the item and result that were received, and when first.
    pub received: BTreeMap<u64, (String, ResultRecord, Duration)>,
    /// Items whose results were acknowledged.
    pub acknowledged_items: BTreeSet<u32>,
    /// The newest term whose lease was held, and when a renewal first confirmed it.
    pub held_term: (u64, Duration),
}

/// All that edges have observed.
#[derive(Default)]
pub struct Observations {
    pub jobs: BTreeMap<String, ObservedJob>,
    /// Numbers of responses by kind, which show that a run covers them.
    pub responses: BTreeMap<&'static str, u64>,
}

impl Observations {
    pub fn count(&mut self, what: &'static str) {
        *self.responses.entry(what).or_default() += 1;
    }

    /// Results have arrived for a request sent at a time.
    pub fn on_results(
        &mut self,
        now: Duration,
        sent: Duration,
        id: &str,
        start: u64,
        page: &[(String, ResultRecord)],
    ) {
        let known = self.jobs.get_mut(id).unwrap();
        let end = start + page.len() as u64;
        for (position, (item, result)) in (start..).zip(page) {
            assert_eq!(known.record.items[result.item as usize].id, *item, "{id}: position {position}");
            let received =
                known.received.entry(position).or_insert_with(|| (item.clone(), result.clone(), now)).clone();
            assert_eq!((&received.0, &received.1), (item, result), "{id}: position {position} has changed");
        }
        let missing =
            known.received.iter().find(|(position, (_, _, at))| **position >= start.max(end) && *at < sent);
        assert!(
            missing.is_none() || !page.is_empty(),
            "{id}: position {missing:?} was received, and is gone"
        );
        let mut items: Vec<_> = known.received.values().map(|(item, _, _)| item).collect();
        items.sort();
        items.dedup();
        assert_eq!(items.len(), known.received.len(), "{id}: an item stands at two positions");
    }

    /// A driver has received an age: it may be lower than the true one, never higher.
    pub fn on_age_received(&mut self, now: Duration, id: &str, age: Duration) {
        let known = self.jobs.get_mut(id).unwrap();
        let most = now - known.first_sent;
        assert!(age <= most, "{id} is said to be {age:?} old, and was sent {most:?} ago");
        known.highest_age = known.highest_age.max(age);
    }

    /// "No such batch job" has arrived for a request sent at a time.
    pub fn on_not_found(&mut self, sent: Duration, id: &str) {
        let created = self.jobs[id].created;
        assert!(
            created.is_none_or(|at| at >= sent),
            "{id} was acknowledged at {created:?} and is unknown now"
        );
    }

    /// A lease was confirmed for a renewal sent at a time.
    pub fn on_lease_held(&mut self, now: Duration, sent: Duration, id: &str, term: u64) {
        let known = self.jobs.get_mut(id).unwrap();
        assert!(known.ended.is_none_or(|at| at >= sent), "{id} was ended at {:?} and is held", known.ended);
        let (newest, since) = known.held_term;
        assert!(
            term >= newest || since >= sent,
            "{id} is held under {term} after it was held under {newest}"
        );
        if term > newest {
            known.held_term = (term, now);
        }
    }
}

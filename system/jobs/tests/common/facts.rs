//! What edges have been told, and what therefore must hold of everything that they are told later.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use gingerledge_wire::{JobRecord, ResultRecord};

/// A batch job, as far as any edge knows of it.
pub struct Known {
    pub record: Arc<JobRecord>,
    /// When it was sent first.
    pub first_sent: Duration,
    /// The highest age that a driver was told.
    pub oldest_told: Duration,
    /// When it was first acknowledged.
    pub created: Option<Duration>,
    /// When its end was first acknowledged.
    pub ended: Option<Duration>,
    /// Whether anybody asked for its end.
    pub end_asked: bool,
    /// Items for which somebody sent a result.
    pub sent: BTreeSet<u32>,
    /// By position: what was shown, and when first.
    pub shown: BTreeMap<u64, (String, ResultRecord, Duration)>,
    /// Items whose results were acknowledged.
    pub kept: BTreeSet<u32>,
    /// The newest term that was held, and when it was first held.
    pub held: (u64, Duration),
}

/// All that edges know.
#[derive(Default)]
pub struct Facts {
    pub jobs: BTreeMap<String, Known>,
    /// Counts that show that a run did something.
    pub answers: BTreeMap<&'static str, u64>,
}

impl Facts {
    pub fn count(&mut self, what: &'static str) {
        *self.answers.entry(what).or_default() += 1;
    }

    /// A page was answered to a question sent at a time.
    pub fn page(
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
            let shown =
                known.shown.entry(position).or_insert_with(|| (item.clone(), result.clone(), now)).clone();
            assert_eq!((&shown.0, &shown.1), (item, result), "{id}: position {position} has changed");
        }
        let missing =
            known.shown.iter().find(|(position, (_, _, at))| **position >= start.max(end) && *at < sent);
        assert!(missing.is_none() || !page.is_empty(), "{id}: position {missing:?} was shown, and is gone");
        let mut items: Vec<_> = known.shown.values().map(|(item, _, _)| item).collect();
        items.sort();
        items.dedup();
        assert_eq!(items.len(), known.shown.len(), "{id}: an item stands at two positions");
    }

    /// A driver was told an age: it may be lower than the true one, never higher.
    pub fn age_told(&mut self, now: Duration, id: &str, age: Duration) {
        let known = self.jobs.get_mut(id).unwrap();
        let most = now - known.first_sent;
        assert!(age <= most, "{id} is said to be {age:?} old, and was sent {most:?} ago");
        known.oldest_told = known.oldest_told.max(age);
    }

    /// "No such batch job" was answered to a question sent at a time.
    pub fn unknown(&mut self, sent: Duration, id: &str) {
        let created = self.jobs[id].created;
        assert!(
            created.is_none_or(|at| at >= sent),
            "{id} was acknowledged at {created:?} and is unknown now"
        );
    }

    /// A hold was answered to a renewal sent at a time.
    pub fn held(&mut self, now: Duration, sent: Duration, id: &str, term: u64) {
        let known = self.jobs.get_mut(id).unwrap();
        assert!(known.ended.is_none_or(|at| at >= sent), "{id} was ended at {:?} and is held", known.ended);
        let (newest, since) = known.held;
        assert!(
            term >= newest || since >= sent,
            "{id} is held under {term} after it was held under {newest}"
        );
        if term > newest {
            known.held = (term, now);
        }
    }
}

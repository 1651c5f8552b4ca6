//! The side of a node that faces its parent: the link it has, and the search for another.

use std::net::SocketAddr;
use std::time::Duration;

use fastrand::Rng;
use gingerledge_wire::RelayMessage;

use crate::candidates::Candidates;
use crate::children::leave;
use crate::event::RelayAction;
use crate::link::Link;
use crate::search::{Asking, Attempt, Search};
use crate::settings::RelaySettings;

/// The parent of a node, or the search for one.
#[derive(Debug)]
pub(crate) struct Upstream {
    settings: RelaySettings,
    rng: Rng,
    candidates: Candidates,
    link: Option<Link>,
    search: Option<Search>,
}

impl Upstream {
    /// Without a parent.
    pub fn new(settings: RelaySettings, me: SocketAddr, seed: u64) -> Self {
        let candidates = Candidates::new(me, settings.failure_memory);
        Self { settings, rng: Rng::with_seed(seed), candidates, link: None, search: None }
    }

    /// The parent's address.
    pub fn parent(&self) -> Option<SocketAddr> {
        self.link.as_ref().map(Link::parent)
    }

    /// Whether a node is the parent, or may become it soon.
    pub fn looks_to(&self, address: SocketAddr) -> bool {
        self.parent() == Some(address) || self.search.as_ref().is_some_and(|search| search.asks(&address))
    }

    /// The link that a message belongs to. The first message of a subscription that was asked for makes it the link.
    pub fn link_of(
        &mut self,
        from: SocketAddr,
        subscription: u64,
        now: Duration,
        actions: &mut Vec<RelayAction>,
    ) -> Option<&mut Link> {
        if let Some(attempt) = self.search.as_mut().and_then(|search| search.answered(from, subscription)) {
            self.accept(attempt, now, actions);
        }
        self.link.as_mut().filter(|link| link.is(from, subscription))
    }

    /// The one asked doesn't take this node, but names others.
    pub fn declined(&mut self, from: SocketAddr, subscription: u64, others: Vec<SocketAddr>, now: Duration) {
        let Some(search) = &mut self.search else { return };
        if search.answered(from, subscription).is_none() {
            return;
        }
        if self.candidates.named(others, &mut self.rng) {
            search.resume(now);
        } else {
            search.go_on(now);
        }
    }

    /// The other side ends a subscription.
    pub fn left(&mut self, from: SocketAddr, subscription: u64, now: Duration) {
        if self.link.as_ref().is_some_and(|link| link.is(from, subscription)) {
            self.link = None;
        }
        self.declined(from, subscription, Vec::new(), now);
    }

    /// Leaves the parent, for instance because an update is missing.
    pub fn leave_parent(&mut self, actions: &mut Vec<RelayAction>) {
        if let Some(link) = self.link.take() {
            actions.push(leave(link.parent(), link.subscription()));
        }
    }

    /// The connection to a node broke.
    pub fn lost(&mut self, peer: SocketAddr, now: Duration) {
        if self.parent() == Some(peer) {
            self.link = None;
            self.candidates.note_failure(peer, now);
        }
        let Some(search) = &mut self.search else { return };
        if search.lost(peer) {
            self.candidates.note_failure(peer, now);
            search.go_on(now);
        }
    }

    /// Replaces the control nodes that the host knows of.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>, now: Duration) {
        let news = self.candidates.set_seeds(seeds);
        if let Some(search) = self.search.as_mut().filter(|_| news) {
            search.hurry(now);
        }
    }

    /// Gives up what has been silent for too long. To be called before a message is looked at: after a standstill of this process,
    /// messages that waited meanwhile prove nothing.
    pub fn expire(&mut self, now: Duration, actions: &mut Vec<RelayAction>) {
        if let Some(link) = self.link.as_ref().filter(|link| link.silent_at(&self.settings) <= now) {
            self.candidates.note_failure(link.parent(), now);
            self.leave_parent(actions);
        }
        let Some(search) = &mut self.search else { return };
        for late in search.expire(now) {
            self.candidates.note_failure(late.to, now);
        }
    }

    /// Begins or ends the search, and goes on with it. `fresh_until` tells how long the newest tick counts; `skip` says who
    /// can't be a parent.
    pub fn search(
        &mut self,
        now: Duration,
        fresh_until: Option<Duration>,
        asking: Asking<'_>,
        skip: impl Fn(&SocketAddr) -> bool,
    ) -> Option<RelayAction> {
        if !self.is_wanting(now, fresh_until) {
            self.search = None;
            return None;
        }
        let (settings, rng) = (&self.settings, &mut self.rng);
        let parent = self.link.as_ref().map(Link::parent);
        let search = self.search.get_or_insert_with(|| {
            self.candidates.clear();
            Search::new(now, settings)
        });
        if !search.is_due(now) {
            return None;
        }
        let to = loop {
            match self.candidates.next() {
                Some(to) if Some(to) == parent || search.asks(&to) || skip(&to) => {}
                Some(to) => break to,
                None if search.begin_round(now, settings, rng) => {
                    self.candidates.refill(asking.directory, search.is_repeated(), now, rng);
                }
                None => return None,
            }
        };
        Some(subscribe(search.ask(to, asking, now, settings, rng), asking))
    }

    /// Tells the parent how far this node is, if it is time.
    pub fn report(&mut self, free_child_slots: u16, now: Duration) -> Option<RelayAction> {
        let link = self.link.as_mut()?;
        if link.report_at(free_child_slots, &self.settings) > now {
            return None;
        }
        Some(RelayAction::Send { to: link.parent(), message: link.report(free_child_slots, now) })
    }

    /// When there is something to do.
    pub fn next_timer(&self, fresh_until: Option<Duration>, free_child_slots: u16) -> Option<Duration> {
        let settings = &self.settings;
        let link = self.link.as_ref().map(|link| {
            let stalled_at = link.stalled_at(fresh_until, settings);
            let stalls = if self.search.is_none() { stalled_at } else { Duration::MAX };
            link.silent_at(settings).min(link.report_at(free_child_slots, settings)).min(stalls)
        });
        link.into_iter().chain(self.search.as_ref().map(Search::next_timer)).min()
    }

    fn is_wanting(&self, now: Duration, fresh_until: Option<Duration>) -> bool {
        self.link.as_ref().is_none_or(|link| link.stalled_at(fresh_until, &self.settings) <= now)
    }

    fn accept(&mut self, attempt: Attempt, now: Duration, actions: &mut Vec<RelayAction>) {
        self.search = None;
        self.leave_parent(actions);
        self.link = Some(Link::new(&attempt, now));
    }
}

fn subscribe(attempt: Attempt, asking: Asking<'_>) -> RelayAction {
    let message = RelayMessage::Subscribe {
        subscription: attempt.subscription,
        digest: asking.digest.to_vec(),
        configuration: asking.configuration,
        free_child_slots: attempt.offer.free_child_slots,
        capacity: attempt.offer.capacity,
    };
    RelayAction::Send { to: attempt.to, message }
}

//! The relation of a node to its parent: its subscription, and the search for another parent.

use std::net::SocketAddr;
use std::time::Duration;

use fastrand::Rng;
use gingerledge_wire::RelayMessage;

use crate::candidates::Candidates;
use crate::children::unsubscribe;
use crate::event::RelayAction;
use crate::parent_search::{Attempt, ParentSearch, SubscribeRequest};
use crate::parent_subscription::ParentSubscription;
use crate::settings::RelaySettings;

/// The subscription of a node to its parent, and the search for another parent while one runs.
#[derive(Debug)]
pub(crate) struct Upstream {
    settings: RelaySettings,
    rng: Rng,
    candidates: Candidates,
    subscription: Option<ParentSubscription>,
    search: Option<ParentSearch>,
}

impl Upstream {
    /// Creates the state of a node without a parent.
    pub(crate) fn new(settings: RelaySettings, own_address: SocketAddr, seed: u64) -> Self {
        let candidates = Candidates::new(own_address, settings.failure_penalty);
        Self { settings, rng: Rng::with_seed(seed), candidates, subscription: None, search: None }
    }

    /// The address of the parent.
    pub(crate) fn parent(&self) -> Option<SocketAddr> {
        self.subscription.as_ref().map(ParentSubscription::parent)
    }

    /// Whether the node at an address is the parent, or an attempt to subscribe to it is pending.
    pub(crate) fn is_possible_parent(&self, address: SocketAddr) -> bool {
        self.parent() == Some(address)
            || self.search.as_ref().is_some_and(|search| search.is_pending(&address))
    }

    /// The subscription that a message belongs to. The first message that responds to a pending attempt makes that attempt the
    /// subscription.
    pub(crate) fn subscription_of(
        &mut self,
        from: SocketAddr,
        subscription: u64,
        now: Duration,
        actions: &mut Vec<RelayAction>,
    ) -> Option<&mut ParentSubscription> {
        if let Some(attempt) =
            self.search.as_mut().and_then(|search| search.remove_attempt(from, subscription))
        {
            self.on_accepted(attempt, now, actions);
        }
        self.subscription.as_mut().filter(|current| current.matches_message(from, subscription))
    }

    /// Handles the refusal of a subscription, with the alternatives that the refusing node lists.
    pub(crate) fn on_declined(
        &mut self,
        from: SocketAddr,
        subscription: u64,
        alternatives: Vec<SocketAddr>,
        now: Duration,
    ) {
        let Some(search) = &mut self.search else { return };
        if search.remove_attempt(from, subscription).is_none() {
            return;
        }
        if self.candidates.add_alternatives(alternatives, &mut self.rng) {
            search.extend_round(now);
        } else {
            search.expedite_next(now);
        }
    }

    /// Handles the end of a subscription by the parent or by a node with a pending attempt.
    pub(crate) fn on_unsubscribed(&mut self, from: SocketAddr, subscription: u64, now: Duration) {
        if self.subscription.as_ref().is_some_and(|current| current.matches_message(from, subscription)) {
            self.subscription = None;
        }
        self.on_declined(from, subscription, Vec::new(), now);
    }

    /// Ends the subscription to the parent, for example because an update is missing.
    pub(crate) fn unsubscribe_from_parent(&mut self, actions: &mut Vec<RelayAction>) {
        if let Some(subscription) = self.subscription.take() {
            actions.push(unsubscribe(subscription.parent(), subscription.subscription()));
        }
    }

    /// Handles a failed connection to a node.
    pub(crate) fn on_disconnected(&mut self, peer: SocketAddr, now: Duration) {
        if self.parent() == Some(peer) {
            self.subscription = None;
            self.candidates.record_failure(peer, now);
        }
        let Some(search) = &mut self.search else { return };
        if search.remove_attempts_to(peer) {
            self.candidates.record_failure(peer, now);
            search.expedite_next(now);
        }
    }

    /// Replaces the control nodes provided by the host.
    pub(crate) fn set_seeds(&mut self, seeds: Vec<SocketAddr>, now: Duration) {
        let has_new = self.candidates.set_seeds(seeds);
        if let Some(search) = self.search.as_mut().filter(|_| has_new) {
            search.expedite_round(now);
        }
    }

    /// Ends the subscription to a parent that has timed out, and drops attempts that have expired. Must be called before a message is
    /// handled: after a pause of this process, messages queued during the pause do not show that their sender is still reachable.
    pub(crate) fn expire(&mut self, now: Duration, actions: &mut Vec<RelayAction>) {
        if let Some(subscription) =
            self.subscription.as_ref().filter(|subscription| subscription.times_out_at(&self.settings) <= now)
        {
            self.candidates.record_failure(subscription.parent(), now);
            self.unsubscribe_from_parent(actions);
        }
        let Some(search) = &mut self.search else { return };
        for expired in search.remove_expired(now) {
            self.candidates.record_failure(expired.to, now);
        }
    }

    /// Begins, continues or ends the search, and returns the request to send, if one is due. The newest tick expires at `fresh_until`;
    /// `is_excluded` is true for nodes that cannot be the parent.
    pub(crate) fn continue_search(
        &mut self,
        now: Duration,
        fresh_until: Option<Duration>,
        request: SubscribeRequest<'_>,
        is_excluded: impl Fn(&SocketAddr) -> bool,
    ) -> Option<RelayAction> {
        if !self.needs_parent(now, fresh_until) {
            self.search = None;
            return None;
        }
        let (settings, rng) = (&self.settings, &mut self.rng);
        let parent = self.subscription.as_ref().map(ParentSubscription::parent);
        let search = self.search.get_or_insert_with(|| {
            self.candidates.clear();
            ParentSearch::new(now, settings)
        });
        if !search.is_due(now) {
            return None;
        }
        let to = loop {
            match self.candidates.next() {
                Some(to) if Some(to) == parent || search.is_pending(&to) || is_excluded(&to) => {}
                Some(to) => break to,
                None if search.begin_round(now, settings, rng) => {
                    self.candidates.start_round(request.directory, search.is_repeated(), now, rng);
                }
                None => return None,
            }
        };
        Some(subscribe(search.start_attempt(to, request, now, settings, rng), request))
    }

    /// The acknowledgement to the parent, if one is due.
    pub(crate) fn acknowledge(&mut self, free_child_slots: u16, now: Duration) -> Option<RelayAction> {
        let subscription = self.subscription.as_mut()?;
        if subscription.next_ack_at(free_child_slots, &self.settings) > now {
            return None;
        }
        Some(RelayAction::Send {
            to: subscription.parent(),
            message: subscription.acknowledge(free_child_slots, now),
        })
    }

    /// The time of the next time-out, acknowledgement or step of the search.
    pub(crate) fn next_timer(
        &self,
        fresh_until: Option<Duration>,
        free_child_slots: u16,
    ) -> Option<Duration> {
        let settings = &self.settings;
        let subscription_timer = self.subscription.as_ref().map(|subscription| {
            let stalled_at = subscription.stalled_at(fresh_until, settings);
            let stall_check_at = if self.search.is_none() { stalled_at } else { Duration::MAX };
            subscription
                .times_out_at(settings)
                .min(subscription.next_ack_at(free_child_slots, settings))
                .min(stall_check_at)
        });
        subscription_timer.into_iter().chain(self.search.as_ref().map(ParentSearch::next_timer)).min()
    }

    fn needs_parent(&self, now: Duration, fresh_until: Option<Duration>) -> bool {
        self.subscription
            .as_ref()
            .is_none_or(|subscription| subscription.stalled_at(fresh_until, &self.settings) <= now)
    }

    fn on_accepted(&mut self, attempt: Attempt, now: Duration, actions: &mut Vec<RelayAction>) {
        self.search = None;
        self.unsubscribe_from_parent(actions);
        self.subscription = Some(ParentSubscription::new(&attempt, now));
    }
}

fn subscribe(attempt: Attempt, request: SubscribeRequest<'_>) -> RelayAction {
    let message = RelayMessage::Subscribe {
        subscription: attempt.subscription,
        digest: request.digest.to_vec(),
        configuration: request.configuration_version,
        free_child_slots: attempt.child_capacity.free_child_slots,
        capacity: attempt.child_capacity.capacity,
    };
    RelayAction::Send { to: attempt.to, message }
}

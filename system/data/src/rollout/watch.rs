//! Watches the streams of one batch job that are under way, and has those moved that turned slow.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use super::plan::{slow_streams, window, Rules, StoreView, StreamView, Text};
use super::stores::Stores;
use crate::index::KnownStore;
use crate::Shared;

/// A stream under way, shared with the task that reads it.
pub(super) struct Stream {
    /// Where it comes from.
    pub(super) store: Rc<KnownStore>,
    /// Events that it has brought.
    pub(super) events: Cell<u64>,
    /// The text so far of its item.
    pub(super) text: RefCell<Text>,
    /// It is to be given up, to go on elsewhere.
    pub(super) moved: Notify,
}

struct Watched {
    stream: Rc<Stream>,
    /// Events at the last look, if it had begun.
    seen: Option<u64>,
}

/// The streams of one batch job.
#[derive(Default)]
pub(super) struct Watch {
    streams: BTreeMap<u32, Watched>,
    looked: Duration,
}

impl Watch {
    /// A generation begins.
    pub(super) fn begin(&mut self, item: u32, store: Rc<KnownStore>, text: Text) -> Rc<Stream> {
        let text = RefCell::new(text);
        let stream = Rc::new(Stream { store, events: Cell::new(0), text, moved: Notify::new() });
        self.streams.insert(item, Watched { stream: Rc::clone(&stream), seen: None });
        stream
    }

    /// A generation ended.
    pub(super) fn end(&mut self, item: u32) {
        self.streams.remove(&item);
    }

    /// The streams under way, by item.
    pub(super) fn streams(&self) -> impl Iterator<Item = (u32, &Rc<Stream>)> {
        self.streams.iter().map(|(&item, watched)| (item, &watched.stream))
    }

    /// When the next look is due; none while nothing is under way.
    pub(super) fn due(&self, usual_pause: Duration) -> Option<Duration> {
        (!self.streams.is_empty()).then(|| self.looked + window(usual_pause))
    }

    /// Looks at all streams, and moves those that became slow.
    pub(super) fn look(
        &mut self,
        shared: &Shared,
        stores: &Stores,
        views: &[StoreView],
        min_version: u64,
        rules: Rules,
    ) {
        let now = shared.now();
        let watched = now.saturating_sub(self.looked);
        self.looked = now;
        let usual = shared.rollout.paces.borrow().usual();
        let streams: Vec<StreamView> =
            self.streams.iter_mut().map(|(&item, watched)| watched.view(item, stores)).collect();
        for item in slow_streams(watched, usual, &streams, views, min_version, rules.single_version) {
            let Some(stream) = self.streams.get(&item).map(|watched| &watched.stream) else { continue };
            let view = streams.iter().find(|view| view.item == item);
            let events = view.and_then(|view| view.events).unwrap_or(0);
            let id = &stream.store.target.id;
            shared.rollout.paces.borrow_mut().seen_slow(id, events, watched, now);
            shared.health.failed(id, now);
            stream.moved.notify_one();
        }
    }
}

impl Watched {
    fn view(&mut self, item: u32, stores: &Stores) -> StreamView {
        let total = self.stream.events.get();
        let events = self.seen.map(|seen| total.saturating_sub(seen));
        self.seen = (total > 0).then_some(total);
        let store = stores.iter().position(|store| Rc::ptr_eq(store, &self.stream.store));
        StreamView { item, store, events }
    }
}

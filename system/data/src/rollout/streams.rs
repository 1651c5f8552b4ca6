//! The streams of one batch job that are in flight, and the detection of slow ones, which are migrated to other stores.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use super::partial_texts::SharedPartialTexts;
use super::plan::{observation_window, streams_to_migrate, GeneratedText, StreamView};
use super::store_views::{ServiceStores, StoreList};
use crate::index::KnownStore;

/// A stream in flight, shared with the task that reads it.
pub(super) struct GenerationStream {
    /// The store that sends it.
    pub(super) store: Rc<KnownStore>,
    /// The number of events that this stream has appended to the text.
    pub(super) events: Cell<u64>,
    /// The text so far of the stream's item.
    pub(super) text: RefCell<GeneratedText>,
    /// Notified to cancel the stream, so that it is resumed at another store.
    pub(super) migration_request: Notify,
}

/// Owns the text of a generation in flight. If the generation is cancelled, the text is inserted into the cache of partial texts.
pub(super) struct InFlightText {
    partial_texts: SharedPartialTexts,
    model: String,
    item: String,
    stream: Rc<GenerationStream>,
}

impl InFlightText {
    pub(super) fn new(
        partial_texts: &SharedPartialTexts,
        model: &str,
        item: &str,
        stream: Rc<GenerationStream>,
    ) -> Self {
        Self {
            partial_texts: Rc::clone(partial_texts),
            model: model.to_owned(),
            item: item.to_owned(),
            stream,
        }
    }

    /// Returns the text at the end of the generation.
    pub(super) fn into_text(self) -> GeneratedText {
        self.stream.text.take()
    }
}

impl Drop for InFlightText {
    fn drop(&mut self) {
        let text = self.stream.text.take();
        if !text.is_empty() {
            self.partial_texts.borrow_mut().insert(&self.model, &self.item, text);
        }
    }
}

/// A slow stream, which is to be migrated.
pub(super) struct SlowStream {
    pub(super) stream: Rc<GenerationStream>,
    /// The number of new events in the observation window.
    pub(super) new_events: u64,
    /// The duration of the observation window.
    pub(super) window: Duration,
}

/// A stream in flight, with its state at the start of the observation window.
struct ObservedStream {
    stream: Rc<GenerationStream>,
    /// The number of new events at the start of the observation window; `None` if there was no event by then.
    events_at_window_start: Option<u64>,
}

/// The streams in flight of one batch job, by the index of the item.
#[derive(Default)]
pub(super) struct ActiveStreams {
    streams: BTreeMap<u32, ObservedStream>,
    window_start: Duration,
}

impl ActiveStreams {
    /// Adds the stream of a generation that starts; `text` is the item's text so far.
    pub(super) fn start(
        &mut self,
        item: u32,
        store: Rc<KnownStore>,
        text: GeneratedText,
    ) -> Rc<GenerationStream> {
        let text = RefCell::new(text);
        let stream =
            Rc::new(GenerationStream { store, events: Cell::new(0), text, migration_request: Notify::new() });
        let observed = ObservedStream { stream: Rc::clone(&stream), events_at_window_start: None };
        self.streams.insert(item, observed);
        stream
    }

    /// Removes the stream of an item whose generation ended.
    pub(super) fn remove(&mut self, item: u32) {
        self.streams.remove(&item);
    }

    /// The streams in flight, each with the index of its item.
    pub(super) fn iter(&self) -> impl Iterator<Item = (u32, &Rc<GenerationStream>)> {
        self.streams.iter().map(|(&item, observed)| (item, &observed.stream))
    }

    /// The time at which the observation window ends; `None` while no stream is in flight.
    pub(super) fn window_end(&self, average_interval: Duration) -> Option<Duration> {
        (!self.streams.is_empty()).then(|| self.window_start + observation_window(average_interval))
    }

    /// Ends the observation window and starts the next one; returns the slow streams that are to be migrated.
    pub(super) fn end_window(
        &mut self,
        now: Duration,
        average_interval: Duration,
        service: &ServiceStores,
        min_version: u64,
        single_version: bool,
    ) -> Vec<SlowStream> {
        let window = now.saturating_sub(self.window_start);
        self.window_start = now;
        let streams: Vec<StreamView> = self
            .streams
            .iter_mut()
            .map(|(&item, observed)| observed.end_window(item, &service.stores))
            .collect();
        let slow_items = streams_to_migrate(
            window,
            average_interval,
            &streams,
            &service.views,
            min_version,
            single_version,
        );
        let slow_streams = slow_items.into_iter().filter_map(|item| {
            let stream = Rc::clone(&self.streams.get(&item)?.stream);
            let view = streams.iter().find(|view| view.item == item);
            let new_events = view.and_then(|view| view.new_events).unwrap_or(0);
            Some(SlowStream { stream, new_events, window })
        });
        slow_streams.collect()
    }
}

impl ObservedStream {
    fn end_window(&mut self, item: u32, stores: &StoreList) -> StreamView {
        let total_events = self.stream.events.get();
        let new_events = self.events_at_window_start.map(|at_start| total_events.saturating_sub(at_start));
        self.events_at_window_start = (total_events > 0).then_some(total_events);
        let store = stores.iter().position(|store| Rc::ptr_eq(store, &self.stream.store));
        StreamView { item, store, new_events }
    }
}

//! Batch jobs and stores for tests of the plan.
#![allow(dead_code)]

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use gingerledge_data::rollout::event_stream::Event;
use gingerledge_data::rollout::plan::{GeneratedText, JobRules, Placement, StartWindow, StoreView};
use gingerledge_wire::{ItemRecord, JobRecord, ScoringRecord};

/// A batch job of groups of equal size.
pub fn job(groups: usize, size: usize, desired: u64, min_version: u64) -> Arc<JobRecord> {
    let items = (0..groups * size).map(|index| item(index, format!("g{}", index / size)));
    Arc::new(JobRecord {
        id: "job".to_owned(),
        host: "host".to_owned(),
        path: "/job/".to_owned(),
        step: 0,
        model: "model".to_owned(),
        min_version,
        desired_groups: desired,
        items: items.collect(),
    })
}

pub fn item(index: usize, group: String) -> ItemRecord {
    let scoring = ScoringRecord {
        id: format!("r{index}"),
        host: "host".to_owned(),
        path: "/reward/".to_owned(),
        body: Vec::new(),
    };
    ItemRecord {
        id: format!("i{index}"),
        path: "/job/x".to_owned(),
        headers: Vec::new(),
        body: Vec::new(),
        tokens: 100,
        group,
        scoring: Some(scoring),
    }
}

pub fn rules(single_version: bool) -> JobRules {
    JobRules {
        single_version,
        max_attempts: 3,
        abandon_after: None,
        max_streams: 2_000,
        start_window: StartWindow { duration: ms(1_000_000), end: ms(1_000_000) },
        max_streams_for_surplus: 1_000,
    }
}

/// A store with room for plenty.
pub fn store(id: &str, version: u64, in_flight: u32) -> StoreView {
    StoreView {
        id: Rc::from(id),
        version,
        in_flight,
        limit: 14,
        idle_connections: 0,
        is_suspect: false,
        is_own_zone: false,
        interval_percent: 100,
    }
}

/// Adds an event whose data tells its id and its version.
pub fn add(text: &mut GeneratedText, id: u64, version: u64) {
    let data = format!("{id}v{version}");
    text.append(Event { id, version: None, data: data.as_bytes() }, Some(version));
}

/// A text of the events from 1 to `last`.
pub fn text(last: u64, version: u64) -> GeneratedText {
    let mut text = GeneratedText::default();
    (1..=last).for_each(|id| add(&mut text, id, version));
    text
}

/// The items that were placed, with the ids of their stores.
pub fn placed(placements: &[Placement], stores: &[StoreView]) -> Vec<(u32, String)> {
    placements.iter().map(|placement| (placement.item, stores[placement.store].id.to_string())).collect()
}

pub const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

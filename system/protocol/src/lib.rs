//! The external formats of the rollout scheduler: the settings of a process, the operator's configuration, heartbeats of stores, orders
//! to stores, batch jobs, and the verdict on whether a request may have run.
//!
//! All are JSON with the field names of the platform's pages; unknown fields are ignored unless a type says otherwise.

#![warn(unreachable_pub)]

mod batch;
mod configuration;
mod document;
mod follower;
mod heartbeat;
mod settings;
mod update;
mod validate;
mod verdict;

pub use batch::{Item, ItemState, ListedResult, ResultPage, ScoringEndpoint, SubmittedJob};
pub use configuration::{Configuration, Engine, Limits, Model, Route, RouteKind, Service, Split};
pub use document::{AppliedUpdate, ConfigurationDocument};
pub use follower::{ConfigurationChange, ConfigurationFollower};
pub use heartbeat::{Heartbeat, HeartbeatReply, LoadedModel, Order, Report, StoreState};
pub use settings::{
    Bounds, FaultTolerance, Listen, ProcessLimits, Settings, SettingsError, SETTINGS_VARIABLE,
};
pub use update::{read_update, ConfigurationUpdate, RemovedNames, UpsertedItems};
pub use validate::{read_configuration, InvalidConfiguration};
pub use verdict::Verdict;

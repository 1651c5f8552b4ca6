//! The driver of batch jobs: the edge that takes a trainer's batch job runs its generations and hands in the results, for as long as
//! the partition that keeps the job lets it.
//!
//! [`plan`] decides and does no I/O; [`driver`](self) carries its decisions out. [`front`] answers the trainers. What is known
//! only here (counts, speeds, texts so far) is lost with the process; batch jobs and results are kept by the backends.

mod backend_client;
mod drive;
mod driver;
pub mod events;
pub mod front;
mod generation;
mod hold;
mod job_route;
mod kept;
pub mod plan;
mod results;
mod reward;
mod saving;
mod stores;
mod submission;
mod timeline;
mod watch;

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use gingerledge_wire::{DriverLeaseState, JobsMessage};
use tokio::sync::Notify;

pub use backend_client::{Asked, BackendClient, Member};
use drive::{Drives, Outcome};
use kept::KeptTexts;
use plan::{LoadingStores, Paces, Rooms};
use stores::StoreViews;

use crate::Shared;

/// What the driver keeps, inside [`Shared`].
#[derive(Default)]
pub struct State {
    /// Questions to backends.
    pub(crate) backends: BackendClient,
    drives: RefCell<Drives>,
    /// What ended since the driver looked.
    outcomes: RefCell<VecDeque<Outcome>>,
    /// There is something for the driver to look at.
    wake: Notify,
    /// A batch job is to be renewed at once.
    renew: Notify,
    rooms: RefCell<Rooms>,
    loading: RefCell<LoadingStores>,
    paces: RefCell<Paces>,
    kept: RefCell<KeptTexts>,
    views: RefCell<StoreViews>,
}

/// Called once, on the `LocalSet`, when the edge starts.
pub fn start(shared: &Rc<Shared>) {
    tokio::task::spawn_local(driver::run(Rc::clone(shared)));
    tokio::task::spawn_local(hold::run(Rc::clone(shared)));
}

/// Called for each message of the batch jobs' plane.
pub fn on_message(shared: &Rc<Shared>, _from: SocketAddr, message: JobsMessage) {
    match message {
        JobsMessage::Response { request, body } => shared.rollout.backends.answered(request, body),
        JobsMessage::AssignDriver { job, term, items_with_results, texts, age_ms } => {
            let age = Duration::from_millis(age_ms);
            let assignment = driver::Assignment { job, term, listed: items_with_results, saved: texts, age };
            driver::begin(shared, assignment, shared.now());
        }
        JobsMessage::StopDriver { job, term } => driver::stop(shared, &job, term, DriverLeaseState::Fenced),
        JobsMessage::Request { .. } => log::warn!("an edge was asked what only backends know"),
    }
}

/// Called when messages to a peer may have been lost.
pub fn on_lost(shared: &Rc<Shared>, _peer: SocketAddr) {
    shared.rollout.backends.lost();
}

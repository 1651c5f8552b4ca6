//! The driver of batch jobs: the edge that accepted a trainer's batch job runs its generations and appends their results, for as long
//! as it holds the driver lease that the job's partition granted.
//!
//! [`plan`] makes the decisions and does no I/O. `running_jobs` owns the batch jobs that run on this edge. `driver` is the loop that
//! queries the plans and starts tasks; it is the only module that connects the others: `generation`, `scoring`, `results` and
//! `checkpoint` each make one kind of call and return its outcome. `driver_lease` renews the leases. [`trainer_api`] serves the HTTP
//! requests of trainers. `delegation` passes batch jobs on to another edge.
//!
//! State that only this process has (counts, progress rates, partial texts) is lost when it ends. Batch jobs, results and checkpoints are
//! stored by the backends.

mod backend_client;
mod checkpoint;
mod delegation;
mod driver;
mod driver_lease;
pub mod event_stream;
mod generation;
mod job_age;
mod job_execution;
mod job_route;
mod partial_texts;
pub mod plan;
mod results;
mod retransmission;
mod running_jobs;
mod scoring;
mod store_observations;
mod store_views;
mod streams;
mod submission;
mod timeline;
pub mod trainer_api;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use gingerledge_wire::{DriverLeaseState, Envelope, JobsMessage};

pub use backend_client::{BackendClient, ChainMember, RequestOutcome};
use delegation::Delegations;
use running_jobs::RunningJobs;
use store_observations::StoreObservations;

use crate::Shared;

/// State of the driver and of the trainers' API; part of [`Shared`].
#[derive(Default)]
pub struct RolloutState {
    /// The client for requests to backends.
    pub(crate) backends: BackendClient,
    /// The batch jobs that this edge drives.
    jobs: RunningJobs,
    /// The batch jobs that were submitted to this edge and that another edge drives.
    delegations: Delegations,
    /// Estimates for each store, from the outcomes of generations.
    store_observations: StoreObservations,
}

/// Starts the driver and the lease renewal. Called once, on the `LocalSet`, when the edge starts.
pub fn start(shared: &Rc<Shared>) {
    tokio::task::spawn_local(driver::run(Rc::clone(shared)));
    tokio::task::spawn_local(driver_lease::run(Rc::clone(shared)));
}

/// Handles a message about batch jobs: a response of a backend, or a command of the head of a partition.
pub fn on_message(shared: &Rc<Shared>, _from: SocketAddr, message: JobsMessage) {
    match message {
        JobsMessage::Response { request, body } => shared.rollout.backends.on_response(request, body),
        JobsMessage::AssignDriver { job, term, items_with_results, texts, age_ms } => {
            let min_age = Duration::from_millis(age_ms);
            let assignment = driver::Assignment {
                job,
                term,
                finished_items: items_with_results,
                checkpoints: texts,
                min_age,
            };
            driver::start_job(shared, assignment, shared.now());
        }
        JobsMessage::StopDriver { job, term } => {
            shared.rollout.jobs.stop(&job, term, DriverLeaseState::Fenced, shared.now());
            if let Some(delegate) = shared.rollout.delegations.delegate_of(&job, term) {
                shared.send(delegate, &Envelope::Jobs(JobsMessage::StopDriver { job, term }));
            }
        }
        JobsMessage::Request { .. } => log::warn!("request for a backend received by an edge"),
    }
}

/// Sends all requests in flight to backends again, because messages to a peer may have been lost.
pub fn on_messages_lost(shared: &Rc<Shared>, _peer: SocketAddr) {
    shared.rollout.backends.on_messages_lost();
}

//! One partition at one backend: a chain replica, its replicated state, and the work of the chain's head and tail. Sans I/O.
//!
//! The head accepts write requests and proposes commands; the tail responds once they are committed (van Renesse & Schneider
//! 2004). The tail serves reads. A replica that is neither, or that is not in sync, responds with [`JobsResponse::Unavailable`].
//!
//! [`Partition`] passes events and outputs between components with private state; the decisions are made in the components:
//!
//! | component | owns |
//! | --- | --- |
//! | [`replica_host`] | the replica, its role, its tokens |
//! | [`applied_state`] | the replicated state |
//! | [`requests`] | decisions about write requests (no state) |
//! | [`pending_creations`] | creations that are proposed and not yet applied, with their memory budget (head) |
//! | [`pending_renewals`], [`driver_leases`] | the leases of drivers (head) |
//! | [`driver_assignment`] | messages to drivers (no state) |
//! | [`retention`] | ages of batch jobs, deletion of ended ones (ages: every replica; deletion: head) |
//! | [`pending_reads`] | reads that wait for results or for confirmation (tail) |

mod applied_state;
mod context;
mod driver_assignment;
mod driver_leases;
mod edges;
mod pending_creations;
mod pending_reads;
mod pending_renewals;
mod read_token;
mod replica_host;
mod requests;
mod retention;

use std::sync::Arc;
use std::time::Duration;

use gingerledge_chain::{
    LogRecord, MemberId, OutgoingSnapshot, ReplicaAction, ReplicaEvent, ReplicaMessage, View, ViewAction,
    ViewEvent,
};
use gingerledge_wire::{DriverTerm, JobId, JobRecord, JobsRequest, JobsResponse, PartitionRecord};

pub use context::{Context, PartitionAction};
pub use edges::{EdgeState, Edges};
pub use requests::{Capacity, ClientRequest};

use crate::error::JobsError;
use crate::settings::JobsSettings;
use crate::store::{Caller, Command, Outcome, Proposal, Store};
use applied_state::AppliedState;
use driver_leases::{DriverLeases, LeaseAction, LeaseTimeouts};
use pending_creations::PendingCreations;
use pending_reads::{PendingReads, Read, ReadTarget};
use pending_renewals::{PendingRenewals, Renewal};
use read_token::{ReadToken, ReadTokens};
use replica_host::{DurableWrite, ReplicaHost, Role};
use requests::WriteDecision;
use retention::Retention;

/// The replica of one partition at one backend, with the components that serve requests.
#[derive(Debug)]
pub struct Partition {
    replica: ReplicaHost,
    state: AppliedState,
    /// Number of members in sync, according to the newest record of the control plane.
    in_sync_members: usize,
    /// Role of the replica for which the components below are initialized.
    role: Role,
    read_tokens: ReadTokens,
    reads: PendingReads,
    renewals: PendingRenewals,
    creations: PendingCreations,
    driver_leases: DriverLeases,
    retention: Retention,
}

impl Partition {
    /// Creates a partition without any records.
    #[must_use]
    pub fn new(member_id: MemberId, settings: &JobsSettings, seed: u64) -> Self {
        Self::with_replica(ReplicaHost::new(member_id, settings.replica.clone(), seed), settings)
    }

    /// Creates a partition from its records on the disk.
    #[must_use]
    pub fn recover(member_id: MemberId, records: &[LogRecord], settings: &JobsSettings, seed: u64) -> Self {
        Self::with_replica(ReplicaHost::recover(member_id, records, settings.replica.clone(), seed), settings)
    }

    fn with_replica(replica: ReplicaHost, settings: &JobsSettings) -> Self {
        let timeouts = LeaseTimeouts {
            driver_timeout: settings.driver_timeout,
            resend_interval: settings.assignment_resend_interval,
        };
        Self {
            replica,
            state: AppliedState::default(),
            in_sync_members: 0,
            role: Role::default(),
            read_tokens: ReadTokens::default(),
            reads: PendingReads::new(settings),
            renewals: PendingRenewals::default(),
            creations: PendingCreations::new(settings.reserved_bytes_per_result),
            driver_leases: DriverLeases::new(timeouts),
            retention: Retention::new(settings),
        }
    }

    /// Starts the replica. Must be called exactly once, before any other method that takes a context.
    pub fn start(&mut self, context: &mut Context<'_>) {
        self.handle_replica_event(context, ReplicaEvent::Started);
    }

    /// Installs a chain that the control plane has set.
    pub fn install_chain(&mut self, context: &mut Context<'_>, record: &PartitionRecord) {
        if record.epoch >= self.replica.epoch() {
            self.in_sync_members = record.in_sync.len();
        }
        for view in self.replica.views_to_install(record) {
            self.handle_replica_event(context, ReplicaEvent::View(ViewEvent::Install { view }));
        }
    }

    /// Handles a message from another replica.
    pub fn handle_message(&mut self, context: &mut Context<'_>, from: MemberId, message: ReplicaMessage) {
        self.handle_replica_event(context, ReplicaEvent::Message { from, message });
    }

    /// Whether the replica waits for [`Partition::provide_snapshot`].
    #[must_use]
    pub fn awaits_snapshot(&self) -> bool {
        self.replica.awaits_snapshot()
    }

    /// The snapshots that other members need from this replica.
    pub fn outgoing_snapshots(&self) -> impl Iterator<Item = OutgoingSnapshot> + '_ {
        self.replica.outgoing_snapshots()
    }

    /// Number of members in sync, according to the control plane.
    #[must_use]
    pub fn in_sync_members(&self) -> usize {
        self.in_sync_members
    }

    /// Encodes the state and starts to send it to the member that needs it.
    pub fn provide_snapshot(&mut self, context: &mut Context<'_>) {
        match self.state.store().encode() {
            Ok(bytes) => {
                let index = self.state.index();
                self.handle_replica_event(context, ReplicaEvent::SnapshotReady { index, bytes });
            }
            Err(error) => self.fail(context, &error),
        }
    }

    /// Handles the completion of writes: all records up to and including those of this token are durable.
    pub fn on_durable(&mut self, context: &mut Context<'_>, token: u64) {
        if let Some(event) = self.replica.durable_event(token) {
            self.handle_replica_event(context, event);
        }
    }

    /// Handles all expired timers. Called at the time of [`Partition::next_timer`], and when the state of an edge changes.
    pub fn handle_timeout(&mut self, context: &mut Context<'_>) {
        if self.replica.next_timer().is_some_and(|timer| timer <= context.now) {
            self.handle_replica_event(context, ReplicaEvent::TimerExpired);
        }
        self.send_read_responses(context);
        if self.role.is_head {
            self.check_driver_leases(context);
            self.enforce_retention(context);
        }
    }

    /// Handles a request from a client.
    pub fn handle_request(&mut self, context: &mut Context<'_>, request: ClientRequest, capacity: Capacity) {
        let has_role = if request.is_for_tail() { self.role.is_tail } else { self.role.is_head };
        let ClientRequest { caller, epoch, body } = request;
        if !has_role || epoch > self.replica.epoch() {
            context.respond(caller, JobsResponse::Unavailable);
            return;
        }
        let store = self.state.store();
        match body {
            JobsRequest::CreateJob { job } => self.create(context, caller, job, capacity),
            JobsRequest::AppendResults { job, term, results } => {
                let decision = requests::decide_append(store, capacity, job, term, results);
                self.write(context, caller, decision);
            }
            JobsRequest::SaveCheckpoint { job, term, texts } => {
                let decision = requests::decide_checkpoint(store, capacity, job, term, texts);
                self.write(context, caller, decision);
            }
            JobsRequest::EndJob { job } => {
                let decision = requests::decide_end(store, capacity, job);
                self.write(context, caller, decision);
            }
            JobsRequest::ReadResults { job, start_after, wait_ms, max_bytes } => {
                let max_bytes = self.reads.bounded_bytes(max_bytes);
                let target = ReadTarget::Results { start_after, max_bytes };
                let wait_until = self.reads.wait_until(context.now, Duration::from_millis(wait_ms));
                self.read(context, Read { caller, job, target, wait_until });
            }
            JobsRequest::ReadItemBody { job, item } => {
                let target = ReadTarget::ItemBody { item };
                self.read(context, Read { caller, job, target, wait_until: context.now });
            }
            JobsRequest::RenewDriverLeases { jobs } => self.renew_driver_leases(context, caller, jobs),
        }
    }

    /// Time at which [`Partition::handle_timeout`] must be called next.
    #[must_use]
    pub fn next_timer(&self) -> Option<Duration> {
        let leases = self.driver_leases.next_timer().filter(|_| self.role.is_head);
        let has_jobs = self.state.store().bytes() > 0;
        let expiry = (self.role.is_head && has_jobs).then_some(self.retention.next_expiry_check());
        [self.replica.next_timer(), self.reads.next_timer(), leases, expiry].into_iter().flatten().min()
    }

    /// The replicated state after the entries that are applied at this replica.
    #[must_use]
    pub fn store(&self) -> &Store {
        self.state.store()
    }

    /// The newest view known.
    #[must_use]
    pub fn view(&self) -> Option<&View> {
        self.replica.view()
    }

    /// The epoch in which this replica is in sync, if it is.
    #[must_use]
    pub fn in_sync_epoch(&self) -> Option<u64> {
        self.replica.in_sync_epoch()
    }

    /// Estimated bytes of all batch jobs in memory, including those of pending creations.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.state.store().bytes() + self.creations.bytes()
    }

    /// All records that must stay on the disk; `None` if they can't be determined at present, and the caller retries later.
    ///
    /// # Errors
    ///
    /// The state can't be encoded.
    pub fn checkpoint(&self) -> Result<Option<Vec<LogRecord>>, JobsError> {
        Ok(self.replica.checkpoint(self.state.store().encode()?))
    }

    /// Passes an event to the replica and performs all resulting actions.
    fn handle_replica_event(&mut self, context: &mut Context<'_>, event: ReplicaEvent) {
        if self.replica.has_failed() {
            return;
        }
        self.replica.handle_event(context.now, event);
        while let Some(action) = self.replica.poll_action() {
            self.handle_replica_action(context, action);
        }
        self.update_role(context);
        self.send_read_responses(context);
    }

    fn handle_replica_action(&mut self, context: &mut Context<'_>, action: ReplicaAction) {
        match action {
            ReplicaAction::Send { to, message } => {
                context.out.push(PartitionAction::SendToMember { to, message });
            }
            ReplicaAction::Persist { token, records } => {
                let write = self.replica.register_write(token, records);
                persist(context, write);
            }
            ReplicaAction::Apply { index, command, should_reply } => {
                self.apply(context, index, &command, should_reply);
            }
            ReplicaAction::InstallSnapshot { index, bytes } => self.install_snapshot(context, index, &bytes),
            ReplicaAction::ReadReady { token, .. } => self.on_read_confirmed(context, token),
            ReplicaAction::ReadFailed { token } => self.on_read_failed(context, token),
            ReplicaAction::NotHead { command, .. } | ReplicaAction::Busy { command } => {
                self.on_proposal_rejected(context, &command);
            }
            ReplicaAction::View(ViewAction::Installed { .. }) => {
                if let Some(write) = self.replica.reset_if_removed(context.now) {
                    persist(context, write);
                }
            }
            // The backend decides when the snapshot is sent: see `Partition::provide_snapshot`.
            ReplicaAction::TakeSnapshot
            | ReplicaAction::BecameInSync { .. }
            | ReplicaAction::View(_)
            | ReplicaAction::BarrierCommitted { .. } => {}
        }
    }

    /// Applies a committed command. At the tail, `should_respond` is set, and the caller gets its response.
    fn apply(&mut self, context: &mut Context<'_>, index: u64, command: &[u8], should_respond: bool) {
        let Proposal { caller, age, command } = match Proposal::decode(command) {
            Ok(proposal) => proposal,
            Err(error) => return self.fail(context, &error),
        };
        let job = command.job().cloned();
        let is_creation = matches!(command, Command::Create { .. });
        let outcome = self.state.apply(index, command, age);
        let Some(id) = job else { return self.retention.observe_all(context.now, self.state.store()) };
        self.retention.observe(context.now, &id, self.state.store());
        if let Some(caller) = caller.filter(|_| should_respond) {
            context.respond(caller, outcome.response(caller.edge));
        }
        if is_creation {
            for caller in self.creations.remove(&id) {
                context.respond(caller, outcome.response(caller.edge));
            }
        }
        if self.role.is_head {
            self.update_driver(context, &id, &outcome);
        }
    }

    fn install_snapshot(&mut self, context: &Context<'_>, index: u64, bytes: &[u8]) {
        match self.state.install_snapshot(index, bytes) {
            Ok(()) => self.retention.observe_all(context.now, self.state.store()),
            Err(error) => self.fail(context, &error),
        }
    }

    /// Stops the replica, because an entry or state that all replicas share can't be encoded or decoded here.
    fn fail(&mut self, context: &Context<'_>, error: &JobsError) {
        log::error!(partition = context.partition; "replica stopped: {error}");
        self.replica.fail();
    }

    /// Initializes or clears the state of the head and of the tail after a change of role.
    fn update_role(&mut self, context: &mut Context<'_>) {
        let role = self.replica.role();
        let previous = std::mem::replace(&mut self.role, role);
        if role.is_head && !previous.is_head {
            self.driver_leases.restart(context.now, self.state.store());
            self.retention.restart_timers(context.now);
        }
        if previous.is_head && !role.is_head {
            self.driver_leases.clear();
            self.creations.clear();
            context.respond_all(self.renewals.remove_all(), &JobsResponse::Unavailable);
        }
        if previous.is_tail && !role.is_tail {
            context.respond_all(self.reads.remove_all(), &JobsResponse::Unavailable);
        }
        if role.is_head && !previous.is_head {
            // Drivers that shut down while there was no head are replaced without waiting for a time-out.
            self.check_driver_leases(context);
        }
    }

    fn create(&mut self, context: &mut Context<'_>, caller: Caller, job: Arc<JobRecord>, capacity: Capacity) {
        let decision = self.creations.admit(self.state.store(), capacity, caller, job);
        self.write(context, caller, decision);
    }

    fn write(&mut self, context: &mut Context<'_>, caller: Caller, decision: WriteDecision) {
        match decision {
            WriteDecision::Respond(response) => context.respond(caller, response),
            WriteDecision::Propose(command) => self.propose(context, Some(caller), command),
            WriteDecision::AwaitPending => {}
        }
    }

    /// Proposes a command at the head.
    fn propose(&mut self, context: &mut Context<'_>, caller: Option<Caller>, command: Command) {
        let age = command.job().map_or(Duration::ZERO, |id| self.retention.age(context.now, id));
        match (Proposal { caller, age, command }).encode() {
            Ok(command) => self.handle_replica_event(context, ReplicaEvent::Submit { command }),
            Err(error) => log::error!(partition = context.partition; "command not proposed: {error}"),
        }
    }

    /// Handles a proposal rejected by the replica, because it is not the head or has too many pending proposals.
    fn on_proposal_rejected(&mut self, context: &mut Context<'_>, command: &[u8]) {
        let Ok(proposal) = Proposal::decode(command) else { return };
        let mut callers: Vec<_> = proposal.caller.into_iter().collect();
        match &proposal.command {
            Command::Create { job, .. } => callers.extend(self.creations.remove(&job.id)),
            Command::AssignDriver { job, .. } => self.driver_leases.on_reassignment_rejected(job),
            _ => {}
        }
        context.respond_all(callers, &JobsResponse::Unavailable);
    }

    fn read(&mut self, context: &mut Context<'_>, read: Read) {
        if let Some(response) = read.stable_response(self.state.store()) {
            context.respond(read.caller, response);
            return;
        }
        if self.reads.is_full() {
            context.respond(read.caller, JobsResponse::Unavailable);
            return;
        }
        let token = self.read_tokens.allocate();
        self.reads.insert(token, read);
        self.handle_replica_event(context, ReplicaEvent::Read { token });
    }

    fn renew_driver_leases(
        &mut self,
        context: &mut Context<'_>,
        caller: Caller,
        leases: Vec<(JobId, DriverTerm)>,
    ) {
        if self.renewals.is_full() {
            context.respond(caller, JobsResponse::Unavailable);
            return;
        }
        let token = self.read_tokens.allocate();
        self.renewals.insert(token, Renewal { caller, leases });
        self.handle_replica_event(context, ReplicaEvent::Read { token });
    }

    /// Handles a read confirmed by the chain: the state applied here is the newest one.
    fn on_read_confirmed(&mut self, context: &mut Context<'_>, token: ReadToken) {
        self.reads.confirm(token);
        if let Some(Renewal { caller, leases }) = self.renewals.remove(token) {
            let (now, store) = (context.now, self.state.store());
            let states = leases.iter().map(|(id, term)| self.driver_leases.renew(now, id, *term, store));
            let states = states.collect();
            context.respond(caller, JobsResponse::Renewed(states));
        }
    }

    /// Handles a read that the chain could not confirm.
    fn on_read_failed(&mut self, context: &mut Context<'_>, token: ReadToken) {
        let renewal = self.renewals.remove(token).map(|renewal| renewal.caller);
        let callers = renewal.into_iter().chain(self.reads.remove(token));
        context.respond_all(callers, &JobsResponse::Unavailable);
    }

    fn send_read_responses(&mut self, context: &mut Context<'_>) {
        if self.reads.is_empty() {
            return;
        }
        for (caller, response) in self.reads.poll_responses(context.now, self.state.store()) {
            context.respond(caller, response);
        }
    }

    /// Updates the lease of a batch job's driver after a committed command, and sends the driver its assignment or stops it. Called
    /// at the head.
    fn update_driver(&mut self, context: &mut Context<'_>, id: &str, outcome: &Outcome) {
        match (self.state.store().job(id), outcome) {
            (Some(job), Outcome::Ended { stopped: Some((_, term)) }) => {
                self.driver_leases.remove(id);
                context.send_to_edge(job.driver().address, driver_assignment::stop_message(id, *term));
            }
            (Some(job), _) => {
                if self.driver_leases.update(context.now, id, job) {
                    self.send_assignment(context, id);
                }
            }
            (None, _) => self.driver_leases.remove(id),
        }
    }

    fn check_driver_leases(&mut self, context: &mut Context<'_>) {
        for action in self.driver_leases.handle_timeout(context.now, context.edges) {
            match action {
                LeaseAction::Reassign { job, term, edge } => {
                    self.propose(context, None, Command::AssignDriver { job, term, edge });
                }
                LeaseAction::ResendAssignment { job } => self.send_assignment(context, &job),
            }
        }
    }

    fn send_assignment(&mut self, context: &mut Context<'_>, id: &str) {
        let Some(job) = self.state.store().job(id) else { return };
        self.driver_leases.on_assignment_sent(context.now, id);
        if let Some(to) = context.edges.address(job.driver().incarnation) {
            let age = self.retention.age(context.now, id);
            context.send_to_edge(to, driver_assignment::assign_message(job, age));
        }
    }

    /// Proposes the deletion of ended batch jobs whose retention period has passed, and the replication of the ages of ended ones.
    fn enforce_retention(&mut self, context: &mut Context<'_>) {
        let Some(expired) = self.retention.check_expiry(context.now, self.state.store()) else { return };
        for job in expired {
            self.propose(context, None, Command::Delete { job });
        }
        if let Some(ages) = self.retention.ages_to_record(context.now, self.state.store()) {
            self.propose(context, None, Command::RecordAges { ages });
        }
    }
}

fn persist(context: &mut Context<'_>, write: DurableWrite) {
    context.out.push(PartitionAction::Persist { token: write.token, records: write.records });
}

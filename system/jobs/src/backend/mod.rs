//! All partitions of one backend and their writes to the disk that they share. Sans I/O.
//!
//! The host writes the records of [`BackendAction::Persist`] in the given order, the records of each action as one batch that is
//! durable as a whole or not at all, and passes [`BackendEvent::Durable`] once they are synced. Nothing is acknowledged earlier.

mod record;
mod snapshot_admission;
mod write_queue;

use std::net::SocketAddr;
use std::time::Duration;

use gingerledge_chain::{MemberId, ReplicaMessage};
use gingerledge_wire::{BackendReport, JobsMessage, JobsResponse, PartitionRecord, PARTITION_COUNT};

pub use record::{DiskContent, DiskRecord};

use crate::error::JobsError;
use crate::partition::{Capacity, ClientRequest, Context, EdgeState, Edges, Partition, PartitionAction};
use crate::settings::JobsSettings;
use write_queue::WriteQueue;

/// Input event of a backend.
#[derive(Clone, Debug)]
pub enum BackendEvent {
    /// The process has started. Must be the first event, and is passed exactly once.
    Started,
    /// The control plane has set a new chain for a partition.
    ChainChanged {
        /// Number of the partition.
        partition: u16,
        /// Chain and epoch of the partition.
        record: PartitionRecord,
    },
    /// The registry reports a new state of an edge.
    EdgeChanged {
        /// Incarnation of the edge.
        incarnation: u64,
        /// New state of the edge.
        state: EdgeState,
    },
    /// Another replica of a partition has sent a message.
    ReplicaMessage {
        /// Number of the partition.
        partition: u16,
        /// Member that sent the message.
        from: MemberId,
        /// The message.
        message: ReplicaMessage,
    },
    /// An edge has sent a request.
    Request {
        /// Number of the partition.
        partition: u16,
        /// The request.
        request: ClientRequest,
    },
    /// All records up to and including those of this token are synced.
    Durable {
        /// The token of a [`BackendAction::Persist`].
        token: u64,
    },
    /// The time returned by [`Backend::next_timer`] has been reached.
    TimerExpired,
}

/// Output action of a backend, for its host to perform.
#[derive(Clone, Debug)]
pub enum BackendAction {
    /// Send a message to another replica of a partition; dropped if the address of its member isn't known.
    SendToMember {
        /// Member that receives the message.
        to: MemberId,
        /// Number of the partition.
        partition: u16,
        /// The message.
        message: ReplicaMessage,
    },
    /// Send a message to an edge.
    SendToEdge {
        /// Internal address of the receiving edge.
        to: SocketAddr,
        /// The message.
        message: JobsMessage,
    },
    /// Write records as one batch and sync them, then pass [`BackendEvent::Durable`] with the token.
    Persist {
        /// Identifies this write; each token is one higher than the previous one.
        token: u64,
        /// The records, encoded.
        records: Vec<Vec<u8>>,
    },
}

/// One backend: its partitions, the known edges, and the queue of disk writes.
#[derive(Debug)]
pub struct Backend {
    member_id: MemberId,
    settings: JobsSettings,
    partitions: Vec<Partition>,
    edges: Edges,
    writes: WriteQueue,
}

impl Backend {
    /// Creates a backend from the content of its disk.
    #[must_use]
    pub fn new(member_id: MemberId, mut content: DiskContent, settings: JobsSettings, seed: u64) -> Self {
        let mut seed_rng = fastrand::Rng::with_seed(seed);
        let partitions = (0..PARTITION_COUNT).map(|partition| {
            let seed = seed_rng.u64(..);
            match content.partitions.remove(&partition) {
                Some(records) => Partition::recover(member_id, &records, &settings, seed),
                None => Partition::new(member_id, &settings, seed),
            }
        });
        let partitions = partitions.collect();
        Self { member_id, settings, partitions, edges: Edges::default(), writes: WriteQueue::default() }
    }

    /// Handles an event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Duration, event: BackendEvent, out: &mut Vec<BackendAction>) {
        match event {
            BackendEvent::Started => {
                self.with_each_partition(now, out, super::partition::Partition::start);
            }
            BackendEvent::ChainChanged { partition, record } => {
                self.with_partition(now, partition, out, |partition, context| {
                    partition.install_chain(context, &record);
                });
            }
            BackendEvent::EdgeChanged { incarnation, state } => {
                self.on_edge_changed(now, incarnation, state, out);
            }
            BackendEvent::ReplicaMessage { partition, from, message } => {
                self.with_partition(now, partition, out, |partition, context| {
                    partition.handle_message(context, from, message);
                });
            }
            BackendEvent::Request { partition, request } => self.on_request(now, partition, request, out),
            BackendEvent::Durable { token } => self.on_durable(now, token, out),
            BackendEvent::TimerExpired => self.on_timer_expired(now, out),
        }
        self.admit_snapshots(now, out);
        if let Some(batch) = self.writes.close_batch(now) {
            out.push(BackendAction::Persist { token: batch.token, records: batch.records });
        }
    }

    /// Time at which [`BackendEvent::TimerExpired`] must be passed next.
    pub fn next_timer(&self) -> Option<Duration> {
        self.partitions.iter().filter_map(Partition::next_timer).min()
    }

    /// Member id of this backend, which is the identity of its disk.
    #[must_use]
    pub fn member(&self) -> MemberId {
        self.member_id
    }

    /// The partition with this number, if there is one.
    #[must_use]
    pub fn partition(&self, partition: u16) -> Option<&Partition> {
        self.partitions.get(usize::from(partition))
    }

    /// Status report for the coordinator of the control plane.
    #[must_use]
    pub fn report(&self, now: Duration) -> BackendReport {
        let in_sync = (0..)
            .zip(&self.partitions)
            .filter_map(|(number, partition)| partition.in_sync_epoch().map(|epoch| (number, epoch)));
        BackendReport {
            in_sync: in_sync.collect(),
            bytes: self.bytes(),
            disk_stalled: self.is_disk_stalled(now),
        }
    }

    /// Whether the oldest pending write has been queued for at least the disk-stall time-out.
    #[must_use]
    pub fn is_disk_stalled(&self, now: Duration) -> bool {
        self.writes.oldest_queued_at().is_some_and(|since| now >= since + self.settings.disk_stall_timeout)
    }

    /// Whether all writes are durable.
    #[must_use]
    pub fn is_synced(&self) -> bool {
        self.writes.oldest_queued_at().is_none()
    }

    /// All records that must stay on the disk; they replace all earlier ones. `None` if they can't be determined at present; the
    /// caller retries later.
    ///
    /// # Errors
    ///
    /// A record can't be encoded.
    pub fn checkpoint(&self) -> Result<Option<Vec<Vec<u8>>>, JobsError> {
        let mut records = vec![DiskRecord::Identity(self.member_id.0).encode()?];
        for (number, partition) in (0..).zip(&self.partitions) {
            let Some(checkpoint) = partition.checkpoint()? else { return Ok(None) };
            for record in checkpoint {
                records.push(DiskRecord::Partition(number, record).encode()?);
            }
        }
        Ok(Some(records))
    }

    fn bytes(&self) -> u64 {
        self.partitions.iter().map(Partition::bytes).sum()
    }

    fn capacity(&self, now: Duration) -> Capacity {
        let has_write_capacity = self.writes.unsynced_bytes() < self.settings.max_unsynced_bytes;
        Capacity {
            state_bytes: self.settings.max_state_bytes.saturating_sub(self.bytes()),
            is_disk_ready: has_write_capacity && !self.is_disk_stalled(now),
        }
    }

    fn on_request(
        &mut self,
        now: Duration,
        partition: u16,
        request: ClientRequest,
        out: &mut Vec<BackendAction>,
    ) {
        if partition < PARTITION_COUNT {
            let capacity = self.capacity(now);
            self.with_partition(now, partition, out, |partition, context| {
                partition.handle_request(context, request, capacity);
            });
        } else {
            let caller = request.caller;
            let message = JobsMessage::Response { request: caller.request, body: JobsResponse::Unavailable };
            out.push(BackendAction::SendToEdge { to: caller.reply_to, message });
        }
    }

    fn on_edge_changed(
        &mut self,
        now: Duration,
        incarnation: u64,
        state: EdgeState,
        out: &mut Vec<BackendAction>,
    ) {
        self.edges.set_state(incarnation, state);
        // Batch jobs whose driver has shut down or was succeeded by this edge get a new driver without waiting for a time-out.
        self.with_each_partition(now, out, super::partition::Partition::handle_timeout);
    }

    fn on_durable(&mut self, now: Duration, token: u64, out: &mut Vec<BackendAction>) {
        while let Some(partitions) = self.writes.pop_durable(token) {
            for (number, token) in partitions {
                self.with_partition(now, number, out, |partition, context| {
                    partition.on_durable(context, token);
                });
            }
        }
    }

    fn on_timer_expired(&mut self, now: Duration, out: &mut Vec<BackendAction>) {
        self.with_each_partition(now, out, |partition, context| {
            if partition.next_timer().is_some_and(|timer| timer <= context.now) {
                partition.handle_timeout(context);
            }
        });
    }

    /// Has partitions send the snapshots for which there are slots.
    fn admit_snapshots(&mut self, now: Duration, out: &mut Vec<BackendAction>) {
        for _ in 0..PARTITION_COUNT {
            let Some(number) = snapshot_admission::next_admitted(&self.partitions) else { return };
            self.with_partition(now, number, out, Partition::provide_snapshot);
        }
    }

    fn with_each_partition(
        &mut self,
        now: Duration,
        out: &mut Vec<BackendAction>,
        handle: impl Fn(&mut Partition, &mut Context<'_>),
    ) {
        for number in 0..PARTITION_COUNT {
            self.with_partition(now, number, out, |partition, context| handle(partition, context));
        }
    }

    /// Calls `handle` with a partition, and processes the actions that result.
    fn with_partition(
        &mut self,
        now: Duration,
        number: u16,
        out: &mut Vec<BackendAction>,
        handle: impl FnOnce(&mut Partition, &mut Context<'_>),
    ) {
        let Some(partition) = self.partitions.get_mut(usize::from(number)) else { return };
        let mut actions = Vec::new();
        handle(partition, &mut Context { partition: number, now, edges: &self.edges, out: &mut actions });
        for action in actions {
            match action {
                PartitionAction::SendToMember { to, message } => {
                    out.push(BackendAction::SendToMember { to, partition: number, message });
                }
                PartitionAction::SendToEdge { to, message } => {
                    out.push(BackendAction::SendToEdge { to, message });
                }
                PartitionAction::Persist { token, records } => self.writes.push(number, token, records),
            }
        }
    }
}

//! All partitions of one backend on their common disk. Sans I/O.
//!
//! The host writes the records of [`BackendAction::Persist`] in the given order, the records of each action as one batch that is
//! durable as a whole or not at all, and gives [`BackendEvent::Durable`] once they are synced. Nothing is acknowledged before.

mod record;
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

/// Something that happens to a backend.
#[derive(Clone, Debug)]
pub enum BackendEvent {
    /// The process has started; given once, first.
    Started,
    /// The control plane has decided the chain of a partition.
    ChainDecided {
        /// The partition.
        partition: u16,
        /// Its chain and epoch.
        record: PartitionRecord,
    },
    /// The registry has a new state of an edge.
    EdgeChanged {
        /// The edge's incarnation.
        incarnation: u64,
        /// Its state.
        state: EdgeState,
    },
    /// Another replica of a partition has sent a message.
    ReplicaMessage {
        /// The partition.
        partition: u16,
        /// The sender.
        from: MemberId,
        /// The message.
        message: ReplicaMessage,
    },
    /// An edge has sent a request.
    Request {
        /// The partition.
        partition: u16,
        /// The request.
        request: ClientRequest,
    },
    /// All records up to those of this token are synced.
    Durable {
        /// The token of a [`BackendAction::Persist`].
        token: u64,
    },
    /// The time of [`Backend::next_timer`] has come.
    TimerExpired,
}

/// Something that the host of a backend carries out.
#[derive(Clone, Debug)]
pub enum BackendAction {
    /// Send a message to a replica; drop it if the address of the member isn't known.
    SendMember {
        /// The receiver.
        to: MemberId,
        /// The partition.
        partition: u16,
        /// The message.
        message: ReplicaMessage,
    },
    /// Send a message to an edge.
    SendEdge {
        /// Internal address of the edge.
        to: SocketAddr,
        /// The message.
        message: JobsMessage,
    },
    /// Write records as one batch and sync them, then give [`BackendEvent::Durable`].
    Persist {
        /// Identifies this action; tokens rise by one.
        token: u64,
        /// The records, encoded.
        records: Vec<Vec<u8>>,
    },
}

/// One backend.
#[derive(Debug)]
pub struct Backend {
    me: MemberId,
    settings: JobsSettings,
    partitions: Vec<Partition>,
    edges: Edges,
    writes: WriteQueue,
}

impl Backend {
    /// A backend with the content of its disk.
    #[must_use]
    pub fn new(me: MemberId, mut content: DiskContent, settings: JobsSettings, seed: u64) -> Self {
        let mut seeds = fastrand::Rng::with_seed(seed);
        let partitions = (0..PARTITION_COUNT).map(|partition| {
            let seed = seeds.u64(..);
            match content.partitions.remove(&partition) {
                Some(records) => Partition::recover(me, &records, &settings, seed),
                None => Partition::new(me, &settings, seed),
            }
        });
        let partitions = partitions.collect();
        Self { me, settings, partitions, edges: Edges::default(), writes: WriteQueue::default() }
    }

    /// Handles an event and appends the actions that follow.
    pub fn handle(&mut self, now: Duration, event: BackendEvent, out: &mut Vec<BackendAction>) {
        match event {
            BackendEvent::Started => {
                self.with_each_partition(now, out, super::partition::Partition::start);
            }
            BackendEvent::ChainDecided { partition, record } => {
                self.with_partition(now, partition, out, |partition, context| {
                    partition.install(context, &record);
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
        if let Some(batch) = self.writes.close_batch(now) {
            out.push(BackendAction::Persist { token: batch.token, records: batch.records });
        }
    }

    /// When [`BackendEvent::TimerExpired`] is to be given next.
    pub fn next_timer(&self) -> Option<Duration> {
        self.partitions.iter().filter_map(Partition::next_timer).min()
    }

    /// The identity of the disk.
    #[must_use]
    pub fn member(&self) -> MemberId {
        self.me
    }

    /// The partition with a number.
    #[must_use]
    pub fn partition(&self, partition: u16) -> Option<&Partition> {
        self.partitions.get(usize::from(partition))
    }

    /// The report to the coordinator of the control plane.
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

    /// Whether the oldest write takes longer than the disk-stall time-out.
    #[must_use]
    pub fn is_disk_stalled(&self, now: Duration) -> bool {
        self.writes.oldest_since().is_some_and(|since| now >= since + self.settings.disk_stall_timeout)
    }

    /// Whether all writes are durable.
    #[must_use]
    pub fn is_synced(&self) -> bool {
        self.writes.oldest_since().is_none()
    }

    /// All records that must stay on the disk, in place of all before. None while that is not known, to be retried later.
    ///
    /// # Errors
    ///
    /// A record can't be encoded.
    pub fn checkpoint(&self) -> Result<Option<Vec<Vec<u8>>>, JobsError> {
        let mut records = vec![DiskRecord::Identity(self.me.0).encode()?];
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
            out.push(BackendAction::SendEdge { to: caller.reply_to, message });
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
        // Drivers that it replaces, or that have ended with it, are replaced without waiting for a time-out.
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

    /// Lets a partition handle an event, and carries out its actions.
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
                PartitionAction::SendMember { to, message } => {
                    out.push(BackendAction::SendMember { to, partition: number, message });
                }
                PartitionAction::SendEdge { to, message } => {
                    out.push(BackendAction::SendEdge { to, message });
                }
                PartitionAction::Persist { token, records } => self.writes.push(number, token, records),
            }
        }
    }
}

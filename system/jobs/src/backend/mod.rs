//! All partitions of one backend, and their common disk. Sans I/O.
//!
//! The host writes the records of [`BackendAction::Persist`] in the order given, each action's records as one batch that is
//! on the disk whole or not at all, and gives [`BackendEvent::Durable`] once they are synced.

mod record;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use gingerledge_chain::{LogRecord, MemberId, ReplicaMessage};
use gingerledge_wire::{
    BackendReport, JobsMessage, JobsRequest, JobsResponse, PartitionRecord, PARTITION_COUNT,
};

pub use record::{DiskContent, DiskRecord};

use crate::error::JobsError;
use crate::partition::{Context, EdgeState, Edges, Partition, PartitionAction, Room};
use crate::settings::JobsSettings;
use crate::store::Asker;

/// What happens to a backend.
#[derive(Clone, Debug)]
pub enum BackendEvent {
    /// The process has started; given once, first.
    Started,
    /// The chain of a partition has been decided.
    Chain {
        /// The partition.
        partition: u16,
        /// Its chain.
        record: PartitionRecord,
    },
    /// News of an edge.
    Edge {
        /// Its incarnation.
        incarnation: u64,
        /// How it is.
        state: EdgeState,
    },
    /// A replica of a partition sends a message.
    Replica {
        /// The partition.
        partition: u16,
        /// The sender.
        from: MemberId,
        /// The message.
        message: ReplicaMessage,
    },
    /// An edge asks.
    Ask {
        /// Who.
        asker: Asker,
        /// About which partition.
        partition: u16,
        /// The epoch of the partition's chain that it knows.
        epoch: u64,
        /// What.
        request: JobsRequest,
    },
    /// All records up to those of this token are synced.
    Durable {
        /// The token of a [`BackendAction::Persist`].
        token: u64,
    },
    /// The time of [`Backend::next_timer`] has come.
    Tick,
}

/// What the host of a backend is to do.
#[derive(Clone, Debug)]
pub enum BackendAction {
    /// Send to a replica; drop it if its address isn't known.
    SendMember {
        /// The receiver.
        to: MemberId,
        /// The partition.
        partition: u16,
        /// The message.
        message: ReplicaMessage,
    },
    /// Send to an edge.
    SendEdge {
        /// The receiver.
        to: SocketAddr,
        /// The message.
        message: JobsMessage,
    },
    /// Write records as one batch and sync them, then give [`BackendEvent::Durable`].
    Persist {
        /// Names this action; tokens rise.
        token: u64,
        /// The records, encoded.
        records: Vec<Vec<u8>>,
    },
}

/// What waits for the disk.
#[derive(Debug)]
struct Unsynced {
    token: u64,
    bytes: u64,
    since: Duration,
    /// The newest token of each partition in the batch.
    partitions: Vec<(u16, u64)>,
}

/// One backend.
#[derive(Debug)]
pub struct Backend {
    me: MemberId,
    settings: JobsSettings,
    partitions: Vec<Partition>,
    edges: Edges,
    /// The last token, and what waits for the disk, oldest first.
    last_token: u64,
    unsynced: VecDeque<Unsynced>,
    unsynced_bytes: u64,
    /// Records of the event under way.
    batch: Vec<Vec<u8>>,
    batch_partitions: Vec<(u16, u64)>,
    /// A record could not be encoded: nothing may be acknowledged any more.
    failed: bool,
}

impl Backend {
    /// A backend with what its disk holds.
    pub fn new(me: MemberId, mut content: DiskContent, settings: JobsSettings, seed: u64) -> Self {
        let mut seeds = fastrand::Rng::with_seed(seed);
        let partitions = (0..PARTITION_COUNT).map(|partition| {
            let seed = seeds.u64(..);
            match content.partitions.remove(&partition) {
                Some(records) => Partition::recover(me, &records, settings.clone(), seed),
                None => Partition::new(me, settings.clone(), seed),
            }
        });
        let partitions = partitions.collect();
        Self {
            me,
            settings,
            partitions,
            edges: Edges::default(),
            last_token: 0,
            unsynced: VecDeque::new(),
            unsynced_bytes: 0,
            batch: Vec::new(),
            batch_partitions: Vec::new(),
            failed: false,
        }
    }

    /// Takes an event and appends what is to be done.
    pub fn handle(&mut self, now: Duration, event: BackendEvent, out: &mut Vec<BackendAction>) {
        match event {
            BackendEvent::Started => self.each(now, out, |partition, context| partition.start(context)),
            BackendEvent::Chain { partition, record } => {
                self.one(now, partition, out, |partition, context| partition.install(context, &record))
            }
            BackendEvent::Edge { incarnation, state } => self.on_edge(now, incarnation, state, out),
            BackendEvent::Replica { partition, from, message } => {
                self.one(now, partition, out, |partition, context| partition.receive(context, from, message))
            }
            BackendEvent::Ask { asker, partition, epoch, request } => {
                self.on_ask(now, asker, partition, epoch, request, out)
            }
            BackendEvent::Durable { token } => self.on_durable(now, token, out),
            BackendEvent::Tick => self.on_tick(now, out),
        }
        self.finish_batch(now, out);
    }

    /// When [`BackendEvent::Tick`] is wanted next.
    pub fn next_timer(&self) -> Option<Duration> {
        self.partitions.iter().filter_map(Partition::next_timer).min()
    }

    /// The identity of the disk.
    pub fn member(&self) -> MemberId {
        self.me
    }

    /// One of the partitions.
    pub fn partition(&self, partition: u16) -> Option<&Partition> {
        self.partitions.get(usize::from(partition))
    }

    /// What the coordinator is told.
    pub fn report(&self, now: Duration) -> BackendReport {
        let in_sync = (0..)
            .zip(&self.partitions)
            .filter_map(|(number, partition)| partition.full_epoch().map(|epoch| (number, epoch)));
        BackendReport {
            in_sync: in_sync.collect(),
            bytes: self.bytes(),
            disk_stalled: self.disk_is_stalled(now),
        }
    }

    /// Whether the disk has kept records waiting for longer than it should.
    pub fn disk_is_stalled(&self, now: Duration) -> bool {
        self.unsynced.front().is_some_and(|oldest| now >= oldest.since + self.settings.disk_stall)
    }

    /// Whether nothing waits for the disk.
    pub fn is_synced(&self) -> bool {
        self.unsynced.is_empty()
    }

    /// Everything that must stay on the disk, in place of all records so far. None while that can't be told; ask again later.
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

    fn room(&self, now: Duration) -> Room {
        Room {
            state_bytes: self.settings.state_bytes.saturating_sub(self.bytes()),
            disk_keeps_up: self.unsynced_bytes < self.settings.unsynced_bytes && !self.disk_is_stalled(now),
        }
    }

    fn on_ask(
        &mut self,
        now: Duration,
        asker: Asker,
        partition: u16,
        epoch: u64,
        request: JobsRequest,
        out: &mut Vec<BackendAction>,
    ) {
        let room = self.room(now);
        if partition < PARTITION_COUNT {
            self.one(now, partition, out, |partition, context| {
                partition.ask(context, asker, epoch, request, room)
            });
        } else {
            let message = JobsMessage::Response { request: asker.request, body: JobsResponse::Unavailable };
            out.push(BackendAction::SendEdge { to: asker.reply_to, message });
        }
    }

    fn on_edge(&mut self, now: Duration, incarnation: u64, state: EdgeState, out: &mut Vec<BackendAction>) {
        self.edges.set(incarnation, state);
        // Drivers that it takes the place of, or that are gone with it, are replaced at once.
        self.each(now, out, |partition, context| partition.tick(context));
    }

    fn on_durable(&mut self, now: Duration, token: u64, out: &mut Vec<BackendAction>) {
        while self.unsynced.front().is_some_and(|oldest| oldest.token <= token) {
            let Some(synced) = self.unsynced.pop_front() else { return };
            self.unsynced_bytes -= synced.bytes;
            for (number, token) in synced.partitions {
                self.one(now, number, out, |partition, context| partition.durable(context, token));
            }
        }
    }

    fn on_tick(&mut self, now: Duration, out: &mut Vec<BackendAction>) {
        self.each(now, out, |partition, context| {
            if partition.next_timer().is_some_and(|timer| timer <= context.now) {
                partition.tick(context);
            }
        });
    }

    fn each(
        &mut self,
        now: Duration,
        out: &mut Vec<BackendAction>,
        act: impl Fn(&mut Partition, &mut Context<'_>),
    ) {
        for number in 0..PARTITION_COUNT {
            self.one(now, number, out, |partition, context| act(partition, context));
        }
    }

    fn one(
        &mut self,
        now: Duration,
        number: u16,
        out: &mut Vec<BackendAction>,
        act: impl FnOnce(&mut Partition, &mut Context<'_>),
    ) {
        let Some(partition) = self.partitions.get_mut(usize::from(number)) else { return };
        let mut actions = Vec::new();
        act(partition, &mut Context { now, edges: &self.edges, out: &mut actions });
        for action in actions {
            match action {
                PartitionAction::SendMember { to, message } => {
                    out.push(BackendAction::SendMember { to, partition: number, message })
                }
                PartitionAction::SendEdge { to, message } => {
                    out.push(BackendAction::SendEdge { to, message })
                }
                PartitionAction::Persist { token, records } => self.add_to_batch(number, token, records),
            }
        }
    }

    fn add_to_batch(&mut self, number: u16, token: u64, records: Vec<LogRecord>) {
        for record in records {
            match DiskRecord::Partition(number, record).encode() {
                Ok(bytes) => self.batch.push(bytes),
                Err(error) => {
                    log::error!("nothing more is written: {error}");
                    self.failed = true;
                }
            }
        }
        match self.batch_partitions.iter_mut().find(|(partition, _)| *partition == number) {
            Some((_, newest)) => *newest = token,
            None => self.batch_partitions.push((number, token)),
        }
    }

    fn finish_batch(&mut self, now: Duration, out: &mut Vec<BackendAction>) {
        let partitions = std::mem::take(&mut self.batch_partitions);
        let records = std::mem::take(&mut self.batch);
        if partitions.is_empty() || self.failed {
            return;
        }
        self.last_token += 1;
        let bytes = records.iter().map(|record| record.len() as u64).sum();
        self.unsynced_bytes += bytes;
        let token = self.last_token;
        self.unsynced.push_back(Unsynced { token, bytes, since: now, partitions });
        out.push(BackendAction::Persist { token, records });
    }
}

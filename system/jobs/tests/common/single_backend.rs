//! A single backend without peers. The test controls the clock and the disk, and acts as the edges.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gingerledge_chain::MemberId;
use gingerledge_jobs::backend::{Backend, BackendAction, BackendEvent, DiskContent};
use gingerledge_jobs::partition::ClientRequest;
use gingerledge_jobs::partition::EdgeState;
use gingerledge_jobs::store::Caller;
use gingerledge_jobs::JobsSettings;
use gingerledge_wire::{
    ItemRecord, JobRecord, JobsMessage, JobsRequest, JobsResponse, PartialText, PartitionRecord, ResultRecord,
};

use super::settings::TestSettings;

pub const MEMBER: u64 = 5;
pub const EDGE: u64 = 77;
pub const OTHER_EDGE: u64 = 78;
/// Incarnation of the edge `EDGE` after a restart.
pub const NEXT_INCARNATION: u64 = 79;
pub const PARTITION: u16 = 3;

/// A backend with a clock, the records that it has written, and the messages that it has sent to edges.
pub struct SingleBackend {
    pub backend: Backend,
    pub now: Duration,
    /// Tokens of the writes that are not synced.
    unsynced: Vec<u64>,
    pub records: Vec<Vec<u8>>,
    pub sent: Vec<JobsMessage>,
    next_request: u64,
}

/// Settings of a backend whose chains tolerate the failure of `fault_tolerance` machines.
pub fn settings(fault_tolerance: usize) -> JobsSettings {
    TestSettings { fault_tolerance, memory_mb: 16, retention_s: Some(100) }.build()
}

pub fn address(edge: u64) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, 1], edge as u16))
}

impl SingleBackend {
    /// Creates a backend that is the only member of the chain of `PARTITION`.
    pub fn new(fault_tolerance: usize) -> Self {
        let backend = Backend::new(MemberId(MEMBER), DiskContent::default(), settings(fault_tolerance), 1);
        let (unsynced, records, sent) = (Vec::new(), Vec::new(), Vec::new());
        let mut host = Self { backend, now: Duration::ZERO, unsynced, records, sent, next_request: 0 };
        host.handle(BackendEvent::Started);
        for edge in [EDGE, OTHER_EDGE] {
            host.handle(BackendEvent::EdgeChanged {
                incarnation: edge,
                state: EdgeState::Reachable(address(edge)),
            });
        }
        host.install_chain();
        host
    }

    /// Restarts the process with the content of its disk, and installs the chain. No edge is known yet.
    pub fn restart(&mut self) {
        self.restart_without_chain();
        self.install_chain();
        // Callers of the previous incarnation may get a second response.
        self.sent.clear();
    }

    /// Restarts the process with the content of its disk. Neither the chain nor any edge is known yet.
    pub fn restart_without_chain(&mut self) {
        let content = DiskContent::read(self.records.clone()).unwrap();
        self.backend = Backend::new(MemberId(MEMBER), content, settings(0), 2);
        self.unsynced.clear();
        self.sent.clear();
        self.handle(BackendEvent::Started);
        self.sync();
    }

    /// Installs the chain of `PARTITION`.
    pub fn install_chain(&mut self) {
        let record = PartitionRecord { epoch: 1, chain: vec![MEMBER], in_sync: vec![MEMBER] };
        self.handle(BackendEvent::ChainChanged { partition: PARTITION, record });
        self.sync();
    }

    pub fn edge_is_reachable(&mut self, incarnation: u64, address: SocketAddr) {
        self.handle(BackendEvent::EdgeChanged { incarnation, state: EdgeState::Reachable(address) });
        self.sync();
    }

    /// Terms of the assignments sent to drivers.
    pub fn assigned_terms(&self) -> Vec<u64> {
        let term = |message: &JobsMessage| match message {
            JobsMessage::AssignDriver { term, .. } => Some(*term),
            _ => None,
        };
        self.sent.iter().filter_map(term).collect()
    }

    pub fn handle(&mut self, event: BackendEvent) {
        let mut actions = Vec::new();
        self.backend.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                BackendAction::SendToEdge { message, .. } => self.sent.push(message),
                BackendAction::Persist { token, records } => {
                    self.unsynced.push(token);
                    self.records.extend(records);
                }
                BackendAction::SendToMember { .. } => {}
            }
        }
    }

    pub fn sync(&mut self) {
        while !self.unsynced.is_empty() {
            let token = self.unsynced.remove(0);
            self.handle(BackendEvent::Durable { token });
        }
    }

    /// Advances the clock and handles all timers that expire in the meantime.
    pub fn advance(&mut self, milliseconds: u64) {
        let end = self.now + Duration::from_millis(milliseconds);
        while let Some(timer) = self.backend.next_timer().filter(|timer| *timer <= end) {
            self.now = self.now.max(timer);
            self.handle(BackendEvent::TimerExpired);
            self.sync();
        }
        self.now = end;
    }

    /// Sends a request without syncing the disk.
    pub fn send(&mut self, edge: u64, request: JobsRequest) {
        self.next_request += 1;
        let caller = Caller { request: self.next_request, reply_to: address(edge), edge };
        let request = ClientRequest { caller, epoch: 1, body: request };
        self.handle(BackendEvent::Request { partition: PARTITION, request });
    }

    pub fn request(&mut self, request: JobsRequest) -> Vec<JobsResponse> {
        self.send(EDGE, request);
        self.sync();
        self.take_responses()
    }

    pub fn take_responses(&mut self) -> Vec<JobsResponse> {
        let response = |message| match message {
            JobsMessage::Response { body, .. } => Some(body),
            _ => None,
        };
        self.sent.drain(..).filter_map(response).collect()
    }
}

pub fn job(body_bytes: usize) -> Arc<JobRecord> {
    let item = |index: u8| ItemRecord {
        id: format!("i{index}"),
        path: "/p/".to_owned(),
        headers: Vec::new(),
        body: vec![index; body_bytes],
        tokens: 1,
        group: "g".to_owned(),
        scoring: None,
    };
    Arc::new(JobRecord {
        id: "j".to_owned(),
        host: "h".to_owned(),
        path: "/p/".to_owned(),
        step: 0,
        model: "m".to_owned(),
        min_version: 1,
        desired_groups: 1,
        items: vec![item(0), item(1)],
    })
}

pub fn create(body_bytes: usize) -> JobsRequest {
    JobsRequest::CreateJob { job: job(body_bytes) }
}

pub fn append(term: u64, item: u32) -> JobsRequest {
    let result = ResultRecord {
        item,
        completed: true,
        text: b"text".to_vec(),
        versions: vec![1],
        score: "s".to_owned(),
    };
    JobsRequest::AppendResults { job: "j".to_owned(), term, results: vec![result] }
}

pub fn read(start_after: u64, wait_ms: u64) -> JobsRequest {
    JobsRequest::ReadResults { job: "j".to_owned(), start_after, wait_ms, max_bytes: 1_000_000 }
}

/// Saves a part of the text of the second item.
pub fn save_checkpoint(term: u64, after: Option<u64>, last_id: u64, data: &[u8]) -> JobsRequest {
    let (data, versions) = (data.to_vec(), vec![1]);
    let part = PartialText {
        item: 1,
        origin: 9,
        previous_event_id: after,
        last_event_id: last_id,
        data,
        versions,
        is_complete: false,
    };
    JobsRequest::SaveCheckpoint { job: "j".to_owned(), term, texts: vec![part] }
}

pub fn renew(term: u64) -> JobsRequest {
    JobsRequest::RenewDriverLeases { jobs: vec![("j".to_owned(), term)] }
}

pub fn end() -> JobsRequest {
    JobsRequest::EndJob { job: "j".to_owned() }
}

pub fn result_count(responses: &[JobsResponse]) -> Option<usize> {
    match responses {
        [JobsResponse::Results { results, .. }] => Some(results.len()),
        _ => None,
    }
}

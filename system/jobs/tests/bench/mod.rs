//! One backend alone on a bench: its disk is as fast as the test wants, and its edges are the test.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gingerledge_chain::MemberId;
use gingerledge_jobs::backend::{Backend, BackendAction, BackendEvent, DiskContent};
use gingerledge_jobs::partition::EdgeState;
use gingerledge_jobs::store::Asker;
use gingerledge_jobs::JobsSettings;
use gingerledge_protocol::Settings;
use gingerledge_wire::{
    ItemRecord, JobRecord, JobsMessage, JobsRequest, JobsResponse, PartialText, PartitionRecord, ResultRecord,
};

pub const ME: u64 = 5;
pub const EDGE: u64 = 77;
pub const OTHER_EDGE: u64 = 78;
/// The process that runs in the place of `EDGE` once that has ended.
pub const NEXT_LIFE: u64 = 79;
pub const PARTITION: u16 = 3;

/// A backend whose disk is as fast as the test wants.
pub struct Bench {
    pub backend: Backend,
    pub now: Duration,
    unsynced: Vec<u64>,
    pub records: Vec<Vec<u8>>,
    pub sent: Vec<JobsMessage>,
    next_request: u64,
}

pub fn settings(machines: usize) -> JobsSettings {
    let text = format!(
        r#"{{"nodeName":"n","role":"r","machineClass":"c","ip":"10.0.0.1","zone":"z","internalPorts":[1,2],
        "seeds":["10.0.0.2:1"],"faultTolerance":{{"machines":{machines}}},"bounds":{{"statusS":100}},
        "limits":{{"memoryMb":16,"diskMb":128}}}}"#
    );
    JobsSettings::new(&Settings::parse(text.as_bytes()).unwrap())
}

pub fn address(edge: u64) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, 1], edge as u16))
}

impl Bench {
    /// A backend that is the whole chain of a partition.
    pub fn new(machines: usize) -> Self {
        let backend = Backend::new(MemberId(ME), DiskContent::default(), settings(machines), 1);
        let (unsynced, records, sent) = (Vec::new(), Vec::new(), Vec::new());
        let mut bench = Self { backend, now: Duration::ZERO, unsynced, records, sent, next_request: 0 };
        bench.handle(BackendEvent::Started);
        for edge in [EDGE, OTHER_EDGE] {
            bench.handle(BackendEvent::Edge { incarnation: edge, state: EdgeState::There(address(edge)) });
        }
        bench.learn_chain();
        bench
    }

    /// The process starts again with its disk; it knows no edges yet.
    pub fn restart(&mut self) {
        self.restart_before_the_chain_is_known();
        self.learn_chain();
        // Askers of the life before may be answered again.
        self.sent.clear();
    }

    pub fn restart_before_the_chain_is_known(&mut self) {
        let content = DiskContent::read(self.records.clone()).unwrap();
        self.backend = Backend::new(MemberId(ME), content, settings(0), 2);
        self.unsynced.clear();
        self.sent.clear();
        self.handle(BackendEvent::Started);
        self.sync();
    }

    pub fn learn_chain(&mut self) {
        let record = PartitionRecord { epoch: 1, chain: vec![ME], in_sync: vec![ME] };
        self.handle(BackendEvent::Chain { partition: PARTITION, record });
        self.sync();
    }

    pub fn edge_is_there(&mut self, incarnation: u64, address: SocketAddr) {
        self.handle(BackendEvent::Edge { incarnation, state: EdgeState::There(address) });
        self.sync();
    }

    /// The terms under which edges were told to drive.
    pub fn told_terms(&self) -> Vec<u64> {
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
                BackendAction::SendEdge { message, .. } => self.sent.push(message),
                BackendAction::Persist { token, records } => {
                    self.unsynced.push(token);
                    self.records.extend(records);
                }
                BackendAction::SendMember { .. } => {}
            }
        }
    }

    pub fn sync(&mut self) {
        while !self.unsynced.is_empty() {
            let token = self.unsynced.remove(0);
            self.handle(BackendEvent::Durable { token });
        }
    }

    /// Lets time pass, with all timers on the way.
    pub fn pass(&mut self, milliseconds: u64) {
        let end = self.now + Duration::from_millis(milliseconds);
        while let Some(timer) = self.backend.next_timer().filter(|timer| *timer <= end) {
            self.now = self.now.max(timer);
            self.handle(BackendEvent::Tick);
            self.sync();
        }
        self.now = end;
    }

    /// Asks without waiting for the disk.
    pub fn ask_only(&mut self, edge: u64, request: JobsRequest) {
        self.next_request += 1;
        let asker = Asker { request: self.next_request, reply_to: address(edge), edge };
        self.handle(BackendEvent::Ask { asker, partition: PARTITION, epoch: 1, request });
    }

    pub fn ask(&mut self, request: JobsRequest) -> Vec<JobsResponse> {
        self.ask_only(EDGE, request);
        self.sync();
        self.answers()
    }

    pub fn answers(&mut self) -> Vec<JobsResponse> {
        let answer = |message| match message {
            JobsMessage::Response { body, .. } => Some(body),
            _ => None,
        };
        self.sent.drain(..).filter_map(answer).collect()
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

/// A part of the text of the second item.
pub fn save(term: u64, after: Option<u64>, last_id: u64, data: &[u8]) -> JobsRequest {
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

pub fn listed(answers: &[JobsResponse]) -> Option<usize> {
    match answers {
        [JobsResponse::Results { results, .. }] => Some(results.len()),
        _ => None,
    }
}

//! Asks the backends that keep a partition, again and again, until one answers or the time is over.
//!
//! All copies of one question carry one number, so an answer to any of them answers it. A question is sent again by the newest
//! record of its partition, because its chain may have changed meanwhile.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use gingerledge_transport::Pending;
use gingerledge_wire::{partition_of, Envelope, JobsMessage, JobsRequest, JobsResponse, Registry, Role};
use tokio::sync::Notify;

use crate::Shared;

/// A question is sent again after that long without an answer.
const TRY_AGAIN: Duration = Duration::from_millis(400);
/// The pause after a backend that could not answer.
const NOT_NOW_PAUSE: Duration = Duration::from_millis(50);
/// The most questions under way at a time.
const MAX_QUESTIONS: usize = 4_096;

/// Which member of a partition's chain is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Member {
    /// Takes what changes something.
    Head,
    /// Answers reads.
    Tail,
}

/// What came of a question.
#[derive(Clone, Debug)]
pub struct Asked {
    /// A backend's answer, never [`JobsResponse::Unavailable`]; none if none came in time.
    pub answer: Option<JobsResponse>,
    /// Whether a copy of the question went out that nobody answered, and that may have been taken.
    pub in_doubt: bool,
}

/// Questions to backends that are under way.
pub struct BackendClient {
    pending: Pending<JobsResponse>,
    lost: Notify,
}

impl Default for BackendClient {
    fn default() -> Self {
        Self { pending: Pending::new(MAX_QUESTIONS), lost: Notify::new() }
    }
}

impl BackendClient {
    /// A backend answered.
    pub fn answered(&self, request: u64, answer: JobsResponse) {
        self.pending.complete(request, answer);
    }

    /// Messages may have been lost: what is under way is asked again at once.
    pub fn lost(&self) {
        self.lost.notify_waiters();
    }

    /// Asks until there is an answer, or for so long.
    pub async fn ask(
        &self,
        shared: &Rc<Shared>,
        job: &str,
        member: Member,
        body: JobsRequest,
        patience: Duration,
    ) -> Asked {
        self.ask_partition(shared, partition_of(job), member, body, patience).await
    }

    /// Asks the chain of a partition until there is an answer, or for so long.
    pub async fn ask_partition(
        &self,
        shared: &Rc<Shared>,
        partition: u16,
        member: Member,
        body: JobsRequest,
        patience: Duration,
    ) -> Asked {
        let until = shared.now() + patience;
        let held_ms = if let JobsRequest::ReadResults { wait_ms, .. } = &body { *wait_ms } else { 0 };
        let again = TRY_AGAIN + Duration::from_millis(held_ms);
        let question = Question { shared, partition, member, body };
        let mut in_doubt = false;
        loop {
            let left = until.saturating_sub(shared.now());
            if left.is_zero() {
                return Asked { answer: None, in_doubt };
            }
            let (request, reply) = self.pending.begin(left);
            let (answer, copies) = self.send_until_answered(&question, request, reply, again).await;
            in_doubt |= copies > u32::from(answer.is_some());
            match answer {
                Some(JobsResponse::Unavailable) => tokio::time::sleep(NOT_NOW_PAUSE).await,
                answer => return Asked { answer, in_doubt },
            }
        }
    }

    /// Sends copies of a question until one is answered or the reply's time is over; says how many went out.
    async fn send_until_answered(
        &self,
        question: &Question<'_>,
        request: u64,
        reply: impl Future<Output = Option<JobsResponse>>,
        again: Duration,
    ) -> (Option<JobsResponse>, u32) {
        let mut reply = pin!(reply);
        let mut copies = 0;
        loop {
            let went_out = question.send(request);
            copies += u32::from(went_out);
            let pause = if went_out { again } else { NOT_NOW_PAUSE };
            tokio::select! {
                biased;
                answer = reply.as_mut() => return (answer, copies),
                () = self.lost.notified() => {}
                () = tokio::time::sleep(pause) => {}
            }
        }
    }
}

/// A question as it is sent.
struct Question<'a> {
    shared: &'a Rc<Shared>,
    partition: u16,
    member: Member,
    body: JobsRequest,
}

impl Question<'_> {
    /// Sends a copy by the newest record of the partition; says whether there was anybody to send it to.
    fn send(&self, request: u64) -> bool {
        let found = self.shared.registry(|registry| member_address(registry, self.partition, self.member));
        let Some((to, epoch)) = found else { return false };
        let message = JobsMessage::Request {
            request,
            reply_to: self.shared.address(),
            edge: self.shared.incarnation,
            partition: self.partition,
            epoch,
            body: self.body.clone(),
        };
        self.shared.send(to, &Envelope::Jobs(message));
        true
    }
}

/// Where a partition's head or tail takes messages, and the epoch of its chain.
pub fn member_address(registry: &Registry, partition: u16, member: Member) -> Option<(SocketAddr, u64)> {
    let record = registry.partition(partition)?;
    let id = match member {
        Member::Head => record.chain.first()?,
        Member::Tail => record.chain.last()?,
    };
    let lives = registry.nodes().filter(|node| node.role == Role::Backend && node.member == *id);
    lives.last().map(|node| (node.address, record.epoch))
}

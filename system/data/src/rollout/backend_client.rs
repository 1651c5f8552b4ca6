//! Requests to the backends of a partition, repeated until one responds or the request times out.
//!
//! All transmissions of one request carry the same id, so a response to any of them completes it. Each goes by the newest record of the
//! partition, because its chain may have changed meanwhile.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use gingerledge_transport::Pending;
use gingerledge_wire::{partition_of, Envelope, JobsMessage, JobsRequest, JobsResponse, Registry, Role};
use tokio::sync::Notify;

use crate::Shared;

/// A request is sent again after that time without a response.
const RETRANSMIT_INTERVAL: Duration = Duration::from_millis(400);
/// The backoff after a backend that was unavailable, or where none is known.
const UNAVAILABLE_BACKOFF: Duration = Duration::from_millis(50);
/// The most requests in flight.
const MAX_REQUESTS: usize = 4_096;

/// The member of a partition's chain that a request is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChainMember {
    /// Handles updates.
    Head,
    /// Handles reads.
    Tail,
}

/// The outcome of a request.
#[derive(Clone, Debug)]
pub struct RequestOutcome {
    /// A backend's response, never [`JobsResponse::Unavailable`]; `None` if it timed out.
    pub response: Option<JobsResponse>,
    /// Whether a transmission got no response, and so may have been executed.
    pub is_in_doubt: bool,
}

/// Requests to backends that are in flight.
pub struct BackendClient {
    pending: Pending<JobsResponse>,
    messages_lost: Notify,
}

impl Default for BackendClient {
    fn default() -> Self {
        Self { pending: Pending::new(MAX_REQUESTS), messages_lost: Notify::new() }
    }
}

impl BackendClient {
    /// A backend responded.
    pub fn on_response(&self, request: u64, response: JobsResponse) {
        self.pending.complete(request, response);
    }

    /// Messages may have been lost: all requests in flight are sent again without waiting.
    pub fn on_messages_lost(&self) {
        self.messages_lost.notify_waiters();
    }

    /// Sends a request to the chain of a batch job's partition until there is a response, or the time-out.
    pub async fn request(
        &self,
        shared: &Rc<Shared>,
        job: &str,
        member: ChainMember,
        body: JobsRequest,
        timeout: Duration,
    ) -> RequestOutcome {
        self.request_partition(shared, partition_of(job), member, body, timeout).await
    }

    /// Sends a request to the chain of a partition until there is a response, or the time-out.
    pub async fn request_partition(
        &self,
        shared: &Rc<Shared>,
        partition: u16,
        member: ChainMember,
        body: JobsRequest,
        timeout: Duration,
    ) -> RequestOutcome {
        let deadline = shared.now() + timeout;
        let wait_ms = if let JobsRequest::ReadResults { wait_ms, .. } = &body { *wait_ms } else { 0 };
        let retransmit_interval = RETRANSMIT_INTERVAL + Duration::from_millis(wait_ms);
        let outgoing = OutgoingRequest { shared, partition, member, body };
        let mut is_in_doubt = false;
        loop {
            let left = deadline.saturating_sub(shared.now());
            if left.is_zero() {
                return RequestOutcome { response: None, is_in_doubt };
            }
            let (request, response) = self.pending.begin(left);
            let (response, transmissions) =
                self.send_until_response(&outgoing, request, response, retransmit_interval).await;
            is_in_doubt |= transmissions > u32::from(response.is_some());
            match response {
                Some(JobsResponse::Unavailable) => tokio::time::sleep(UNAVAILABLE_BACKOFF).await,
                response => return RequestOutcome { response, is_in_doubt },
            }
        }
    }

    /// Sends a request until there is a response or its time is over; returns the number of transmissions too.
    async fn send_until_response(
        &self,
        outgoing: &OutgoingRequest<'_>,
        request: u64,
        response: impl Future<Output = Option<JobsResponse>>,
        retransmit_interval: Duration,
    ) -> (Option<JobsResponse>, u32) {
        let mut response = pin!(response);
        let mut transmissions = 0;
        loop {
            let was_sent = outgoing.send(request);
            transmissions += u32::from(was_sent);
            let wait = if was_sent { retransmit_interval } else { UNAVAILABLE_BACKOFF };
            tokio::select! {
                biased;
                response = response.as_mut() => return (response, transmissions),
                () = self.messages_lost.notified() => {}
                () = tokio::time::sleep(wait) => {}
            }
        }
    }
}

/// A request as it is transmitted.
struct OutgoingRequest<'a> {
    shared: &'a Rc<Shared>,
    partition: u16,
    member: ChainMember,
    body: JobsRequest,
}

impl OutgoingRequest<'_> {
    /// Sends the request by the newest record of the partition; returns whether that named a member to send it to.
    fn send(&self, request: u64) -> bool {
        let destination =
            self.shared.registry(|registry| member_address(registry, self.partition, self.member));
        let Some((to, epoch)) = destination else { return false };
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

/// The address of a partition's head or tail, and the epoch of its chain.
pub(super) fn member_address(
    registry: &Registry,
    partition: u16,
    member: ChainMember,
) -> Option<(SocketAddr, u64)> {
    let record = registry.partition(partition)?;
    let id = match member {
        ChainMember::Head => record.chain.first()?,
        ChainMember::Tail => record.chain.last()?,
    };
    let incarnations = registry.nodes().filter(|node| node.role == Role::Backend && node.member == *id);
    incarnations.last().map(|node| (node.address, record.epoch))
}

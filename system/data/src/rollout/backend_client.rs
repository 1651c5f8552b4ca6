//! Client for requests to the backends of a partition; a request is retransmitted until a backend responds or the request times out.
//!
//! All transmissions of one request carry the same id, so a response to any of them completes it. Each transmission looks up its
//! destination in the newest record of the partition, because the chain may have changed since the previous one.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use gingerledge_transport::Pending;
use gingerledge_wire::{partition_of, Envelope, JobsMessage, JobsRequest, JobsResponse, Registry, Role};
use tokio::sync::Notify;

use super::retransmission::{Destination, Retransmission};
use crate::Shared;

/// The time without a response after which a request is first retransmitted, and the interval at which its destination is looked up.
const RETRANSMIT_INTERVAL: Duration = Duration::from_millis(400);
/// The backoff after a backend was unavailable, or no backend of the partition is known.
const UNAVAILABLE_BACKOFF: Duration = Duration::from_millis(50);
/// The maximum number of requests in flight.
const MAX_IN_FLIGHT_REQUESTS: usize = 4_096;

/// The member of a partition's chain that a request is addressed to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChainMember {
    /// The first member, which handles updates.
    Head,
    /// The last member, which handles reads.
    Tail,
}

/// The outcome of a request.
#[derive(Clone, Debug)]
pub struct RequestOutcome {
    /// A backend's response, never [`JobsResponse::Unavailable`]; `None` if the request timed out.
    pub response: Option<JobsResponse>,
    /// Whether a transmission got no response, so that a backend may have executed it.
    pub may_have_executed: bool,
}

/// The client for requests to backends, with the requests in flight.
pub struct BackendClient {
    pending: Pending<JobsResponse>,
    messages_lost: Notify,
}

impl Default for BackendClient {
    fn default() -> Self {
        Self { pending: Pending::new(MAX_IN_FLIGHT_REQUESTS), messages_lost: Notify::new() }
    }
}

impl BackendClient {
    /// Completes the request that a backend has responded to.
    pub fn on_response(&self, request: u64, response: JobsResponse) {
        self.pending.complete(request, response);
    }

    /// Retransmits all requests in flight at once, because messages may have been lost.
    pub fn on_messages_lost(&self) {
        self.messages_lost.notify_waiters();
    }

    /// Sends a request to the chain of a batch job's partition, repeatedly until there is a response or `timeout` has elapsed.
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

    /// Sends a request to the chain of a partition, repeatedly until there is a response or `timeout` has elapsed.
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
        let mut may_have_executed = false;
        loop {
            let time_left = deadline.saturating_sub(shared.now());
            if time_left.is_zero() {
                return RequestOutcome { response: None, may_have_executed };
            }
            let (request, response) = self.pending.begin(time_left);
            let (response, transmissions) =
                self.send_until_response(&outgoing, request, response, retransmit_interval).await;
            may_have_executed |= transmissions > u32::from(response.is_some());
            match response {
                Some(JobsResponse::Unavailable) => tokio::time::sleep(UNAVAILABLE_BACKOFF).await,
                response => return RequestOutcome { response, may_have_executed },
            }
        }
    }

    /// Sends a request repeatedly until there is a response or it has timed out. Returns the response and the number of transmissions.
    async fn send_until_response(
        &self,
        outgoing: &OutgoingRequest<'_>,
        request: u64,
        response: impl Future<Output = Option<JobsResponse>>,
        retransmit_interval: Duration,
    ) -> (Option<JobsResponse>, u32) {
        let mut response = pin!(response);
        let mut retransmission = Retransmission::new(retransmit_interval);
        let mut transmissions = 0;
        loop {
            let destination = outgoing.destination();
            let now = outgoing.shared.now();
            if let Some(to) = destination.filter(|to| retransmission.is_due(now, *to)) {
                // What was dropped here lengthens no queue, so it is sent at the next look-up.
                if outgoing.send(request, to) {
                    retransmission.on_sent(now, to);
                }
                transmissions += 1;
            }
            let look_up_delay = if destination.is_some() { retransmit_interval } else { UNAVAILABLE_BACKOFF };
            tokio::select! {
                biased;
                response = response.as_mut() => return (response, transmissions),
                () = self.messages_lost.notified() => retransmission.on_messages_lost(),
                () = tokio::time::sleep(look_up_delay) => {}
            }
        }
    }
}

/// A request, from which each transmission is made.
struct OutgoingRequest<'a> {
    shared: &'a Rc<Shared>,
    partition: u16,
    member: ChainMember,
    body: JobsRequest,
}

impl OutgoingRequest<'_> {
    /// The destination according to the newest record of the partition; `None` if that names no reachable member.
    fn destination(&self) -> Option<Destination> {
        let (address, epoch) =
            self.shared.registry(|registry| member_address(registry, self.partition, self.member))?;
        Some(Destination { address, epoch })
    }

    /// Transmits the request once. Returns false if it was dropped here.
    fn send(&self, request: u64, to: Destination) -> bool {
        let message = JobsMessage::Request {
            request,
            reply_to: self.shared.address(),
            edge: self.shared.incarnation,
            partition: self.partition,
            epoch: to.epoch,
            body: self.body.clone(),
        };
        self.shared.try_send(to.address, &Envelope::Jobs(message))
    }
}

/// The address of a partition's head or tail, and the epoch of its chain; `None` if the member is not in the registry.
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

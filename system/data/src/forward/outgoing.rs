//! Request as it is sent to stores: the same as received, except for hop-by-hop headers, the time left and the priority.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::http::{header, HeaderMap, HeaderValue, Method, Request, Uri};

use crate::headers;
use crate::routing::RouteEntry;

/// Least urgent value of the `Priority` header.
const LOWEST_PRIORITY: u32 = 9;

/// Request to be sent to stores.
pub struct OutgoingRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Route of the request.
    pub route: Rc<RouteEntry>,
    /// Deadline of the request, on the clock of [`crate::Shared::now`].
    pub deadline: Duration,
}

impl OutgoingRequest {
    /// Prepares a client's request: removes the hop-by-hop headers, and sets `Priority` for an inference engine if the client did not.
    pub fn new(request: Request<Bytes>, route: Rc<RouteEntry>, deadline: Duration) -> Self {
        let (head, body) = request.into_parts();
        let mut headers = head.headers;
        headers::strip_hop_by_hop(&mut headers);
        for name in [header::CONTENT_LENGTH, header::EXPECT] {
            headers.remove(name);
        }
        if route.has_inference_engine && !headers.contains_key(headers::PRIORITY) {
            let priority = route.route.priority.min(LOWEST_PRIORITY);
            headers.insert(headers::PRIORITY, headers::from_number(u128::from(priority)));
        }
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
        let uri = path.parse().unwrap_or(head.uri);
        Self { method: head.method, uri, headers, body, route, deadline }
    }

    /// Builds the HTTP request of one attempt, with the time left in `Deadline-Ms`. With `last_event_id`, a stream is resumed after
    /// that event.
    pub fn build_attempt(
        &self,
        time_left: Duration,
        last_event_id: Option<&HeaderValue>,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let mut headers = self.headers.clone();
        headers.insert(headers::DEADLINE_MS, headers::from_number(time_left.as_millis().max(1)));
        if let Some(event) = last_event_id {
            headers.insert(headers::LAST_EVENT_ID, event.clone());
        }
        *request.headers_mut() = headers;
        request
    }
}

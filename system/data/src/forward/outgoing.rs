//! A request as it is sent to stores: unchanged but for hop-by-hop headers and the time left.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::http::{header, HeaderMap, HeaderValue, Method, Request, Uri};

use crate::headers;
use crate::routing::RouteEntry;

/// The least urgent priority that stores know.
const LOWEST_PRIORITY: u32 = 9;

/// A request to be sent to stores.
pub struct OutgoingRequest {
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub uri: Uri,
    /// Its end-to-end headers.
    pub headers: HeaderMap,
    /// Its complete body.
    pub body: Bytes,
    /// Its route.
    pub route: Rc<RouteEntry>,
    /// Its deadline, on the clock of [`crate::Shared::now`].
    pub deadline: Duration,
}

impl OutgoingRequest {
    /// A client's request, without its hop-by-hop headers.
    pub fn new(request: Request<Bytes>, route: Rc<RouteEntry>, deadline: Duration) -> Self {
        let (head, body) = request.into_parts();
        let mut headers = head.headers;
        headers::strip_hop_by_hop(&mut headers);
        for name in [header::CONTENT_LENGTH, header::EXPECT] {
            headers.remove(name);
        }
        if route.is_engine && !headers.contains_key(headers::PRIORITY) {
            let priority = route.route.priority.min(LOWEST_PRIORITY);
            headers.insert(headers::PRIORITY, headers::number(u128::from(priority)));
        }
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
        let uri = path.parse().unwrap_or(head.uri);
        Self { method: head.method, uri, headers, body, route, deadline }
    }

    /// The request of one attempt, with the time left; `last_event` resumes a stream after an event.
    pub fn attempt(&self, time_left: Duration, last_event: Option<&HeaderValue>) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let mut headers = self.headers.clone();
        headers.insert(headers::DEADLINE_MS, headers::number(time_left.as_millis().max(1)));
        if let Some(event) = last_event {
            headers.insert(headers::LAST_EVENT_ID, event.clone());
        }
        *request.headers_mut() = headers;
        request
    }
}

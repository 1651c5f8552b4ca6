//! A request as it goes to stores: unchanged but for the headers of one connection and the time that is left.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::http::{header, HeaderMap, HeaderValue, Method, Request, Uri};

use crate::headers;
use crate::routing::RouteEntry;

/// The least urgent rank that stores know.
const LEAST_URGENT: u32 = 9;

/// A request on its way to stores.
pub struct Outgoing {
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub uri: Uri,
    /// Its headers, all of which may go along.
    pub headers: HeaderMap,
    /// Its whole body.
    pub body: Bytes,
    /// Its route.
    pub route: Rc<RouteEntry>,
    /// When it is given up, on the clock of [`crate::Shared::now`].
    pub until: Duration,
}

impl Outgoing {
    /// A client's request; headers that concern its connection are taken out.
    pub fn new(request: Request<Bytes>, route: Rc<RouteEntry>, until: Duration) -> Self {
        let (head, body) = request.into_parts();
        let mut headers = head.headers;
        headers::strip_hop_by_hop(&mut headers);
        for name in [header::CONTENT_LENGTH, header::EXPECT] {
            headers.remove(name);
        }
        if route.engine && !headers.contains_key(headers::PRIORITY) {
            let urgency = route.route.priority.min(LEAST_URGENT);
            headers.insert(headers::PRIORITY, headers::number(u128::from(urgency)));
        }
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
        let uri = path.parse().unwrap_or(head.uri);
        Self { method: head.method, uri, headers, body, route, until }
    }

    /// The request for one attempt, with the time that is left; `last_event` takes a stream up after an event.
    pub fn attempt(&self, left: Duration, last_event: Option<&HeaderValue>) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let mut headers = self.headers.clone();
        headers.insert(headers::DEADLINE_MS, headers::number(left.as_millis().max(1)));
        if let Some(event) = last_event {
            headers.insert(headers::LAST_EVENT_ID, event.clone());
        }
        *request.headers_mut() = headers;
        request
    }
}

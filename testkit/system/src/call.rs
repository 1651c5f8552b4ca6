//! One HTTP call on a connection of its own.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::header::HeaderMap;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use snafu::{ResultExt, Snafu};
use tokio::net::TcpStream;

/// Why there is no answer.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// No connection.
    #[snafu(display("{to}: {source}"))]
    Connect {
        /// Where.
        to: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// The call broke.
    #[snafu(display("{to}: {source}"))]
    Http {
        /// Where.
        to: SocketAddr,
        /// What broke.
        source: hyper::Error,
    },
    /// It took too long.
    #[snafu(display("{to}: no answer in time"))]
    Late {
        /// Where.
        to: SocketAddr,
    },
    /// A header can't be sent.
    #[snafu(display("request: {source}"))]
    Form {
        /// What is wrong.
        source: hyper::http::Error,
    },
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// Makes one call and reads the whole answer, within `within`.
///
/// # Errors
///
/// No connection, no complete answer, or neither within the time.
pub async fn call(
    to: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: Vec<u8>,
    within: Duration,
) -> Result<Answer, CallError> {
    let mut request = Request::builder().method(method).uri(path);
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        request = request.header("Host", to.to_string());
    }
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(Bytes::from(body))).context(FormSnafu)?;
    match tokio::time::timeout(within, exchange(to, request)).await {
        Ok(answer) => answer,
        Err(_) => LateSnafu { to }.fail(),
    }
}

async fn exchange(to: SocketAddr, request: Request<Full<Bytes>>) -> Result<Answer, CallError> {
    let stream = TcpStream::connect(to).await.context(ConnectSnafu { to })?;
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.context(HttpSnafu { to })?;
    let driven = tokio::spawn(connection);
    let answer = sender.send_request(request).await.context(HttpSnafu { to })?;
    let (parts, body) = answer.into_parts();
    let body = body.collect().await.context(HttpSnafu { to })?.to_bytes();
    driven.abort();
    Ok(Answer { status: parts.status, headers: parts.headers, body })
}

//! Parses heads and chunks from the start of a buffer: pure, bounded, without I/O. Headers that frame a body are read strictly
//! (RFC 9112, section 6.3), since another reader could otherwise find a different message in the same bytes.

use super::{Fault, Framing, Head, BODY_MAX, HEAD_MAX};

/// Maximum number of headers in a head.
const HEADERS_MAX: usize = 64;
/// Maximum length of a chunk's size line with its extensions, in bytes.
const CHUNK_LINE_MAX: usize = 256;

/// The kind of message that is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Requests, by a server.
    Request,
    /// Responses, by a client.
    Response,
}

/// Parses a head and returns it with its length; `None` until it is complete.
pub fn parse_head(bytes: &[u8], kind: Kind) -> Result<Option<(Head, usize)>, Fault> {
    let head_bytes = &bytes[..bytes.len().min(HEAD_MAX)];
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let (status, method, target, code, version, headers) = match kind {
        Kind::Request => {
            let mut request = httparse::Request::new(&mut headers);
            let status = request.parse(head_bytes);
            (status, request.method, request.path, 0, request.version, &*request.headers)
        }
        Kind::Response => {
            let mut response = httparse::Response::new(&mut headers);
            let status = response.parse(head_bytes);
            (status, None, None, response.code.unwrap_or(0), response.version, &*response.headers)
        }
    };
    let length = match status {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if bytes.len() >= HEAD_MAX => return Err(Fault::HeadTooLong),
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(Fault::HeadTooLong),
        Err(_) => return Err(Fault::Malformed),
    };
    let headers: Vec<(String, Vec<u8>)> =
        headers.iter().map(|h| (h.name.to_owned(), h.value.to_vec())).collect();
    let has_token = |name: &str, token: &str| {
        headers.iter().filter(|(n, _)| n.eq_ignore_ascii_case(name)).any(|(_, value)| {
            let text = String::from_utf8_lossy(value);
            text.split(',').any(|part| part.trim().eq_ignore_ascii_case(token))
        })
    };
    let keep_alive =
        !has_token("connection", "close") && (version == Some(1) || has_token("connection", "keep-alive"));
    let head = Head {
        method: method.unwrap_or_default().to_owned(),
        target: target.unwrap_or_default().to_owned(),
        status: code,
        expects: has_token("expect", "100-continue"),
        framing: framing(&headers, kind, code)?,
        keep_alive,
        headers,
    };
    Ok(Some((head, length)))
}

/// Determines how the body ends. A length beside a transfer coding, or two different lengths, permit request smuggling, so
/// both are errors.
fn framing(headers: &[(String, Vec<u8>)], kind: Kind, status: u16) -> Result<Framing, Fault> {
    let headers_named =
        |name: &'static str| headers.iter().filter(move |(n, _)| n.eq_ignore_ascii_case(name));
    let mut length = None;
    for (_, value) in headers_named("content-length") {
        let digits = std::str::from_utf8(value).map_err(|_| Fault::Malformed)?.trim();
        if digits.is_empty() || !digits.bytes().all(|b| b.is_ascii_digit()) {
            return Err(Fault::Malformed);
        }
        let value: usize = digits.parse().map_err(|_| Fault::BodyTooLong)?;
        if length.is_some_and(|length| length != value) {
            return Err(Fault::Malformed);
        }
        length = Some(value);
    }
    let mut codings = headers_named("transfer-encoding");
    match (codings.next(), codings.next(), length) {
        // The length of a response is checked against the limit of its stream when the body is read.
        (None, _, Some(length)) if length > BODY_MAX && kind == Kind::Request => Err(Fault::BodyTooLong),
        (None, _, Some(length)) => Ok(Framing::Length(length)),
        (None, _, None) if kind == Kind::Request || status == 204 || status == 304 => Ok(Framing::Length(0)),
        (None, _, None) => Ok(Framing::Close),
        (Some((_, coding)), None, None) if coding.trim_ascii().eq_ignore_ascii_case(b"chunked") => {
            Ok(Framing::Chunked)
        }
        (Some(_), _, Some(_)) => Err(Fault::Malformed),
        (Some(_), _, None) => Err(Fault::Coding),
    }
}

/// One step through a chunked body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Chunk {
    /// The chunk's data is `bytes[from..to]`; the next one begins at `next`.
    Data {
        /// Offset of the first byte of the data.
        from: usize,
        /// Offset after the last byte of the data.
        to: usize,
        /// Offset of the next chunk.
        next: usize,
    },
    /// The body ended; the next message begins at `next`.
    Last {
        /// Offset of the next message.
        next: usize,
    },
}

/// Parses the chunk at the start of `bytes`; `None` until it is complete. `max_bytes` is the maximum length of its
/// data. Trailers are skipped.
pub fn parse_chunk(bytes: &[u8], max_bytes: usize) -> Result<Option<Chunk>, Fault> {
    let (from, size) = match httparse::parse_chunk_size(bytes) {
        Ok(httparse::Status::Complete((from, size))) => (from, size),
        Ok(httparse::Status::Partial) if bytes.len() > CHUNK_LINE_MAX => return Err(Fault::Malformed),
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(Fault::Malformed),
    };
    if size > max_bytes as u64 {
        return Err(Fault::BodyTooLong);
    }
    if size > 0 {
        let to = from + size as usize;
        return match bytes.get(to..to + 2) {
            Some(b"\r\n") => Ok(Some(Chunk::Data { from, to, next: to + 2 })),
            Some(_) => Err(Fault::Malformed),
            None => Ok(None),
        };
    }
    // Skips trailers, up to an empty line.
    let mut offset = from;
    while let Some(end) = bytes[offset..].windows(2).position(|pair| pair == b"\r\n") {
        offset += end + 2;
        if end == 0 {
            return Ok(Some(Chunk::Last { next: offset }));
        }
    }
    if bytes.len() - from > HEAD_MAX {
        return Err(Fault::HeadTooLong);
    }
    Ok(None)
}

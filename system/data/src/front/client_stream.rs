//! Socket of a client connection that records when the head of a request starts to arrive.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use super::connection_table::Phase;
use crate::Shared;

/// Socket of a client connection. The first read after an idle phase starts the phase [`Phase::ReadingHead`].
pub(super) struct ClientStream {
    stream: TokioIo<TcpStream>,
    phase: Rc<Cell<Phase>>,
    shared: Rc<Shared>,
}

impl ClientStream {
    /// Wraps a socket that updates `phase`.
    pub(super) fn new(stream: TcpStream, phase: Rc<Cell<Phase>>, shared: Rc<Shared>) -> Self {
        Self { stream: TokioIo::new(stream), phase, shared }
    }
}

impl Read for ClientStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let polled = Pin::new(&mut this.stream).poll_read(context, buffer);
        if polled.is_ready() && matches!(this.phase.get(), Phase::Idle(_)) {
            this.phase.set(Phase::ReadingHead(this.shared.now()));
        }
        polled
    }
}

impl Write for ClientStream {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }
}

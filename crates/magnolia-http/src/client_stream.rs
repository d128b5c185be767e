//! The stream of a client's connection: bounds the time of a head and of an unread answer, and takes
//! memory for a growing read buffer.

use std::io;
use std::pin::Pin;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, Sleep, sleep_until};

use crate::ConnectionLimits;
use crate::client_guard::{ClientHandle, ConnectionPhase};
use crate::traffic::CountedStream;

/// Bytes that a connection may receive before its read buffer counts as grown: its first size.
const FIRST_BUFFER_BYTES: usize = 8 << 10;

/// Stream of a client's connection.
pub(crate) struct ClientStream {
    stream: CountedStream,
    client: ClientHandle,
    limits: ConnectionLimits,
    /// Time by which the head has to be complete, while one is arriving.
    head_timer: Option<Pin<Box<Sleep>>>,
    /// Time by which the client has to read, while it does not.
    write_timer: Option<Pin<Box<Sleep>>>,
    received: usize,
    has_buffer: bool,
}

impl ClientStream {
    pub(crate) fn new(
        stream: CountedStream,
        client: ClientHandle,
        limits: ConnectionLimits,
    ) -> Self {
        Self {
            stream,
            client,
            limits,
            head_timer: None,
            write_timer: None,
            received: 0,
            has_buffer: false,
        }
    }

    /// Returns the connection.
    pub(crate) fn client(&self) -> &ClientHandle {
        &self.client
    }

    /// Notes received bytes, the first of which begin a head if none was expected.
    fn record_received(&mut self, bytes: usize) -> io::Result<()> {
        let state = self.client.state();
        if state.phase() == ConnectionPhase::Idle {
            state.set_phase(ConnectionPhase::Head);
            let deadline = Instant::now() + self.limits.head_timeout;
            self.head_timer = Some(Box::pin(sleep_until(deadline)));
        } else {
            state.record_progress();
        }
        self.received = self.received.saturating_add(bytes);
        if self.received > FIRST_BUFFER_BYTES && !self.has_buffer {
            let bytes = u64::try_from(self.limits.max_head_bytes).unwrap_or(u64::MAX);
            if !self.client.take_buffer(bytes) {
                return Err(io::ErrorKind::OutOfMemory.into());
            }
            self.has_buffer = true;
        }
        Ok(())
    }

    /// Fails once the time for the head is over.
    fn check_head(&mut self, context: &mut Context<'_>) -> io::Result<()> {
        if self.client.state().phase() != ConnectionPhase::Head {
            self.head_timer = None;
        }
        self.check(context, |stream| &mut stream.head_timer)
    }

    fn check(
        &mut self,
        context: &mut Context<'_>,
        timer: fn(&mut Self) -> &mut Option<Pin<Box<Sleep>>>,
    ) -> io::Result<()> {
        let elapsed = timer(self)
            .as_mut()
            .is_some_and(|timer| timer.as_mut().poll(context).is_ready());
        if elapsed {
            self.client.guard().count_timeout();
            return Err(io::ErrorKind::TimedOut.into());
        }
        Ok(())
    }

    /// Starts or stops the time within which the client has to read.
    fn watch_write<T>(
        &mut self,
        result: Poll<io::Result<T>>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<T>> {
        let blocked = result.is_pending();
        let state = self.client.state();
        let was_blocked = state.write_blocked.swap(blocked, Ordering::Relaxed);
        if !blocked {
            self.write_timer = None;
            return result;
        }
        if !was_blocked || self.write_timer.is_none() {
            let deadline = Instant::now() + self.limits.write_timeout;
            self.write_timer = Some(Box::pin(sleep_until(deadline)));
        }
        self.check(context, |stream| &mut stream.write_timer)?;
        Poll::Pending
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.check_head(context)?;
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        let received = buffer.filled().len().saturating_sub(before);
        if received > 0 {
            self.record_received(received)?;
            // Registers the timer of a head that has just begun.
            self.check_head(context)?;
        }
        result
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.watch_write(result, context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.watch_write(result, context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

//! Counts the bytes read and written on all connections of the process.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::WriteGuard;

static READ: AtomicU64 = AtomicU64::new(0);
static WRITTEN: AtomicU64 = AtomicU64::new(0);

/// Bytes on all HTTP connections since the start of the process, without TCP and IP headers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrafficCount {
    /// Bytes read.
    pub read: u64,
    /// Bytes written.
    pub written: u64,
}

/// Returns the bytes read and written so far.
pub fn traffic() -> TrafficCount {
    TrafficCount {
        read: READ.load(Ordering::Relaxed),
        written: WRITTEN.load(Ordering::Relaxed),
    }
}

/// A TCP stream that counts its bytes and can check each write.
pub(crate) struct CountedStream {
    stream: TcpStream,
    guard: Option<WriteGuard>,
}

impl CountedStream {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            guard: None,
        }
    }

    /// Sets the check before each write.
    pub(crate) fn with_guard(mut self, guard: Option<WriteGuard>) -> Self {
        self.guard = guard;
        self
    }

    fn check_write(&self) -> io::Result<()> {
        self.guard.as_ref().map_or(Ok(()), WriteGuard::check)
    }
}

fn count_written(result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
    if let Poll::Ready(Ok(bytes)) = &result {
        WRITTEN.fetch_add(*bytes as u64, Ordering::Relaxed);
    }
    result
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        let bytes = buffer.filled().len() - before;
        READ.fetch_add(bytes as u64, Ordering::Relaxed);
        result
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check_write()?;
        count_written(Pin::new(&mut self.stream).poll_write(context, bytes))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check_write()?;
        count_written(Pin::new(&mut self.stream).poll_write_vectored(context, slices))
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

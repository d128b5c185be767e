//! Reads the bodies of requests within the memory that clients may take.

use std::future::poll_fn;
use std::pin::pin;

use bytes::{Buf, Bytes};
use http::Extensions;
use hyper::body::Body;
use magnolia_types::ResultCode;
use tokio::time::{Instant, sleep_until};

use crate::ConnectionLimits;
use crate::client_guard::{ClientHandle, ConnectionPhase};
use crate::memory_budget::MemoryShare;

/// Memory that is taken at once for a growing body, in bytes.
const GROWTH_BYTES: usize = 16 << 10;
/// Longest body of a short call, in bytes; longer ones leave a part of the memory free.
const SHORT_BODY_BYTES: usize = 16 << 10;

/// Why a body could not be read. The request was not carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// It is larger than allowed.
    #[error("the body is too large")]
    TooLarge,
    /// The connection ended before the body did.
    #[error("the body was cut short")]
    CutShort,
    /// It did not arrive in time.
    #[error("the body did not arrive in time")]
    TooSlow,
    /// The requests of all clients take the memory that they may.
    #[error("there is no memory for the request")]
    NoMemory,
}

impl From<BodyError> for ResultCode {
    fn from(error: BodyError) -> Self {
        match error {
            BodyError::TooLarge => Self::BodyTooLarge,
            BodyError::CutShort | BodyError::TooSlow => Self::BadRequest,
            BodyError::NoMemory => Self::NoBackend,
        }
    }
}

/// A body, and the memory that its request takes until it is dropped.
#[derive(Debug)]
pub struct HeldBody {
    bytes: Vec<u8>,
    client: Option<ClientHandle>,
    share: Option<MemoryShare>,
}

impl HeldBody {
    /// Returns the bytes of the body.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Returns the bytes, and the memory that they count for until it is dropped.
    pub fn into_parts(self) -> (Bytes, Option<MemoryShare>) {
        (Bytes::from(self.bytes), self.share)
    }

    /// Takes the memory for what is decoded from the body: `factor` times its length.
    ///
    /// # Errors
    ///
    /// Fails with [`BodyError::NoMemory`] if there is not enough.
    pub async fn hold_decoded(&mut self, factor: u64) -> Result<(), BodyError> {
        let (Some(client), Some(share)) = (&self.client, &mut self.share) else {
            return Ok(());
        };
        let length = self.bytes.len();
        let bytes = u64::try_from(length)
            .unwrap_or(u64::MAX)
            .saturating_mul(factor);
        if client.take(share, bytes, length <= SHORT_BODY_BYTES).await {
            Ok(())
        } else {
            Err(BodyError::NoMemory)
        }
    }
}

/// Reads a complete body of at most `limit` bytes. Memory is taken from that of all clients as the
/// bytes come, so that an announced length costs nothing, and each byte counts once however small the
/// chunks are.
///
/// # Errors
///
/// Fails when the body is too large, too slow or cut short, or when there is no memory for it.
pub async fn read_held_body<B>(
    body: B,
    extensions: &Extensions,
    limit: usize,
) -> Result<HeldBody, BodyError>
where
    B: Body<Data = Bytes>,
{
    let client = extensions.get::<ClientHandle>().cloned();
    let limits = extensions.get::<ConnectionLimits>().copied();
    let set_phase = |phase| {
        if let Some(client) = &client {
            client.state().set_phase(phase);
        }
    };
    let mut held = HeldBody {
        bytes: Vec::new(),
        share: client.as_ref().map(ClientHandle::empty_share),
        client: client.clone(),
    };
    set_phase(ConnectionPhase::Body);
    let read = read_into(&mut held, body, limits.unwrap_or_default(), limit).await;
    set_phase(ConnectionPhase::Serving);
    if read == Err(BodyError::TooSlow)
        && let Some(client) = &client
    {
        client.guard().count_timeout();
    }
    read.map(|()| held)
}

async fn read_into<B>(
    held: &mut HeldBody,
    body: B,
    limits: ConnectionLimits,
    limit: usize,
) -> Result<(), BodyError>
where
    B: Body<Data = Bytes>,
{
    let mut body = pin!(body);
    let deadline = Instant::now() + limits.body_timeout;
    loop {
        let stall = (Instant::now() + limits.body_stall_timeout).min(deadline);
        let frame = tokio::select! {
            biased;
            frame = poll_fn(|context| body.as_mut().poll_frame(context)) => frame,
            () = sleep_until(stall) => return Err(BodyError::TooSlow),
        };
        let frame = match frame {
            None => return Ok(()),
            Some(Err(_)) => return Err(BodyError::CutShort),
            Some(Ok(frame)) => frame,
        };
        // Trailers are dropped.
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let length = held.bytes.len().saturating_add(data.remaining());
        if length > limit {
            return Err(BodyError::TooLarge);
        }
        held.grow(length, limit).await?;
        held.bytes.extend_from_slice(&data);
    }
}

impl HeldBody {
    /// Makes room for `length` bytes, of at most `limit`.
    async fn grow(&mut self, length: usize, limit: usize) -> Result<(), BodyError> {
        let capacity = self.bytes.capacity();
        if length <= capacity {
            return Ok(());
        }
        let wanted = length
            .next_multiple_of(GROWTH_BYTES)
            .max(capacity.saturating_mul(2))
            .min(limit.max(length));
        if let (Some(client), Some(share)) = (&self.client, &mut self.share) {
            let bytes = u64::try_from(wanted.saturating_sub(capacity)).unwrap_or(u64::MAX);
            if !client.take(share, bytes, wanted <= SHORT_BODY_BYTES).await {
                return Err(BodyError::NoMemory);
            }
        }
        self.bytes
            .reserve_exact(wanted.saturating_sub(self.bytes.len()));
        Ok(())
    }
}

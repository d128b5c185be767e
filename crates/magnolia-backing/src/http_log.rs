//! Client of the log service over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use base64::prelude::{BASE64_STANDARD, Engine};
use bytes::Bytes;
use futures_util::future::BoxFuture;
use magnolia_http::{CallLimits, HttpAnswer, HttpClient};
use magnolia_types::{LogOffset, Millis, wire_types};

use crate::{BackingError, LogPage, LogRecord, LogService};

wire_types! {
    /// Body of `POST /v1/streams/{stream}/records`.
    #[serde(deny_unknown_fields)]
    pub struct AppendBody {
        /// Content of the record in base64.
        pub data: String,
    }

    /// Answer to an append.
    pub struct AppendAnswer {
        /// Offset of the appended record.
        pub offset: LogOffset,
    }

    /// A record in the answer to a read.
    pub struct RecordBody {
        /// Offset of the record.
        pub offset: LogOffset,
        /// Content of the record in base64.
        pub data: String,
    }

    /// Answer to a read.
    pub struct ReadAnswer {
        /// Offset of the oldest record that the log keeps.
        pub first: LogOffset,
        /// Offset that the next appended record gets.
        pub next: LogOffset,
        /// Records in offset order.
        pub records: Vec<RecordBody>,
    }
}

impl From<ReadAnswer> for LogPage {
    fn from(answer: ReadAnswer) -> Self {
        Self {
            first: answer.first,
            next: answer.next,
            records: answer.records.into_iter().map(LogRecord::from).collect(),
        }
    }
}

impl From<RecordBody> for LogRecord {
    /// Replaces content that is not valid base64 by empty content. Readers skip such a record and
    /// count it as foreign, like any record in another format. An error for the whole page would
    /// stop every reader at that record.
    fn from(record: RecordBody) -> Self {
        let data = BASE64_STANDARD.decode(record.data).unwrap_or_default();
        Self {
            offset: record.offset,
            data: Bytes::from(data),
        }
    }
}

/// [`LogService`] over HTTP with JSON bodies.
pub struct HttpLogService {
    client: HttpClient,
    address: SocketAddr,
    call_timeout: Duration,
}

impl HttpLogService {
    /// Default maximum duration of a call, without the wait of a long poll.
    pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);

    /// Creates a client of the service at `address`.
    pub fn new(client: HttpClient, address: SocketAddr) -> Self {
        Self {
            client,
            address,
            call_timeout: Self::CALL_TIMEOUT,
        }
    }

    /// Sets the maximum duration of a call, without the wait of a long poll.
    #[must_use]
    pub fn with_call_timeout(mut self, timeout: Duration) -> Self {
        self.call_timeout = timeout;
        self
    }
}

/// Returns an answer with a success status, and an error for any other status.
pub(crate) fn require_success(answer: HttpAnswer) -> Result<HttpAnswer, BackingError> {
    if answer.status.is_success() {
        Ok(answer)
    } else {
        Err(BackingError::new_refused(
            answer.status.as_u16(),
            &answer.body,
        ))
    }
}

impl LogService for HttpLogService {
    fn append<'a>(
        &'a self,
        stream: &'a str,
        data: Bytes,
    ) -> BoxFuture<'a, Result<LogOffset, BackingError>> {
        Box::pin(async move {
            let path = format!("/v1/streams/{stream}/records");
            let body = AppendBody {
                data: BASE64_STANDARD.encode(&data),
            };
            let answer = self
                .client
                .post_json(self.address, &path, &body, self.call_timeout)
                .await?;
            Ok(require_success(answer)?.json::<AppendAnswer>()?.offset)
        })
    }

    fn read<'a>(
        &'a self,
        stream: &'a str,
        from: LogOffset,
        wait: Millis,
        max: usize,
    ) -> BoxFuture<'a, Result<LogPage, BackingError>> {
        Box::pin(async move {
            let (from, wait_ms) = (from.get(), wait.get());
            let path =
                format!("/v1/streams/{stream}/records?from={from}&wait_ms={wait_ms}&max={max}");
            let limits = CallLimits {
                stall: None,
                timeout: self.call_timeout + Duration::from(wait),
                silence: wait.into(),
            };
            let answer = self.client.get(self.address, &path, limits).await?;
            Ok(require_success(answer)?.json::<ReadAnswer>()?.into())
        })
    }
}

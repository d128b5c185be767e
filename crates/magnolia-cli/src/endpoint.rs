//! HTTP client that calls the first endpoint that answers.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, header};
use http_body_util::Full;
use magnolia_http::{ErrorBody, HttpAnswer, HttpClient, HttpError, PoolSettings};
use magnolia_types::ResultCode;
use serde_json::{Value, json};

use crate::ExitStatus;

/// Time added to the work time of a call to get its timeout.
const CALL_MARGIN: Duration = Duration::from_secs(10);

/// Whether a call may be sent again after its answer was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// A second call has no further effect.
    Safe,
    /// A second call may take effect as well.
    Unsafe,
}

/// Why a call has no result.
#[derive(Clone, Debug)]
pub struct CallFailure {
    /// Exit status of the command.
    pub status: ExitStatus,
    /// Result code, if an endpoint answered with an error.
    pub code: Option<ResultCode>,
    /// Message for people.
    pub message: String,
    /// The failure as JSON, for programs.
    pub json: Value,
}

impl CallFailure {
    /// Creates a failure of the command line, a file or the connection.
    pub fn new(status: ExitStatus, message: &str) -> Self {
        Self {
            status,
            code: None,
            message: message.into(),
            json: json!({"message": message}),
        }
    }

    /// Creates a failure from the error that an endpoint answered with.
    fn new_refusal(body: ErrorBody) -> Self {
        let message = format!("{} ({}): {}", body.name, body.code.number(), body.message);
        Self {
            status: body.code.into(),
            code: Some(body.code),
            message,
            json: json!(body),
        }
    }

    /// Returns whether another endpoint may accept the call: this one refused it because of its own
    /// state, and nothing ran.
    fn is_local(&self) -> bool {
        matches!(
            self.code,
            Some(ResultCode::Draining | ResultCode::NoConfiguration)
        )
    }
}

/// Client for the endpoints of one cell.
pub struct EndpointClient {
    client: HttpClient,
    endpoints: Vec<SocketAddr>,
}

impl EndpointClient {
    /// Creates a client that tries the endpoints in order.
    pub fn new(endpoints: Vec<SocketAddr>) -> Self {
        Self {
            client: HttpClient::new(PoolSettings::new()),
            endpoints,
        }
    }

    /// Sends a GET request for `path`; `work_time` is the longest time that the endpoint needs for
    /// the work itself.
    ///
    /// # Errors
    ///
    /// Fails when no endpoint answers or the call is refused.
    pub async fn get(&self, path: &str, work_time: Duration) -> Result<Value, CallFailure> {
        self.call(Method::GET, path, None, RetrySafety::Safe, work_time)
            .await
    }

    /// Posts `body` to `path`; `work_time` is the longest time that the endpoint needs for the work
    /// itself.
    ///
    /// # Errors
    ///
    /// Fails when no endpoint answers or the call is refused.
    pub async fn post(
        &self,
        path: &str,
        body: &Value,
        retry_safety: RetrySafety,
        work_time: Duration,
    ) -> Result<Value, CallFailure> {
        self.call(Method::POST, path, Some(body), retry_safety, work_time)
            .await
    }

    /// Calls the endpoints in order until one gives a final answer. A call that is not safe to
    /// retry is not sent again once it may have arrived.
    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
        retry_safety: RetrySafety,
        work_time: Duration,
    ) -> Result<Value, CallFailure> {
        let mut failures = Vec::new();
        let mut may_have_arrived = false;
        let mut refusal = None;
        for endpoint in &self.endpoints {
            let request = build(&method, path, body)?;
            match self
                .client
                .call(*endpoint, request, work_time + CALL_MARGIN)
                .await
            {
                Ok(answer) => match read_answer(&answer) {
                    Ok(value) => return Ok(value),
                    Err(failure) if failure.is_local() => refusal = Some(failure),
                    Err(failure) => return Err(failure),
                },
                Err(error) => {
                    may_have_arrived |= !error.is_not_sent();
                    failures.push(format!("{endpoint}: {error}"));
                    if may_have_arrived && retry_safety == RetrySafety::Unsafe {
                        break;
                    }
                }
            }
        }
        Err(self.summarize(may_have_arrived, refusal, &failures, retry_safety))
    }

    /// Returns the failure to report after no endpoint gave a final answer; `refusal` is the last
    /// refusal that another endpoint might not have given.
    fn summarize(
        &self,
        may_have_arrived: bool,
        refusal: Option<CallFailure>,
        failures: &[String],
        retry_safety: RetrySafety,
    ) -> CallFailure {
        let reasons = failures.join("; ");
        match (may_have_arrived, retry_safety, refusal) {
            (true, RetrySafety::Unsafe, _) => CallFailure::new(
                ExitStatus::Unknown,
                &format!("the answer was lost, so the call may have taken effect ({reasons})"),
            ),
            (_, _, Some(refusal)) => refusal,
            (true, RetrySafety::Safe, None) => CallFailure::new(
                ExitStatus::Unknown,
                &format!("no endpoint answered in time ({reasons})"),
            ),
            (false, _, None) => CallFailure::new(
                ExitStatus::Unreachable,
                &format!("no endpoint could be reached, and nothing was sent ({reasons})"),
            ),
        }
    }
}

fn build(
    method: &Method,
    path: &str,
    body: Option<&Value>,
) -> Result<Request<Full<Bytes>>, CallFailure> {
    let bytes = body.map(|body| Bytes::from(body.to_string()));
    Request::builder()
        .method(method.clone())
        .uri(path)
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(bytes.unwrap_or_default()))
        .map_err(|error| CallFailure::new(ExitStatus::Usage, &error.to_string()))
}

fn read_answer(answer: &HttpAnswer) -> Result<Value, CallFailure> {
    let malformed = |error: HttpError| CallFailure::new(ExitStatus::Unknown, &error.to_string());
    if answer.status.is_success() {
        return answer.json().map_err(malformed);
    }
    let body: ErrorBody = answer.json().map_err(malformed)?;
    Err(CallFailure::new_refusal(body))
}

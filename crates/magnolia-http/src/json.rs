//! Reads request bodies and builds JSON and error responses.

use std::sync::Arc;

use bytes::Bytes;
use http::{Extensions, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Body;
use magnolia_types::{Ran, ResultCode};
use serde::{Deserialize, Serialize};

use crate::{HttpResponse, read_held_body};

/// JSON body of every response that reports a refusal or failure.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Numeric result code.
    pub code: ResultCode,
    /// Name of the result code.
    pub name: Arc<str>,
    /// Whether the requested work ran.
    pub ran: Ran,
    /// Reason in one sentence.
    pub message: Arc<str>,
}

impl ErrorBody {
    /// Creates the body for a result code.
    pub fn new(code: ResultCode, message: &str) -> Self {
        Self {
            code,
            name: code.name().into(),
            ran: code.ran(),
            message: message.into(),
        }
    }
}

/// Creates a response with a JSON body.
pub fn json_response<T: Serialize>(status: u16, body: &T) -> HttpResponse {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::new(Full::new(Bytes::from(bytes)));
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let json = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// Creates the response for a refusal or failure.
pub fn error_response(code: ResultCode, message: &str) -> HttpResponse {
    json_response(code.http_status(), &ErrorBody::new(code, message))
}

/// Reads a complete body of at most `limit` bytes that counts for no client.
///
/// # Errors
///
/// Returns the code of the [`BodyError`](crate::BodyError).
pub async fn read_body<B>(body: B, limit: usize) -> Result<Bytes, ResultCode>
where
    B: Body<Data = Bytes>,
{
    let held = read_held_body(body, &Extensions::new(), limit).await?;
    let (bytes, _) = held.into_parts();
    Ok(bytes)
}

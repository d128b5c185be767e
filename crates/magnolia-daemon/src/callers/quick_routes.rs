//! Quick requests.

use magnolia_http::{HttpResponse, error_response, json_response};
use magnolia_types::{QuickSpec, RequestId, ResultCode};
use serde_json::json;

use super::handler::CallerRequest;
use super::request::parse_json;
use crate::context::DaemonContext;
use crate::quick;

/// Answers `POST /v1/requests`.
pub async fn run(context: &DaemonContext, request: &CallerRequest) -> HttpResponse {
    let spec: QuickSpec = match parse_json(&request.body) {
        Ok(spec) => spec,
        Err(response) => return *response,
    };
    let id = format!("{}-{:016x}", context.identity.daemon, rand::random::<u64>());
    let Ok(id) = RequestId::new(&id) else {
        return error_response(ResultCode::Internal, "the request id is too long");
    };
    let outcome = quick::run_request(context, id.clone(), spec).await;
    match outcome.code {
        ResultCode::Ok => json_response(200, &json!({"request": id, "answer": outcome.text})),
        code => error_response(code, &outcome.text),
    }
}

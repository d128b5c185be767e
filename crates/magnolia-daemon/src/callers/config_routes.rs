//! Configuration.

use magnolia_config::ConfigPublication;
use magnolia_http::{HttpResponse, error_response, json_response};

use super::handler::CallerRequest;
use super::request::parse_json;
use crate::config_feed;
use crate::context::DaemonContext;

/// Answers `GET /v1/config`.
pub fn show(context: &DaemonContext) -> HttpResponse {
    json_response(200, context.config().as_ref())
}

/// Answers `POST /v1/config/publish`.
pub async fn publish(context: &DaemonContext, request: &CallerRequest) -> HttpResponse {
    let publication: ConfigPublication = match parse_json(&request.body) {
        Ok(publication) => publication,
        Err(response) => return *response,
    };
    match config_feed::publish(context, publication).await {
        Ok(config) => json_response(200, &serde_json::json!({"version": config.version})),
        Err((code, message)) => error_response(code, &message),
    }
}

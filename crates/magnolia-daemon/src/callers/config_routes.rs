//! Routes of the configuration: show, check and publish.

use magnolia_config::{ConfigDiff, ConfigDocument, ConfigPublication};
use magnolia_http::{ErrorBody, HttpResponse, error_response, json_response};
use magnolia_types::{ResultCode, wire_types};
use serde_json::json;

use super::handler::CallerRequest;
use super::request::{Refusal, parse_json};
use crate::config_feed;
use crate::context::DaemonContext;

/// Default author in the publication that a check proposes; the operator may change it.
const PROPOSED_AUTHOR: &str = "operator";

wire_types! {
    /// Body of `POST /v1/config/check`.
    #[serde(deny_unknown_fields)]
    struct CheckBody {
        /// The complete configuration document.
        toml: String,
    }
}

/// Answers `GET /v1/config`: the configuration in force, its source and its age.
pub fn show(context: &DaemonContext) -> HttpResponse {
    let config = context.config();
    let status = context.config_feed.status();
    let now = context.clock.now();
    let age = |at| now.saturating_sub(at);
    json_response(
        200,
        &json!({
            "version": config.version,
            "section_versions": config.section_versions,
            "key_sets": config.key_sets,
            "document": config.document,
            "source": status.source,
            "in_force_ms": status.adopted_at.map(age),
            "confirmed_ms_ago": status.confirmed_at.map(age),
        }),
    )
}

/// Answers `POST /v1/config/check`: the errors in the document, or the publication that would put
/// it in force.
///
/// # Errors
///
/// Fails with the refusal to send when the body is malformed.
pub fn check(context: &DaemonContext, request: &CallerRequest) -> Result<HttpResponse, Refusal> {
    let body: CheckBody = parse_json(&request.body)?;
    let config = context.config();
    Ok(match ConfigDocument::from_toml(&body.toml) {
        Ok(document) => json_response(
            200,
            &json!({
                "valid": true,
                "changes": ConfigDiff::new(config.document.as_ref(), Some(&document)).sections,
                "publication": config.publication_to(&document, PROPOSED_AUTHOR),
            }),
        ),
        Err(errors) => {
            let code = ResultCode::ConfigInvalid;
            let refusal = ErrorBody::new(code, &errors.to_string());
            let mut body = json!(refusal);
            body["errors"] = json!(errors.errors);
            json_response(code.http_status(), &body)
        }
    })
}

/// Answers `POST /v1/config/publish`.
///
/// # Errors
///
/// Fails with the refusal to send when the body is malformed.
pub async fn publish(
    context: &DaemonContext,
    request: &CallerRequest,
) -> Result<HttpResponse, Refusal> {
    let publication: ConfigPublication = parse_json(&request.body)?;
    Ok(match config_feed::publish(context, publication).await {
        Ok(version) => json_response(200, &json!({"version": version})),
        Err((code, message)) => error_response(code, &message),
    })
}

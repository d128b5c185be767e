//! Parses bodies and query strings, and creates refusals.

use std::collections::BTreeMap;

use bytes::Bytes;
use magnolia_http::{HttpResponse, error_response};
use magnolia_types::ResultCode;
use serde::de::DeserializeOwned;

/// The response that refuses a request.
pub type Refusal = Box<HttpResponse>;

/// Creates a refusal.
pub fn refuse(code: ResultCode, message: &str) -> Refusal {
    Box::new(error_response(code, message))
}

/// Parses a JSON body.
///
/// # Errors
///
/// Fails with the refusal to send, which names the line and column of the error.
pub fn parse_json<T: DeserializeOwned>(body: &Bytes) -> Result<T, Refusal> {
    serde_json::from_slice(body).map_err(|error| {
        let message = format!("the body is not the expected JSON: {error}");
        refuse(ResultCode::BadRequest, &message)
    })
}

/// Parameters of a query string.
pub struct QueryParameters {
    pairs: BTreeMap<String, String>,
}

impl QueryParameters {
    /// Parses a query string that may contain the `allowed` parameters, each at most once.
    ///
    /// # Errors
    ///
    /// Fails with the refusal to send when a parameter is unknown, repeated or malformed.
    pub fn new(query: Option<&str>, allowed: &[&str]) -> Result<Self, Refusal> {
        let mut pairs = BTreeMap::new();
        for part in query.unwrap_or_default().split('&') {
            if part.is_empty() {
                continue;
            }
            let (name, value) = part.split_once('=').unwrap_or((part, ""));
            if !allowed.contains(&name) {
                let message = format!(
                    "unknown parameter {name:?}; allowed: {}",
                    match allowed {
                        [] => "none".to_owned(),
                        names => names.join(", "),
                    }
                );
                return Err(refuse(ResultCode::BadRequest, &message));
            }
            let value = percent_decode(value).ok_or_else(|| {
                let message = format!("parameter {name}: the value is not percent-encoded UTF-8");
                refuse(ResultCode::BadRequest, &message)
            })?;
            if pairs.insert(name.to_owned(), value).is_some() {
                let message = format!("parameter {name} is given twice");
                return Err(refuse(ResultCode::BadRequest, &message));
            }
        }
        Ok(Self { pairs })
    }

    /// Parses a parameter, if it is given. `allowed` describes the allowed values in a refusal.
    ///
    /// # Errors
    ///
    /// Fails with the refusal to send when `parse` returns `None`.
    pub fn get<T>(
        &self,
        name: &str,
        allowed: &str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Result<Option<T>, Refusal> {
        let Some(text) = self.pairs.get(name) else {
            return Ok(None);
        };
        match parse(text) {
            Some(value) => Ok(Some(value)),
            None => {
                let message =
                    format!("parameter {name}: {text:?} is not allowed; allowed: {allowed}");
                Err(refuse(ResultCode::BadRequest, &message))
            }
        }
    }
}

/// Decodes percent-encoded UTF-8; returns `None` if the text is malformed.
pub fn percent_decode(text: &str) -> Option<String> {
    let mut parts = text.split('%');
    let mut bytes = parts.next().unwrap_or_default().as_bytes().to_vec();
    for part in parts {
        let digits = part.get(..2).filter(|digits| !digits.starts_with('+'))?;
        bytes.push(u8::from_str_radix(digits, 16).ok()?);
        bytes.extend_from_slice(&part.as_bytes()[2..]);
    }
    String::from_utf8(bytes).ok()
}

//! Reading requests.

use std::collections::HashMap;

use bytes::Bytes;
use magnolia_http::{HttpResponse, error_response};
use magnolia_types::ResultCode;
use serde::de::DeserializeOwned;

/// Parses a JSON body; a failure is the response to send.
pub fn parse_json<T: DeserializeOwned>(body: &Bytes) -> Result<T, Box<HttpResponse>> {
    serde_json::from_slice(body)
        .map_err(|error| Box::new(error_response(ResultCode::BadRequest, &error.to_string())))
}

/// Splits a query string into its pairs.
pub fn query_pairs(query: Option<&str>) -> HashMap<String, String> {
    let pairs = query
        .unwrap_or_default()
        .split('&')
        .filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect()
}

//! Stand-in for the service that knows on which executors a queue's policy lets a step run.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::json::Json;
use crate::net::{Request, Response, bind_free, serve};
use crate::record::Record;

/// Time for which a ticket is valid.
pub const VALID_MS: u64 = 2500;

/// Starts the service: each step may run on the executors `eligible`, and on no others.
pub fn start(
    record: &Record,
    eligible: Vec<String>,
    decision: Duration,
    period: Duration,
) -> SocketAddr {
    let record = record.clone();
    let handler = move |request: Request| {
        let body = Json::parse(&request.body_text())?;
        let named: Vec<String> = body.list("workers").iter().filter_map(text_of).collect();
        thread::sleep(decision + period * named.len() as u32);
        let rows: Vec<Json> = named
            .iter()
            .filter(|id| eligible.contains(id))
            .map(|id| Json::List(vec![id.as_str().into(), format!("ticket-{id}").into()]))
            .collect();
        record.note(format!(
            "advice {}: {} executors named, {} eligible",
            body.text("step"),
            named.len(),
            rows.len()
        ));
        let answer = Json::object([("eligible", rows.into()), ("valid_ms", VALID_MS.into())]);
        Some(Response::new(200, answer.to_string()))
    };
    serve(bind_free(), Arc::new(handler))
}

fn text_of(value: &Json) -> Option<String> {
    match value {
        Json::Text(text) => Some(text.clone()),
        _ => None,
    }
}

//! Stand-in for the instance list. `PUT /v1/instances` replaces the list; readers see the new list
//! after `lag_ms`.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use futures_util::future::BoxFuture;
use magnolia_backing::InstanceEntry;
use magnolia_http::{error_response, json_response};
use magnolia_types::{ResultCode, wire_types};

use super::{
    FaultState, StandinError, StandinHandler, StandinOptions, StandinReply, StandinRequest,
    serve_forever,
};

wire_types! {
    /// Faults of the instance list.
    #[serde(deny_unknown_fields, default)]
    #[derive(Default)]
    pub struct InstanceFaults {
        /// Time until readers see a new list.
        pub lag_ms: u64,
        /// Whether all calls but those to `/faults` stay unanswered.
        pub hang: bool,
    }
}

struct InstanceServer {
    /// Lists with the times at which readers see them, oldest first.
    lists: Mutex<VecDeque<(Instant, Vec<InstanceEntry>)>>,
    faults: FaultState<InstanceFaults>,
}

impl InstanceServer {
    fn visible(&self) -> Vec<InstanceEntry> {
        let mut lists = self.lists.lock().unwrap_or_else(PoisonError::into_inner);
        while lists
            .get(1)
            .is_some_and(|(visible, _)| *visible <= Instant::now())
        {
            lists.pop_front();
        }
        lists
            .front()
            .map(|(_, list)| list.clone())
            .unwrap_or_default()
    }

    fn replace(&self, entries: Vec<InstanceEntry>) {
        let visible = Instant::now() + Duration::from_millis(self.faults.get().lag_ms);
        let mut lists = self.lists.lock().unwrap_or_else(PoisonError::into_inner);
        lists.push_back((visible, entries));
    }

    fn answer(&self, request: &StandinRequest) -> StandinReply {
        match (request.method.as_str(), request.path.as_str()) {
            (_, "/faults") => self.faults.answer(request).into(),
            (_, _) if self.faults.get().hang => StandinReply::Hold,
            ("GET", "/v1/instances") => json_response(200, &self.visible()).into(),
            ("PUT", "/v1/instances") => match serde_json::from_slice(&request.body) {
                Ok(entries) => {
                    self.replace(entries);
                    json_response(200, &serde_json::json!({})).into()
                }
                Err(error) => error_response(ResultCode::BadRequest, &error.to_string()).into(),
            },
            _ => error_response(ResultCode::NotFound, "no such path").into(),
        }
    }
}

impl StandinHandler for InstanceServer {
    fn handle(self: Arc<Self>, request: StandinRequest) -> BoxFuture<'static, StandinReply> {
        Box::pin(async move { self.answer(&request) })
    }
}

/// Runs the stand-in for the instance list until the process ends.
///
/// # Errors
///
/// Fails when the address cannot be bound or the faults are malformed.
pub async fn run_instances(
    address: SocketAddr,
    options: &StandinOptions,
) -> Result<(), StandinError> {
    let server = InstanceServer {
        lists: Mutex::new(VecDeque::from([(Instant::now(), Vec::new())])),
        faults: FaultState::new("instances", options)?,
    };
    serve_forever(address, Arc::new(server)).await
}

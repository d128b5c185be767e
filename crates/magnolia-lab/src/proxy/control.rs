//! Runs a proxy as a process that `PUT /faults` and `POST /black-hole` control.

use std::net::SocketAddr;
use std::sync::Arc;

use futures_util::future::BoxFuture;
use magnolia_http::{error_response, json_response};
use magnolia_types::ResultCode;

use super::TcpProxy;
use crate::history::HistoryWriter;
use crate::standin::{StandinError, StandinHandler, StandinReply, StandinRequest, serve_forever};

struct ProxyControl {
    proxy: TcpProxy,
}

impl ProxyControl {
    fn answer(&self, request: &StandinRequest) -> StandinReply {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/faults") => json_response(200, &self.proxy.faults()).into(),
            ("PUT", "/faults") => match serde_json::from_slice(&request.body) {
                Ok(faults) => {
                    self.proxy.set_faults(faults);
                    json_response(200, &self.proxy.faults()).into()
                }
                Err(error) => error_response(ResultCode::BadRequest, &error.to_string()).into(),
            },
            ("POST", "/black-hole") => {
                self.proxy.black_hole_open_connections();
                json_response(200, &self.proxy.faults()).into()
            }
            _ => error_response(ResultCode::NotFound, "no such path").into(),
        }
    }
}

impl StandinHandler for ProxyControl {
    fn handle(self: Arc<Self>, request: StandinRequest) -> BoxFuture<'static, StandinReply> {
        Box::pin(async move { self.answer(&request) })
    }
}

/// Runs a proxy until the process ends.
///
/// # Errors
///
/// Fails when an address cannot be bound.
pub async fn run_proxy(
    listen: SocketAddr,
    target: SocketAddr,
    control: SocketAddr,
    history: HistoryWriter,
) -> Result<(), StandinError> {
    let proxy = TcpProxy::start("proxy", listen, target, history).await?;
    serve_forever(control, Arc::new(ProxyControl { proxy })).await
}

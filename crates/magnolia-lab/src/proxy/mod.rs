//! Fault-injecting TCP proxy on loopback.

mod control;
mod faults;
mod pipe;

pub use control::run_proxy;
pub use faults::ProxyFaults;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::task::JoinHandle;

use crate::history::{HistoryEvent, HistoryWriter, monotonic_us};

/// Delay after a failed accept, bind or connection to the target.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// A running proxy; dropping it stops it.
pub struct TcpProxy {
    name: Arc<str>,
    faults: watch::Sender<ProxyFaults>,
    history: HistoryWriter,
    task: JoinHandle<()>,
}

impl TcpProxy {
    /// Starts a proxy from `listen` to `target`; `name` identifies it in the history.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn start(
        name: &str,
        listen: SocketAddr,
        target: SocketAddr,
        history: HistoryWriter,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let faults = watch::Sender::new(ProxyFaults::default());
        let task = tokio::spawn(accept(listener, listen, target, faults.subscribe()));
        Ok(Self {
            name: name.into(),
            faults,
            history,
            task,
        })
    }

    /// Returns a copy of the faults in force.
    pub fn faults(&self) -> ProxyFaults {
        self.faults.borrow().clone()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: ProxyFaults) {
        let party = Arc::clone(&self.name);
        self.history.write(if faults == ProxyFaults::default() {
            HistoryEvent::FaultCleared { party }
        } else {
            let fault = serde_json::to_string(&faults).unwrap_or_default().into();
            HistoryEvent::FaultSet { party, fault }
        });
        self.faults.send_replace(faults);
    }

    /// Stops forwarding on the connections that are open now, without closing them; new ones work.
    pub fn black_hole_open_connections(&self) {
        let mut faults = self.faults();
        faults.silent_before_us = monotonic_us();
        self.set_faults(faults);
    }
}

impl Drop for TcpProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(
    listener: TcpListener,
    address: SocketAddr,
    target: SocketAddr,
    mut faults: watch::Receiver<ProxyFaults>,
) {
    let mut listener = Some(listener);
    let target_refused = Arc::new(Notify::new());
    loop {
        // The kernel refuses connections only while no listener is open.
        if faults.borrow_and_update().refuse {
            listener = None;
            if faults.changed().await.is_err() {
                return;
            }
            continue;
        }
        let Some(open) = &listener else {
            listener = TcpListener::bind(address).await.ok();
            if listener.is_none() {
                tokio::time::sleep(RETRY_DELAY).await;
            }
            continue;
        };
        let accepted = tokio::select! {
            accepted = open.accept() => accepted,
            () = target_refused.notified() => {
                listener = None;
                wait_for_target(target).await;
                continue;
            }
            changed = faults.changed() => match changed {
                Ok(()) => continue,
                Err(_) => return,
            },
        };
        match accepted {
            Ok((client, _)) => {
                let refused = Arc::clone(&target_refused);
                tokio::spawn(forward(client, target, faults.clone(), refused));
            }
            Err(_) => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
}

/// Waits until the target accepts connections.
async fn wait_for_target(target: SocketAddr) {
    while TcpStream::connect(target).await.is_err() {
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Connects an accepted client to the target and copies bytes between them.
///
/// A client that was accepted before the target refused sees a closed connection. The proxy refuses
/// all later clients until the target accepts again.
async fn forward(
    client: TcpStream,
    target: SocketAddr,
    faults: watch::Receiver<ProxyFaults>,
    target_refused: Arc<Notify>,
) {
    let opened_us = monotonic_us();
    if faults.borrow().cut {
        return;
    }
    match TcpStream::connect(target).await {
        Ok(server) => pipe::join(client, server, opened_us, faults).await,
        Err(_) => target_refused.notify_one(),
    }
}

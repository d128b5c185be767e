//! Copies bytes between the two ends of a proxied connection and applies the faults.

use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::watch;

use super::ProxyFaults;

/// Size of the copy buffer in bytes.
const CHUNK_BYTES: usize = 16 << 10;

/// Copies bytes between two connections until one ends or a fault closes both.
pub async fn join(
    client: TcpStream,
    server: TcpStream,
    opened_us: u64,
    mut faults: watch::Receiver<ProxyFaults>,
) {
    client.set_nodelay(true).ok();
    server.set_nodelay(true).ok();
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let requests = copy(client_read, server_write, opened_us, false, faults.clone());
    let answers = copy(server_read, client_write, opened_us, true, faults.clone());
    tokio::select! {
        () = requests => {}
        () = answers => {}
        _ = faults.wait_for(ProxyFaults::closes) => {}
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    opened_us: u64,
    is_answer: bool,
    mut faults: watch::Receiver<ProxyFaults>,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let length = match from.read(&mut chunk).await {
            Ok(0) | Err(_) => return,
            Ok(length) => length,
        };
        // The sender of the faults is gone when the proxy was dropped; the connection ends then.
        let is_passing = faults.wait_for(|faults| !faults.is_silent(opened_us));
        let Ok(now) = is_passing.await.map(|faults| faults.clone()) else {
            return;
        };
        if is_answer && now.drop_answers {
            return;
        }
        if now.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(now.delay_ms)).await;
        }
        if to.write_all(&chunk[..length]).await.is_err() {
            return;
        }
    }
}

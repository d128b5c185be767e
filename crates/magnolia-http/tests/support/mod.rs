//! A server whose behaviour is scripted for each connection and request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

/// What the server does with a request.
pub enum Step {
    /// Answers with the path of the request.
    Answer,
    /// Answers with the path of the request after a delay.
    Late(Duration),
    /// Keeps the connection open and never answers.
    Silent,
    /// Closes the connection without an answer.
    Close,
    /// Answers and then closes the connection.
    AnswerAndClose,
    /// Announces a longer body than it sends, then closes the connection.
    Partial,
}

/// Returns the step for the index of the connection and the index of the request on it.
pub type Script = dyn Fn(usize, usize) -> Step + Send + Sync;

/// Counts connections and requests.
#[derive(Default)]
pub struct Counts {
    /// Connections accepted.
    pub accepted: AtomicUsize,
    /// Connections that are open.
    pub open: AtomicUsize,
    /// Maximum number of connections that were open at once.
    pub most_open: AtomicUsize,
    /// Requests read.
    pub requests: AtomicUsize,
}

impl Counts {
    pub fn accepted(&self) -> usize {
        self.accepted.load(Ordering::SeqCst)
    }
    pub fn requests(&self) -> usize {
        self.requests.load(Ordering::SeqCst)
    }
}

/// Starts a server and returns its address and counts.
pub async fn start(script: Arc<Script>) -> (SocketAddr, Arc<Counts>) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let counts = Arc::new(Counts::default());
    let shared = Arc::clone(&counts);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let index = shared.accepted.fetch_add(1, Ordering::SeqCst);
            let open = shared.open.fetch_add(1, Ordering::SeqCst) + 1;
            shared.most_open.fetch_max(open, Ordering::SeqCst);
            let (script, counts) = (Arc::clone(&script), Arc::clone(&shared));
            tokio::spawn(async move {
                run(stream, index, &*script, &counts).await.ok();
                counts.open.fetch_sub(1, Ordering::SeqCst);
            });
        }
    });
    (address, counts)
}

async fn run(
    stream: TcpStream,
    index: usize,
    script: &Script,
    counts: &Counts,
) -> std::io::Result<()> {
    let mut stream = BufReader::new(stream);
    for request in 0.. {
        let Some(path) = read_path(&mut stream).await? else {
            return Ok(());
        };
        counts.requests.fetch_add(1, Ordering::SeqCst);
        let answer = format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{path}",
            path.len()
        );
        match script(index, request) {
            Step::Answer => stream.write_all(answer.as_bytes()).await?,
            Step::Late(delay) => {
                tokio::time::sleep(delay).await;
                stream.write_all(answer.as_bytes()).await?;
            }
            Step::Silent => {
                // Keeps reading, so that the client can notice nothing but the missing answer.
                while read_path(&mut stream).await?.is_some() {}
                return Ok(());
            }
            Step::Close => return Ok(()),
            Step::AnswerAndClose => {
                stream.write_all(answer.as_bytes()).await?;
                return Ok(());
            }
            Step::Partial => {
                let head = "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\npart";
                return stream.write_all(head.as_bytes()).await;
            }
        }
    }
    Ok(())
}

/// Reads the head of a request without a body and returns its path.
async fn read_path(stream: &mut BufReader<TcpStream>) -> std::io::Result<Option<String>> {
    let mut path = None;
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).await? == 0 {
            return Ok(None);
        }
        if line.trim().is_empty() {
            return Ok(path);
        }
        if path.is_none() {
            path = line.split(' ').nth(1).map(str::to_owned);
        }
    }
}

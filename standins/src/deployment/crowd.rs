//! Crowds of callers that send what they like and keep their connections open.

use std::{net, sync, time};

use bytes::Bytes;
use platform::names;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    task,
};

use crate::deployment::{daemon::Daemon, process_usage, table};

/// The time after which a crowd counts as settled even if the daemon has not read what some of its
/// callers send.
const SETTLE_TIMEOUT: time::Duration = time::Duration::from_secs(15);

/// The interval at which memory and descriptors are sampled.
const SAMPLE_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// The largest use of memory and descriptors that was seen.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeakUsage {
    /// Resident memory and the bytes that were received but not read.
    pub memory_bytes: u64,
    /// Open descriptors.
    pub descriptors: usize,
}

/// Callers that keep their connections open until the crowd is dropped.
pub struct Crowd {
    callers: task::JoinSet<()>,
    sampler: task::JoinHandle<()>,
    peak: sync::Arc<parking_lot::Mutex<PeakUsage>>,
}

impl Crowd {
    /// Starts `count` callers, each of which sends the pieces one by one, and waits until all have
    /// sent them, were refused, or are not read from.
    pub async fn gather(daemon: &Daemon, count: usize, pieces: Vec<Bytes>) -> Crowd {
        let peak = sync::Arc::new(parking_lot::Mutex::new(PeakUsage::default()));
        let sampler = task::spawn(sample(
            daemon.process.id(),
            daemon.http_address,
            peak.clone(),
        ));
        let (sent_tx, mut sent_rx) = tokio::sync::mpsc::channel(count.max(1));
        let mut callers = task::JoinSet::new();
        for _ in 0..count {
            let (address, pieces) = (daemon.http_address, pieces.clone());
            let sent_tx = sent_tx.clone();
            callers.spawn(async move {
                // A caller whose connection is refused or closed has nothing more to send.
                if let Ok(mut stream) = TcpStream::connect(address).await {
                    let _ = send(&mut stream, &pieces).await;
                    let _ = sent_tx.send(()).await;
                    let _ = stream.read_to_end(&mut Vec::new()).await;
                }
            });
        }
        drop(sent_tx);
        let all_sent = async { while sent_rx.recv().await.is_some() {} };
        // The time-out is expected: a daemon may leave what it does not want unread.
        let _ = tokio::time::timeout(SETTLE_TIMEOUT, all_sent).await;
        Crowd {
            callers,
            sampler,
            peak,
        }
    }

    /// Returns the largest use of memory and descriptors since the crowd gathered.
    pub fn peak(&self) -> PeakUsage {
        *self.peak.lock()
    }

    /// Returns the number of callers whose connections are open.
    pub fn open_connections(&mut self) -> usize {
        while self.callers.try_join_next().is_some() {}
        self.callers.len()
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.sampler.abort();
    }
}

async fn send(stream: &mut TcpStream, pieces: &[Bytes]) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    for piece in pieces {
        stream.write_all(piece).await?;
        task::yield_now().await;
    }
    Ok(())
}

async fn sample(
    id: u32,
    listener: net::SocketAddr,
    peak: sync::Arc<parking_lot::Mutex<PeakUsage>>,
) {
    loop {
        let resident = process_usage::resident_memory(id);
        let memory = resident + process_usage::unread_bytes(listener);
        let memory = memory.max(process_usage::peak_resident_memory(id));
        let descriptors = process_usage::open_descriptors(id);
        {
            let mut peak = peak.lock();
            peak.memory_bytes = peak.memory_bytes.max(memory);
            peak.descriptors = peak.descriptors.max(descriptors);
        }
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
}

/// Encodes the head of a request with a body; `framing` is the header that announces the body.
pub fn request_head(path: &str, framing: &str) -> Bytes {
    Bytes::from(format!(
        "POST {path} HTTP/1.1\r\nhost: {}\r\n{}: {:016x}\r\n{}: 4000\r\n\
         authorization: {}{}\r\n{framing}\r\n\r\n",
        table::HOST,
        names::REQUEST_ID,
        rand::random::<u64>(),
        names::REMAINING_MS,
        names::KEY_SCHEME,
        table::API_KEY,
    ))
}

/// Encodes `len` bytes as chunks of `chunk_len` bytes, without the chunk that ends a body.
pub fn chunks(len: usize, chunk_len: usize) -> Bytes {
    let mut encoded = Vec::new();
    for _ in 0..len / chunk_len {
        encoded.extend_from_slice(format!("{chunk_len:x}\r\n").as_bytes());
        encoded.resize(encoded.len() + chunk_len, b'x');
        encoded.extend_from_slice(b"\r\n");
    }
    Bytes::from(encoded)
}

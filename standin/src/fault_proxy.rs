//! A proxy that injects faults into the TCP and UDP traffic to one upstream address.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use parking_lot::Mutex;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde::{Deserialize, Serialize};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, UdpSocket},
};

const COPY_BUFFER_BYTES: usize = 16 * 1024;
/// Interval at which a frozen connection checks whether it may resume.
const FROZEN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Faults of a network link.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct LinkFaults {
    /// New connections are closed at once, open ones at their next chunk, and datagrams are dropped.
    pub cut: bool,
    /// Connections stay open but forward nothing, and datagrams are dropped.
    pub frozen: bool,
    /// Delay added to each chunk and datagram, in milliseconds.
    pub delay_ms: u64,
    /// Share of datagrams dropped.
    pub loss: f64,
    /// Probability that a connection is closed at a chunk from the upstream, drawn for each chunk.
    pub cut_answers: f64,
}

/// A proxy to one upstream address. Clones share their faults.
#[derive(Clone)]
pub struct FaultProxy {
    upstream: SocketAddr,
    faults: Arc<Mutex<LinkFaults>>,
    random: Arc<Mutex<SmallRng>>,
}

impl FaultProxy {
    /// Creates a proxy without faults; `seed` decides which datagrams and connections are hit.
    pub fn new(upstream: SocketAddr, seed: u64) -> Self {
        let random = Arc::new(Mutex::new(SmallRng::seed_from_u64(seed)));
        Self { upstream, faults: Arc::default(), random }
    }

    /// Replaces the faults, also for open connections.
    pub fn set_faults(&self, faults: LinkFaults) {
        *self.faults.lock() = faults;
    }

    /// Forwards TCP connections until the task is dropped.
    pub async fn forward_tcp(self, listener: TcpListener) {
        loop {
            let Ok((client, _)) = listener.accept().await else { continue };
            if self.faults.lock().cut {
                continue;
            }
            let proxy = self.clone();
            tokio::spawn(async move { proxy.forward_connection(client).await });
        }
    }

    /// Forwards datagrams to the upstream until the task is dropped.
    pub async fn forward_udp(self, socket: UdpSocket) {
        let mut buffer = vec![0; 65_536];
        loop {
            let Ok((length, _)) = socket.recv_from(&mut buffer).await else { continue };
            let faults = *self.faults.lock();
            if faults.cut || faults.frozen || self.draw_fault(faults.loss) {
                continue;
            }
            if faults.delay_ms > 0 {
                tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
            }
            socket.send_to(&buffer[..length], self.upstream).await.ok();
        }
    }

    fn draw_fault(&self, probability: f64) -> bool {
        probability > 0.0 && self.random.lock().random_bool(probability.min(1.0))
    }

    async fn forward_connection(self, client: TcpStream) {
        let Ok(upstream) = TcpStream::connect(self.upstream).await else { return };
        client.set_nodelay(true).ok();
        upstream.set_nodelay(true).ok();
        let (client_in, client_out) = client.into_split();
        let (upstream_in, upstream_out) = upstream.into_split();
        let to_upstream = self.clone().copy(client_in, upstream_out, false);
        let from_upstream = self.copy(upstream_in, client_out, true);
        tokio::select! {
            () = to_upstream => {}
            () = from_upstream => {}
        }
    }

    async fn copy<R, W>(self, mut from: R, mut to: W, from_upstream: bool)
    where
        R: AsyncReadExt + Unpin,
        W: AsyncWriteExt + Unpin,
    {
        let mut buffer = vec![0; COPY_BUFFER_BYTES];
        loop {
            let Ok(length) = from.read(&mut buffer).await else { return };
            while self.faults.lock().frozen {
                tokio::time::sleep(FROZEN_POLL_INTERVAL).await;
            }
            let faults = *self.faults.lock();
            if length == 0 || faults.cut || (from_upstream && self.draw_fault(faults.cut_answers)) {
                return;
            }
            if faults.delay_ms > 0 {
                tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
            }
            if to.write_all(&buffer[..length]).await.is_err() {
                return;
            }
        }
    }
}

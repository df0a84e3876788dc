//! A proxy that injects faults into TCP and UDP traffic on its way to a process.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use parking_lot::Mutex;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde::{Deserialize, Serialize};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, UdpSocket},
};

/// Bytes copied at a time.
const BUFFER_BYTES: usize = 16 * 1024;
/// Pause while a link is frozen, before it is looked at again.
const FROZEN_POLL: Duration = Duration::from_millis(20);

/// What the link does to the traffic.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct LinkFaults {
    /// New connections are refused and open ones cut.
    pub cut: bool,
    /// Nothing moves, nothing is closed.
    pub frozen: bool,
    /// Added to each piece, in milliseconds.
    pub delay_ms: u64,
    /// Share of datagrams lost.
    pub loss: f64,
    /// Share of answers from the upstream cut at a random piece.
    pub cut_answers: f64,
}

/// A link to one upstream address.
#[derive(Clone)]
pub struct FaultProxy {
    upstream: SocketAddr,
    faults: Arc<Mutex<LinkFaults>>,
    random: Arc<Mutex<SmallRng>>,
}

impl FaultProxy {
    /// A link to `upstream` whose losses are drawn from `seed`.
    pub fn new(upstream: SocketAddr, seed: u64) -> Self {
        let random = Arc::new(Mutex::new(SmallRng::seed_from_u64(seed)));
        Self { upstream, faults: Arc::default(), random }
    }

    /// Sets the faults in force from now on.
    pub fn set_faults(&self, faults: LinkFaults) {
        *self.faults.lock() = faults;
    }

    /// Carries TCP connections until the task is dropped.
    pub async fn forward_tcp(self, listener: TcpListener) {
        loop {
            let Ok((caller, _)) = listener.accept().await else { continue };
            if self.faults.lock().cut {
                continue;
            }
            let link = self.clone();
            tokio::spawn(async move { link.forward_connection(caller).await });
        }
    }

    /// Carries datagrams to the upstream until the task is dropped.
    pub async fn forward_udp(self, socket: UdpSocket) {
        let mut buffer = vec![0; 65_536];
        loop {
            let Ok((length, _)) = socket.recv_from(&mut buffer).await else { continue };
            let faults = *self.faults.lock();
            if faults.cut || faults.frozen || self.draw(faults.loss) {
                continue;
            }
            if faults.delay_ms > 0 {
                tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
            }
            socket.send_to(&buffer[..length], self.upstream).await.ok();
        }
    }

    fn draw(&self, share: f64) -> bool {
        share > 0.0 && self.random.lock().random_bool(share.min(1.0))
    }

    async fn forward_connection(self, caller: TcpStream) {
        let Ok(upstream) = TcpStream::connect(self.upstream).await else { return };
        caller.set_nodelay(true).ok();
        upstream.set_nodelay(true).ok();
        let (caller_in, caller_out) = caller.into_split();
        let (upstream_in, upstream_out) = upstream.into_split();
        let there = self.clone().copy(caller_in, upstream_out, false);
        let back = self.copy(upstream_in, caller_out, true);
        tokio::select! {
            () = there => {}
            () = back => {}
        }
    }

    async fn copy<R, W>(self, mut from: R, mut to: W, answer: bool)
    where
        R: AsyncReadExt + Unpin,
        W: AsyncWriteExt + Unpin,
    {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let Ok(length) = from.read(&mut buffer).await else { return };
            while self.faults.lock().frozen {
                tokio::time::sleep(FROZEN_POLL).await;
            }
            let faults = *self.faults.lock();
            if length == 0 || faults.cut || (answer && self.draw(faults.cut_answers)) {
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

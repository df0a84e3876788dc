//! Membership: failure detection, rejoining, and rejection of traffic from outside the site.

use rustix::process::Signal;
use standin::{fault_proxy::LinkFaults, reserved_port::ReservedPort};
use tokio::net::UdpSocket;

use crate::support::{TestDaemon, TestSite, eventually};

async fn has_peer_in_state(daemon: &TestDaemon, name: &str, state: &str) -> Option<()> {
    let peers = daemon.get("/admin/peers").await?;
    let rows = peers["peers"].as_array()?.clone();
    let row = rows.into_iter().find(|r| r["name"] == name)?;
    (row["state"] == state).then_some(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn killed_daemon_is_declared_dead_and_stopped_daemon_left() {
    let mut site = TestSite::start(4, 0).await;
    site.daemons[3].kill();
    site.daemons[2].signal(Signal::TERM);
    for number in 0..2 {
        let daemon = &site.daemons[number];
        eventually("the killed daemon is dead", || has_peer_in_state(daemon, "daemon-3", "dead")).await;
        eventually("the stopped daemon has left", || has_peer_in_state(daemon, "daemon-2", "left")).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn paused_daemon_rejoins() {
    let site = TestSite::start(3, 0).await;
    site.daemons[2].signal(Signal::STOP);
    eventually("the paused daemon is dead", || has_peer_in_state(&site.daemons[0], "daemon-2", "dead")).await;
    site.daemons[2].signal(Signal::CONT);
    eventually("the resumed daemon is alive", || has_peer_in_state(&site.daemons[0], "daemon-2", "alive")).await;
    eventually("the resumed daemon lists the others as alive", || {
        has_peer_in_state(&site.daemons[2], "daemon-0", "alive")
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn partitioned_daemons_rejoin() {
    let site = TestSite::start(4, 0).await;
    let cut = LinkFaults { cut: true, ..LinkFaults::default() };
    // Cuts every daemon off from every other, which is the worst case of a partition.
    site.daemons.iter().for_each(|d| d.set_peer_faults(cut));
    for daemon in &site.daemons[1..] {
        eventually("the first daemon is dead to the others", || has_peer_in_state(daemon, "daemon-0", "dead")).await;
    }
    site.daemons.iter().for_each(|d| d.set_peer_faults(LinkFaults::default()));
    for daemon in &site.daemons[1..] {
        eventually("the first daemon is alive to the others", || has_peer_in_state(daemon, "daemon-0", "alive")).await;
        eventually("the first daemon lists the others as alive", || {
            has_peer_in_state(&site.daemons[0], &daemon.name, "alive")
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn datagram_loss_declares_no_daemon_dead() {
    let site = TestSite::start(5, 0).await;
    site.daemons.iter().for_each(|d| d.set_peer_faults(LinkFaults { loss: 0.05, ..LinkFaults::default() }));
    tokio::time::sleep(std::time::Duration::from_secs(8)).await;
    for daemon in &site.daemons {
        assert_eq!(daemon.counter("members", "dead").await, 0.0, "{} declared a running daemon dead", daemon.name);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn outside_traffic_is_rejected_and_counted() {
    let site = TestSite::start(2, 0).await;
    let daemon = &site.daemons[0];
    let port = ReservedPort::new().expect("a port is free");
    let socket = UdpSocket::bind(port.address()).await.expect("the port is free for UDP");
    let cases: [(&[u8], &str); 3] =
        [(b"no message at all \xff\xff", "malformed"), (&[0x0a, 0x01, 0x78], "stranger"), (&[7; 5000], "oversized")];
    for (bytes, reason) in cases {
        let counted = || async {
            socket.send_to(bytes, daemon.advertise).await.ok()?;
            (daemon.counter("peer_rejections_total", reason).await > 0.0).then_some(())
        };
        eventually(reason, counted).await;
    }
    let rejected = || async {
        use tokio::io::AsyncWriteExt;
        let mut stream = tokio::net::TcpStream::connect(daemon.advertise).await.ok()?;
        stream.write_all(&[0, 0, 0, 4, 1, 2, 3, 4]).await.ok()?;
        drop(stream);
        (daemon.counter("peer_rejections_total", "handshake").await > 0.0).then_some(())
    };
    eventually("an invalid handshake is counted", rejected).await;
    assert_eq!(daemon.counter("members", "alive").await, 1.0);
}

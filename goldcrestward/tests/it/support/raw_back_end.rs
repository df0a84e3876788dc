//! Back end that answers with scripted bytes, whole or not.

use std::{net::SocketAddr, sync::Arc};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinSet,
};

/// What the back end does with the connection after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RawEnd {
    Keep,
    Close,
    Reset,
}

/// Back end that answers as a script says; it stops when it is dropped.
pub(crate) struct RawBackEnd {
    pub address: SocketAddr,
    _tasks: JoinSet<()>,
}

impl RawBackEnd {
    /// Starts a back end whose script gets the text of each request and its number on its connection, from 0.
    pub async fn start(script: impl Fn(&str, usize) -> (Vec<u8>, RawEnd) + Send + Sync + 'static) -> Self {
        Self::start_reading(true, script).await
    }

    /// Starts a back end that answers a request when its head has come, and reads no more of it.
    pub async fn start_early(script: impl Fn(&str, usize) -> (Vec<u8>, RawEnd) + Send + Sync + 'static) -> Self {
        Self::start_reading(false, script).await
    }

    async fn start_reading(
        reads_bodies: bool,
        script: impl Fn(&str, usize) -> (Vec<u8>, RawEnd) + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = listener.local_addr().expect("the socket has an address");
        let script = Arc::new(script);
        let mut tasks = JoinSet::new();
        tasks.spawn(async move {
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                let script = script.clone();
                connections.spawn(async move { serve(stream, reads_bodies, &*script).await });
            }
        });
        Self { address, _tasks: tasks }
    }
}

async fn serve(
    mut stream: TcpStream,
    reads_bodies: bool,
    script: &(impl Fn(&str, usize) -> (Vec<u8>, RawEnd) + Send + Sync),
) {
    stream.set_nodelay(true).ok();
    let mut number = 0;
    while let Some(request) = read_message(&mut stream, reads_bodies).await {
        let (bytes, end) = script(&request, number);
        if stream.write_all(&bytes).await.is_err() {
            return;
        }
        match end {
            RawEnd::Keep => number += 1,
            RawEnd::Close => {
                stream.shutdown().await.ok();
                return;
            }
            RawEnd::Reset => {
                // What was sent before is read before the reset arrives.
                tokio::time::sleep(std::time::Duration::from_millis(5)).await;
                stream.set_zero_linger().ok();
                return;
            }
        }
    }
}

/// Reads a request with its body.
pub(crate) async fn read_request(stream: &mut TcpStream) -> Option<String> {
    read_message(stream, true).await
}

async fn read_message(stream: &mut TcpStream, reads_body: bool) -> Option<String> {
    let (mut text, mut buffer) = (String::new(), [0; 8192]);
    loop {
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let head = head.to_lowercase();
            let length = head.lines().find_map(|line| line.strip_prefix("content-length:")?.trim().parse().ok());
            if !reads_body || body.len() >= length.unwrap_or(0) {
                return Some(text);
            }
        }
        let count = stream.read(&mut buffer).await.ok().filter(|count| *count > 0)?;
        text.push_str(&String::from_utf8_lossy(&buffer[..count]));
    }
}

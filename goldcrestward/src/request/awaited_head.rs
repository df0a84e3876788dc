//! The head of a response, which is read for a moment longer when its caller has gone.

use std::{
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::{Request as HttpRequest, Response as HttpResponse, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use log::info;
use tokio::{runtime::Handle, time::timeout};

use super::{run_window::RunWindow, sent_attempt::SentAttempt, takeover::Awaited};
use crate::{
    connection::{BackendConnection, SendError},
    process::ReplicaGuard,
};

/// Time from the sending of a request in which a server that refuses it says so.
const REFUSAL_TIME: Duration = Duration::from_millis(500);
/// Time for which a head is read once its caller has gone. Servers must not be at work half a second after that, and
/// learn of it by way of a peer in another region at times.
const UNHEARD_TIME: Duration = Duration::from_millis(200);

type Exchange = BoxFuture<'static, (BackendConnection, Result<HttpResponse<Incoming>, SendError>)>;

/// Sends a request and awaits the head of its response.
///
/// If it is dropped while it waits, the caller has gone. What a refusal says of its server concerns later requests too, so
/// the head of a request that was sent recently is read for a moment longer, and then the connection is closed. That of one
/// that another server has as well is closed at once, as two must not be at work on it.
pub(super) struct AwaitedHead {
    attempt: Arc<SentAttempt>,
    window: RunWindow,
    /// `None` once it has ended or been given up.
    exchange: Option<Exchange>,
    /// Whether another server has the request as well.
    is_second: bool,
}

impl AwaitedHead {
    pub fn new(
        attempt: SentAttempt,
        window: RunWindow,
        mut connection: BackendConnection,
        request: HttpRequest<Full<Bytes>>,
        is_second: bool,
    ) -> Self {
        let exchange: Exchange = Box::pin(async move {
            let response = connection.send(request).await;
            (connection, response)
        });
        Self { attempt: Arc::new(attempt), window, exchange: Some(exchange), is_second }
    }

    pub fn attempt(&self) -> &SentAttempt {
        &self.attempt
    }
}

impl Awaited for AwaitedHead {
    type Output = (BackendConnection, Result<HttpResponse<Incoming>, SendError>);

    fn poll_output(&mut self, context: &mut Context<'_>) -> Poll<Self::Output> {
        let Some(exchange) = &mut self.exchange else { return Poll::Pending };
        let output = ready!(exchange.as_mut().poll(context));
        self.exchange = None;
        Poll::Ready(output)
    }

    fn failure((_, response): &Self::Output) -> Option<&'static str> {
        match response {
            Err(_) => Some("cut"),
            Ok(response) if response.status() == StatusCode::SERVICE_UNAVAILABLE => Some("not-run"),
            Ok(response) if response.status() == StatusCode::MISDIRECTED_REQUEST => Some("not-run"),
            Ok(response) => response.status().is_server_error().then_some("own-failure"),
        }
    }

    fn close(&mut self) {
        self.exchange = None;
    }
}

impl Drop for AwaitedHead {
    fn drop(&mut self) {
        let Some(exchange) = self.exchange.take() else { return };
        if self.is_second || self.window.has_ended() || self.attempt.sent.elapsed() >= REFUSAL_TIME {
            return;
        }
        let gateway = &self.attempt.gateway;
        let (Ok(permit), Ok(runtime)) = (gateway.unheard_heads.clone().try_acquire_owned(), Handle::try_current())
        else {
            gateway.shared.metrics.unheard_heads.with_label_values(&["unread"]).inc();
            return;
        };
        // The server is still at work.
        let place = ReplicaGuard::for_sent(self.attempt.replica.clone());
        let attempt = self.attempt.clone();
        runtime.spawn(async move {
            read_unheard(&attempt, exchange).await;
            drop((place, permit));
        });
    }
}

/// Reads a head whose caller has gone, for what it says of its server.
async fn read_unheard(attempt: &SentAttempt, exchange: Exchange) {
    let result = match timeout(UNHEARD_TIME, exchange).await {
        Err(_) => "none",
        Ok((_, Err(_))) => "broken",
        Ok((_, Ok(response))) => match attempt.read_head(&response) {
            Ok(metadata) if metadata.not_run => "refused",
            Ok(_) => "answered",
            Err(_) => "crossed",
        },
    };
    attempt.gateway.shared.metrics.unheard_heads.with_label_values(&[result]).inc();
    if result == "refused" {
        let (id, instance, took_ms) = (&attempt.id, &attempt.replica.id, attempt.sent.elapsed().as_millis());
        info!("event=refused-unheard id={id} instance={instance} took_ms={took_ms}");
    }
}

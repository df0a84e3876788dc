//! How long connections to servers are kept for the next request.

use std::time::Duration;

use http::{HeaderMap, header};

/// Time after which an idle connection is closed if the server states none.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Longest time for which an idle connection is kept, whatever the server states.
const MAX_LIFETIME: Duration = Duration::from_secs(60);
/// Time by which a connection is retired before the server would close it.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Time for which a connection is kept that has carried nothing.
pub(super) fn unused_lifetime() -> Duration {
    IDLE_TIMEOUT - IDLE_MARGIN
}

/// Time for which a connection is kept after the end of a response with this head; `None` if it is closed.
pub(super) fn idle_lifetime(head: &HeaderMap) -> Option<Duration> {
    let values = head.get_all(header::CONNECTION).iter().filter_map(|value| value.to_str().ok());
    if values.flat_map(|value| value.split(',')).any(|value| value.trim().eq_ignore_ascii_case("close")) {
        return None;
    }
    let stated = head.get("keep-alive").and_then(|value| value.to_str().ok()).and_then(stated_timeout);
    stated.unwrap_or(IDLE_TIMEOUT).min(MAX_LIFETIME).checked_sub(IDLE_MARGIN)
}

/// The `timeout` parameter of a `Keep-Alive` header.
fn stated_timeout(value: &str) -> Option<Duration> {
    let mut fields = value.split(',').filter_map(|field| field.trim().split_once('='));
    let (_, seconds) = fields.find(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"))?;
    Some(Duration::from_secs(seconds.trim().parse().ok()?))
}

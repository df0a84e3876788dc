//! Tests of what is logged of carried connections.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use prometheus::IntGauge;

use super::{CarriedConnections, TunnelEnd};
use crate::{logs::is_sampled, pb::OpenTunnel};

fn id(sampled: bool) -> String {
    let mut ids = (0..).map(|number: u32| format!("request-{number}"));
    ids.find(|id| is_sampled(id) == sampled).expect("an id of either kind")
}

fn open(request: String) -> OpenTunnel {
    OpenTunnel { instance: "i-1".into(), request, from: "front-a".into(), ..OpenTunnel::default() }
}

#[test]
fn carried_connection_is_logged_if_sampled_or_stopping_or_broken() {
    let stopping = Arc::new(AtomicBool::new(false));
    let gauge = IntGauge::new("carried", "carried").expect("a gauge");
    let flag = stopping.clone();
    let carried = CarriedConnections::new(gauge.clone(), Arc::new(move || flag.load(Ordering::Relaxed)));
    let cases = [
        (Some(TunnelEnd::Server), false),
        (Some(TunnelEnd::Peer), false),
        (Some(TunnelEnd::ServerError), true),
        (Some(TunnelEnd::PeerError), true),
        (None, true),
    ];
    for (end, is_always_logged) in cases {
        for (request, is_stopping) in [(id(false), false), (id(true), false), (id(false), true), (String::new(), false)]
        {
            stopping.store(is_stopping, Ordering::Relaxed);
            let mut guard = carried.begin(&open(request.clone())).expect("not closed");
            if let Some(end) = end {
                guard.set_end(end);
            }
            let expected = is_always_logged || is_stopping || request == id(true);
            assert_eq!(guard.is_end_logged(), expected, "{end:?} {request:?} {is_stopping}");
            assert_eq!(gauge.get(), 1);
        }
    }
    assert_eq!((gauge.get(), carried.count()), (0, 0));
}

#[test]
fn carried_connection_of_an_earlier_version_has_no_names() {
    let carried = CarriedConnections::new(IntGauge::new("carried", "carried").expect("a gauge"), Arc::new(|| false));
    let named = carried.begin(&open("r1".into())).expect("not closed");
    assert_eq!(named.names.to_string(), "id=r1 peer=front-a instance=i-1");
    let unnamed = carried.begin(&OpenTunnel { instance: "i-1".into(), ..OpenTunnel::default() }).expect("not closed");
    assert_eq!(unnamed.names.to_string(), "id=- peer=- instance=i-1");
}

/// Guards against LOST: connections that were taken after the wait for those that are carried were cut by the end of the
/// daemon.
#[tokio::test]
async fn connections_are_taken_until_none_is_carried() {
    let carried = CarriedConnections::new(IntGauge::new("carried", "carried").expect("a gauge"), Arc::new(|| true));
    let first = carried.begin(&open("r1".into()));
    let waiting = tokio::spawn({
        let carried = carried.clone();
        async move { carried.finish().await }
    });
    tokio::task::yield_now().await;
    let second = carried.begin(&open("r2".into()));
    assert!(first.is_some() && second.is_some());
    drop(first);
    tokio::task::yield_now().await;
    assert!(!waiting.is_finished());
    drop(second);
    waiting.await.expect("none is carried");
    assert!(carried.begin(&open("r3".into())).is_none());
}

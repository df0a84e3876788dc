//! Tests of what a daemon concludes about its links.

use std::sync::Arc;

use super::{Change, HELPER_PAUSE_MS, PROBE_PAUSE_MS, Path, ReachTable};
use crate::connection::ConnectError;

const SILENT: Result<(), ConnectError> = Err(ConnectError::Silent);

fn server(number: usize) -> Arc<str> {
    format!("server-{number}").into()
}

#[test]
fn record_single_failure_loses_no_server() {
    let mut reach = ReachTable::default();
    assert_eq!(reach.record(&server(0), SILENT, 0), Change::None);
    assert_eq!(reach.path(&server(0), 1), Path::Direct);
    assert_eq!(reach.record(&server(0), SILENT, 2), Change::Lost);
    assert_eq!(reach.path(&server(0), 3), Path::Relay);
    assert_eq!(reach.lost(), 1);
}

#[test]
fn path_probes_lost_server_with_one_caller_at_a_time() {
    let mut reach = ReachTable::default();
    for now in 0..2 {
        reach.record(&server(0), SILENT, now);
    }
    let mut probes = Vec::new();
    for now in 2..8_000 {
        if reach.path(&server(0), now) == Path::RelayAndProbe {
            probes.push(now);
        }
    }
    let pauses: Vec<u64> = probes.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert_eq!(pauses, [PROBE_PAUSE_MS.0, 2 * PROBE_PAUSE_MS.0, PROBE_PAUSE_MS.1, PROBE_PAUSE_MS.1, PROBE_PAUSE_MS.1]);
    assert_eq!(reach.record(&server(0), Ok(()), 8_000), Change::Back);
    assert_eq!(reach.path(&server(0), 8_001), Path::Direct);
}

#[test]
fn cut_off_daemon_takes_servers_that_it_has_not_tried_for_lost() {
    let mut reach = ReachTable::default();
    for number in 0..3 {
        reach.record(&server(number), SILENT, 0);
    }
    assert!(reach.is_cut_off());
    assert_eq!(reach.path(&server(7), 1), Path::RelayAndProbe);
    assert_eq!(reach.path(&server(7), 2), Path::Relay);
    // One server that is reached shows that the daemon is not cut off.
    assert_eq!(reach.record(&server(7), Ok(()), 3), Change::Back);
    assert!(!reach.is_cut_off());
    assert_eq!(reach.path(&server(8), 4), Path::Direct);
}

#[test]
fn crashed_servers_among_others_cut_nothing_off() {
    let mut reach = ReachTable::default();
    for now in 0..50 {
        reach.record(&server(now as usize % 4), SILENT, now);
        reach.record(&server(10 + now as usize % 4), Ok(()), now);
    }
    assert!(!reach.is_cut_off());
    assert_eq!(reach.lost(), 4);
}

#[test]
fn forget_drops_servers_that_are_gone() {
    let mut reach = ReachTable::default();
    for number in 0..3 {
        reach.record(&server(number), SILENT, 0);
    }
    reach.forget(|id| id == "server-1", 1);
    assert!(!reach.is_cut_off());
    assert_eq!((reach.is_lost("server-0"), reach.lost()), (false, 0));
}

#[test]
fn peer_that_could_not_help_is_asked_again_later() {
    let mut reach = ReachTable::default();
    let peer: Arc<str> = "peer".into();
    reach.pause_helper(&peer, 10);
    assert!(!reach.may_help("peer", 11) && reach.may_help("other", 11));
    assert!(reach.may_help("peer", 10 + HELPER_PAUSE_MS));
}

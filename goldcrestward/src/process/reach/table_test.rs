//! Tests of what a daemon concludes about its links.

use std::sync::Arc;

use super::{CUT_OFF_SILENCE_MS, Change, PROBE_PAUSE_MS, Path, ReachTable, UNREACHED_TTL_MS};
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
    assert!(reach.is_cut_off(1));
    assert_eq!(reach.path(&server(7), 1), Path::RelayAndProbe);
    assert_eq!(reach.path(&server(7), 2), Path::Relay);
    // One server that is reached shows that the daemon is not cut off.
    assert_eq!(reach.record(&server(7), Ok(()), 3), Change::Back);
    assert!(!reach.is_cut_off(4));
    assert_eq!(reach.path(&server(8), 4), Path::Direct);
}

#[test]
fn crashed_servers_among_others_cut_nothing_off() {
    let mut reach = ReachTable::default();
    for now in 0..50 {
        reach.record(&server(now as usize % 4), SILENT, now);
        reach.record(&server(10 + now as usize % 4), Ok(()), now);
    }
    assert!(!reach.is_cut_off(50));
    assert_eq!(reach.lost(), 4);
}

#[test]
fn forget_drops_servers_that_are_gone() {
    let mut reach = ReachTable::default();
    for number in 0..3 {
        reach.record(&server(number), SILENT, 0);
    }
    reach.forget(|id| id == "server-1", 1);
    assert!(!reach.is_cut_off(1));
    assert_eq!((reach.is_lost("server-0"), reach.lost()), (false, 0));
}

// Guards against a daemon that gives up its good paths as three others have failed in a row.
#[test]
fn servers_that_answer_on_kept_connections_show_that_the_daemon_is_not_cut_off() {
    let mut reach = ReachTable::default();
    for now in 0..3_000 {
        // Half of the servers answer each 20 ms, on connections that are open already; the others do not let one be opened.
        if now % 20 == 0 {
            reach.record_answer(&server(now as usize / 20 % 5), now);
        }
        if now % 10 == 5 {
            reach.record(&server(5 + now as usize / 10 % 5), SILENT, now);
        }
        assert!(!reach.is_cut_off(now), "at {now}");
    }
    assert_eq!(reach.lost(), 5);
    assert!((0..5).all(|number| reach.path(&server(number), 3_000) == Path::Direct));
}

#[test]
fn daemon_without_any_answer_counts_as_cut_off_soon() {
    let mut reach = ReachTable::default();
    reach.record_answer(&server(0), 0);
    (0..3).for_each(|number| assert_eq!(reach.record(&server(number), SILENT, 150), Change::None));
    assert!(!reach.is_cut_off(CUT_OFF_SILENCE_MS - 1));
    assert!(reach.is_cut_off(CUT_OFF_SILENCE_MS));
}

#[test]
fn silent_server_is_lost_once_a_new_connection_fails_too() {
    let mut reach = ReachTable::default();
    reach.record_silence(&server(0), 0);
    assert!(!reach.is_lost("server-0"));
    assert_eq!(reach.record(&server(0), SILENT, 100), Change::Lost);
    assert!(reach.has_no_path("server-0"));
    assert_eq!(reach.record_answer(&server(0), 200), Change::Back);
    assert!(!reach.has_no_path("server-0"));
}

#[test]
fn silent_server_that_accepts_a_new_connection_stays() {
    let mut reach = ReachTable::default();
    reach.record_silence(&server(0), 0);
    reach.record(&server(0), Ok(()), 100);
    assert_eq!(reach.record(&server(0), SILENT, 200), Change::None);
}

// Guards against failures of a path that count for the server.
#[test]
fn server_that_refuses_connections_has_a_path() {
    let mut reach = ReachTable::default();
    for now in 0..2 {
        reach.record(&server(0), Err(ConnectError::Refused), now);
    }
    assert!(reach.is_lost("server-0") && !reach.has_no_path("server-0"));
}

#[test]
fn silence_of_long_ago_cuts_nothing_off() {
    let mut reach = ReachTable::default();
    (0..3).for_each(|number| assert_eq!(reach.record(&server(number), SILENT, 0), Change::None));
    assert!(reach.is_cut_off(UNREACHED_TTL_MS - 1) && !reach.is_cut_off(UNREACHED_TTL_MS));
}

// Guards against requests on silent connections because some other server has refused one.
#[test]
fn refusal_of_one_server_says_nothing_of_the_silence_of_another() {
    let mut reach = ReachTable::default();
    (0..2).for_each(|now| assert_eq!(reach.record(&server(0), SILENT, now) == Change::Lost, now == 1));
    reach.record(&server(1), Err(ConnectError::Refused), 2);
    assert!(reach.has_no_path("server-0") && !reach.has_no_path("server-1"));
}

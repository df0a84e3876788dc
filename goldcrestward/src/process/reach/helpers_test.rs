//! Tests of whom a daemon asks for connections to servers that it does not reach.

use std::sync::Arc;

use super::{Helpers, PATH_PAUSE_MS, PEER_PAUSE_MS, Search};
use crate::pb::TunnelResult;

fn name(name: &str) -> Arc<str> {
    name.into()
}

// Guards against a peer's failed path that is taken for the end of a sound server.
#[test]
fn record_peer_without_a_path_leaves_the_others_to_be_asked() {
    let mut helpers = Helpers::default();
    let (peer, server) = (name("peer"), name("server"));
    assert_eq!(helpers.record(&peer, &server, TunnelResult::CutOff, 10, 10), Search::GoOn);
    assert!(helpers.may_help("other", "server", 11));
    assert!(!helpers.may_help("peer", "server", 11));
    assert!(helpers.may_help("peer", "server", 10 + PATH_PAUSE_MS));
}

// Guards against a peer that is asked for no server because it does not reach one.
#[test]
fn record_peer_without_a_path_to_one_server_helps_with_others() {
    let mut helpers = Helpers::default();
    helpers.record(&name("peer"), &name("server-1"), TunnelResult::CutOff, 10, 10);
    assert!(helpers.may_help("peer", "server-2", 11));
}

/// Guards against LOST: a peer answers one of several questions by trying the server and turns the others away meanwhile. They
/// had it left out for a second although it had just opened a connection, and requests that waited for a way were given up.
#[test]
fn record_refusals_from_before_an_opened_connection_leave_the_peer_to_be_asked() {
    for opened_first in [true, false] {
        let mut helpers = Helpers::default();
        let (peer, server) = (name("peer"), name("server"));
        let answers = [(TunnelResult::Opened, 10, 12), (TunnelResult::CutOff, 11, 12)];
        let order = if opened_first { [0, 1, 1] } else { [1, 1, 0] };
        for (result, asked, now) in order.map(|number| answers[number]) {
            helpers.record(&peer, &server, result, asked, now);
        }
        assert!(helpers.may_help("peer", "server", 13), "opened first: {opened_first}");
        helpers.record(&peer, &server, TunnelResult::CutOff, 13, 14);
        assert!(!helpers.may_help("peer", "server", 15), "turned away since: {opened_first}");
    }
}

#[test]
fn record_tells_whether_the_search_goes_on() {
    let cases = [
        (TunnelResult::Opened, Search::Found, true),
        (TunnelResult::Unreached, Search::Refused, false),
        (TunnelResult::Unknown, Search::GoOn, false),
        (TunnelResult::CutOff, Search::GoOn, false),
        (TunnelResult::Stopping, Search::GoOn, true),
        (TunnelResult::Held, Search::GoOn, true),
        (TunnelResult::Busy, Search::GoOn, false),
        (TunnelResult::Unspecified, Search::GoOn, false),
    ];
    for (result, next, is_asked_again) in cases {
        let mut helpers = Helpers::default();
        assert_eq!(helpers.record(&name("peer"), &name("server"), result, 0, 0), next, "{result:?}");
        assert_eq!(helpers.may_help("peer", "server", 1), is_asked_again, "{result:?}");
    }
}

#[test]
fn record_busy_peer_is_asked_for_nothing_for_a_time() {
    let mut helpers = Helpers::default();
    helpers.record(&name("peer"), &name("server-1"), TunnelResult::Busy, 10, 10);
    assert!(!helpers.may_help("peer", "server-2", 11));
    assert!(helpers.may_help("peer", "server-2", 10 + PEER_PAUSE_MS));
}

// Guards against a peer that opens connections to all servers and reaches none, and draws the requests of others.
#[test]
fn record_silence_of_a_peer_puts_the_others_first() {
    let mut helpers = Helpers::default();
    helpers.record_silence(&name("liar"), 10);
    assert!(helpers.is_doubted("liar", 11) && !helpers.is_doubted("other", 11));
    // It may be the only one that reaches a server, which just needs the time.
    assert!(helpers.may_help("liar", "server", 11));
    helpers.record_answer("liar");
    assert!(!helpers.is_doubted("liar", 12));
}

#[test]
fn forget_drops_servers_that_are_gone() {
    let mut helpers = Helpers::default();
    helpers.record(&name("peer"), &name("server"), TunnelResult::CutOff, 0, 0);
    helpers.forget(|_| false, 1);
    assert!(helpers.may_help("peer", "server", 2));
}

//! Which peers may open connections to servers for this daemon.
//!
//! Pure state: it takes in the peers' answers and the time, and says whom to ask.

use std::{collections::HashMap, sync::Arc};

use crate::pb::TunnelResult;

/// Time for which a peer that could not help at all is not asked.
const PEER_PAUSE_MS: u64 = 1_500;
/// Time for which a peer is not asked for a server that it does not reach.
const PATH_PAUSE_MS: u64 = 1_000;
/// Time for which a peer is not asked for a server that it does not know.
const UNKNOWN_PAUSE_MS: u64 = 400;
/// Time for which a peer whose connection has been silent is asked after the others.
const DOUBT_MS: u64 = 3_000;

/// What to do after a peer's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Search {
    /// The peer has opened a connection.
    Found,
    /// Another peer may reach the server.
    GoOn,
    /// Another peer may reach the server, though something has refused the connection for it.
    Refused,
}

#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    /// Until when it is not asked for anything.
    paused_until: u64,
    /// Until when it is asked after the others.
    doubted_until: u64,
}

/// A peer's way to a server.
#[derive(Clone, Copy, Debug, Default)]
struct Way {
    /// Until when the peer is not asked for the server.
    paused_until: u64,
    /// When it last said that it had opened a connection there.
    opened_at: Option<u64>,
}

/// What this daemon knows of its peers as ways to servers.
#[derive(Debug, Default)]
pub(crate) struct Helpers {
    peers: HashMap<Arc<str>, Peer>,
    /// By server and peer.
    ways: HashMap<Arc<str>, HashMap<Arc<str>, Way>>,
}

impl Helpers {
    /// Records what a peer has answered to a request for a connection to a server, which it was sent at `asked`.
    pub fn record(&mut self, peer: &Arc<str>, server: &Arc<str>, result: TunnelResult, asked: u64, now: u64) -> Search {
        match result {
            TunnelResult::Opened => {
                *self.way(peer, server) = Way { paused_until: 0, opened_at: Some(now) };
                Search::Found
            }
            TunnelResult::Unreached => {
                self.pause_way(peer, server, asked, now + PATH_PAUSE_MS);
                Search::Refused
            }
            TunnelResult::CutOff => {
                self.pause_way(peer, server, asked, now + PATH_PAUSE_MS);
                Search::GoOn
            }
            // It will soon know the server, or no longer be asked.
            TunnelResult::Unknown => {
                self.pause_way(peer, server, asked, now + UNKNOWN_PAUSE_MS);
                Search::GoOn
            }
            // It may still carry what ends sooner, or what goes to other servers.
            TunnelResult::Stopping | TunnelResult::Held => Search::GoOn,
            TunnelResult::Busy | TunnelResult::Unspecified => {
                self.pause(peer, now);
                Search::GoOn
            }
        }
    }

    /// Records that a connection by way of a peer has been silent although a request waits on it. Its server may just need
    /// the time, so the peer is still asked where no other helps.
    pub fn record_silence(&mut self, peer: &Arc<str>, now: u64) {
        self.peers.entry(peer.clone()).or_default().doubted_until = now + DOUBT_MS;
    }

    /// Records a response by way of a peer.
    pub fn record_answer(&mut self, peer: &str) {
        if let Some(state) = self.peers.get_mut(peer) {
            state.doubted_until = 0;
        }
    }

    /// Whether a peer is to be asked after the others.
    pub fn is_doubted(&self, peer: &str, now: u64) -> bool {
        self.peers.get(peer).is_some_and(|state| state.doubted_until > now)
    }

    /// Whether a peer may be asked for a connection to a server.
    pub fn may_help(&self, peer: &str, server: &str, now: u64) -> bool {
        let is_paused = self.peers.get(peer).is_some_and(|state| state.paused_until > now);
        let way = self.ways.get(server).and_then(|peers| peers.get(peer));
        !is_paused && way.is_none_or(|way| way.paused_until <= now)
    }

    /// Forgets servers that are gone, and what is out of date.
    pub fn forget(&mut self, is_known: impl Fn(&str) -> bool, now: u64) {
        self.ways.retain(|server, peers| {
            peers.retain(|_, way| way.paused_until.max(way.opened_at.map_or(0, |at| at + PATH_PAUSE_MS)) > now);
            !peers.is_empty() && is_known(server)
        });
        self.peers.retain(|_, state| state.paused_until.max(state.doubted_until) > now);
    }

    fn way(&mut self, peer: &Arc<str>, server: &Arc<str>) -> &mut Way {
        self.ways.entry(server.clone()).or_default().entry(peer.clone()).or_default()
    }

    /// Pauses a way, unless the peer has opened a connection since it was asked: while it finds out by one question whether
    /// it reaches a server again, it turns the others away.
    fn pause_way(&mut self, peer: &Arc<str>, server: &Arc<str>, asked: u64, until: u64) {
        let way = self.way(peer, server);
        if way.opened_at.is_none_or(|at| at < asked) {
            way.paused_until = until;
        }
    }

    fn pause(&mut self, peer: &Arc<str>, now: u64) {
        self.peers.entry(peer.clone()).or_default().paused_until = now + PEER_PAUSE_MS;
    }
}

#[cfg(test)]
#[path = "helpers_test.rs"]
mod helpers_test;

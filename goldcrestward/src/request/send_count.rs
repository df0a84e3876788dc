//! How many servers a request has been sent to.

use std::net::SocketAddr;

use super::refusal::RunState;

/// Most answers to one request that another instance has the address.
const MAX_MISDIRECTED: u32 = 32;

/// The servers that a request has been sent to. One that has its address under several names counts once.
#[derive(Debug, Default)]
pub(super) struct SendCount {
    sends: u32,
    /// How many of them have turned it away.
    refusals: u32,
    /// Addresses of those that have said that they are another instance, and have got no other request since.
    misdirected_at: Vec<SocketAddr>,
    misdirected: u32,
}

/// A send that is under way.
#[derive(Clone, Copy, Debug)]
pub(super) struct BegunSend {
    address: SocketAddr,
    /// Whether the server at the address has got the request before, under another name.
    is_known: bool,
}

impl SendCount {
    /// Counts a send, which may be taken back.
    pub fn begin(&mut self, address: SocketAddr) -> BegunSend {
        let known = self.misdirected_at.iter().position(|other| *other == address);
        match known {
            Some(index) => {
                self.misdirected_at.swap_remove(index);
                self.refusals -= 1;
            }
            None => self.sends += 1,
        }
        BegunSend { address, is_known: known.is_some() }
    }

    /// Takes back a send that has not reached the server.
    pub fn take_back(&mut self, begun: BegunSend) {
        if begun.is_known {
            self.misdirected_at.push(begun.address);
            self.refusals += 1;
        } else {
            self.sends -= 1;
        }
    }

    /// Records that a server has turned the request away.
    pub fn record_refusal(&mut self) {
        self.refusals += 1;
    }

    /// Records that the server of a send is another instance than the one that it was meant for.
    pub fn record_misdirected(&mut self, begun: BegunSend) {
        self.refusals += 1;
        self.misdirected += 1;
        self.misdirected_at.push(begun.address);
    }

    /// Servers that it has been sent to.
    pub fn servers(&self) -> u32 {
        self.sends
    }

    /// Servers that count as attempts. A request that may have run can't be refused as not run any more, so that only
    /// servers that may have run it count.
    pub fn attempts(&self, run: RunState) -> u32 {
        match run {
            RunState::NotRun => self.sends,
            RunState::MayHaveRun => self.sends - self.refusals,
        }
    }

    /// Whether the request may be sent again after another instance has answered.
    pub fn may_redirect(&self) -> bool {
        self.misdirected < MAX_MISDIRECTED
    }

    /// Addresses at which the request may be sent under another name without another attempt.
    pub fn addresses_to_name(&self) -> &[SocketAddr] {
        if self.may_redirect() { &self.misdirected_at } else { &[] }
    }
}

#[cfg(test)]
#[path = "send_count_test.rs"]
mod send_count_test;

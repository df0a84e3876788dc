//! What is known of one daemon.

use std::{net::SocketAddr, sync::Arc};

use crate::{
    pb,
    util::{stable_hash, value},
};

value! {
    /// Whether a daemon is thought to run. At one incarnation a later state overrides an earlier one.
    pub(crate) enum State {
        /// It answers.
        Alive,
        /// It did not answer; it may refute this.
        Suspect,
        /// It did not refute the suspicion in time.
        Dead,
        /// It said that it leaves.
        Left,
    }
}

impl State {
    /// The state's name for operators.
    pub fn label(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Suspect => "suspect",
            Self::Dead => "dead",
            Self::Left => "left",
        }
    }

    /// Whether the daemon may still take part.
    pub fn is_present(self) -> bool {
        self <= Self::Suspect
    }
}

value! {
    /// One daemon of the site.
    pub(crate) struct Member {
        /// Its name.
        pub name: Arc<str>,
        /// Where peers reach it.
        pub address: SocketAddr,
        /// Its region.
        pub region: Arc<str>,
        /// Its availability zone.
        pub zone: Arc<str>,
        /// Starts at the daemon's start time in ms; raised to refute a suspicion.
        pub incarnation: u64,
        /// Its state.
        pub state: State,
    }
}

impl Member {
    /// The member's part in the hash of a view.
    ///
    /// Suspicions pass and the dead are forgotten at different times, so neither makes views differ.
    pub fn hash(&self) -> u64 {
        if !self.state.is_present() {
            return 0;
        }
        stable_hash(&[self.name.as_bytes(), &self.incarnation.to_le_bytes()])
    }

    /// Whether this statement overrides `other` on the same daemon.
    pub fn overrides(&self, other: &Self) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }
}

impl From<&Member> for pb::Member {
    fn from(member: &Member) -> Self {
        let state = match member.state {
            State::Alive => pb::MemberState::Alive,
            State::Suspect => pb::MemberState::Suspect,
            State::Dead => pb::MemberState::Dead,
            State::Left => pb::MemberState::Left,
        };
        Self {
            name: member.name.to_string(),
            address: member.address.to_string(),
            region: member.region.to_string(),
            zone: member.zone.to_string(),
            incarnation: member.incarnation,
            state: state.into(),
        }
    }
}

impl TryFrom<pb::Member> for Member {
    type Error = std::net::AddrParseError;

    fn try_from(member: pb::Member) -> Result<Self, Self::Error> {
        let state = match member.state() {
            pb::MemberState::Alive => State::Alive,
            pb::MemberState::Suspect => State::Suspect,
            pb::MemberState::Dead => State::Dead,
            pb::MemberState::Left => State::Left,
        };
        Ok(Self {
            address: member.address.parse()?,
            name: member.name.into(),
            region: member.region.into(),
            zone: member.zone.into(),
            incarnation: member.incarnation,
            state,
        })
    }
}

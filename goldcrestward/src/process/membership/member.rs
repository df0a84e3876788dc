//! A daemon as the membership knows it.

use std::{net::SocketAddr, sync::Arc};

use crate::{
    pb,
    util::{derive_value_traits, stable_hash},
};

derive_value_traits! {
    /// State of a daemon. At the same incarnation, a later state in this order overrides an earlier one.
    pub(crate) enum State {
        /// Answers probes.
        Alive,
        /// Did not answer a probe in time; can refute this with a higher incarnation.
        Suspect,
        /// Did not refute the suspicion in time.
        Dead,
        /// Announced that it is leaving.
        Left,
    }
}

impl State {
    /// Name of the state in logs, metrics and the admin API.
    pub fn label(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Suspect => "suspect",
            Self::Dead => "dead",
            Self::Left => "left",
        }
    }

    /// Whether the daemon counts as part of the site; suspects still do.
    pub fn is_present(self) -> bool {
        self <= Self::Suspect
    }
}

derive_value_traits! {
    /// One daemon of the site.
    pub(crate) struct Member {
        pub name: Arc<str>,
        /// Address at which peers reach it.
        pub address: SocketAddr,
        pub region: Arc<str>,
        pub zone: Arc<str>,
        /// Starts as the daemon's start in Unix ms; increased to refute a suspicion.
        pub incarnation: u64,
        pub state: State,
    }
}

impl Member {
    /// The member's contribution to the hash of a view.
    ///
    /// Covers neither suspicions, which are temporary, nor dead members, which daemons drop at different
    /// times: views that differ only in these count as equal.
    pub fn hash(&self) -> u64 {
        if !self.state.is_present() {
            return 0;
        }
        stable_hash(&[self.name.as_bytes(), &self.incarnation.to_le_bytes()])
    }

    /// Whether this update takes precedence over `other` for the same daemon.
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

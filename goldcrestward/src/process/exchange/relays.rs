//! The daemons that a daemon exchanges messages with, from its view of the membership.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use super::{heard_relay::relay_score, relay_role::RELAYS};
use crate::process::membership::{Member, View};

/// A daemon as a recipient of messages.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Recipient {
    pub name: Arc<str>,
    pub address: SocketAddr,
}

impl From<&Member> for Recipient {
    fn from(member: &Member) -> Self {
        Self { name: member.name.clone(), address: member.address }
    }
}

/// The present daemons by availability zone, ranked as relays.
#[derive(Debug, Default)]
pub(crate) struct Relays {
    /// Daemons of the own zone by rank, this one included.
    pub members: Vec<Recipient>,
    /// This daemon's rank among them.
    pub rank: usize,
    /// The highest ranked daemons of the own zone that are not being stopped: they remain when the others have left.
    pub remaining: Vec<Arc<str>>,
    /// The highest ranked daemons of each other zone, and whether the zone is in the own region.
    pub others: BTreeMap<Arc<str>, (bool, Vec<Recipient>)>,
}

impl Relays {
    /// Ranks the present daemons; of other zones, and of those that remain, it keeps `limit` each.
    pub fn of(view: &View, limit: usize) -> Self {
        let local = view.local();
        let mut zones: BTreeMap<&Arc<str>, Vec<(u64, &Member)>> = BTreeMap::new();
        for member in view.present() {
            zones.entry(&member.zone).or_default().push((relay_score(&member.name), member));
        }
        let mut relays = Self::default();
        for (zone, mut daemons) in zones {
            daemons.sort_unstable_by_key(|(score, _)| std::cmp::Reverse(*score));
            let ranked = daemons.iter().map(|(_, member)| Recipient::from(*member));
            if *zone == local.zone {
                let remaining = daemons.iter().filter(|(_, member)| !view.is_stopping(member));
                relays.remaining = remaining.take(limit).map(|(_, member)| member.name.clone()).collect();
                relays.members = ranked.collect();
            } else {
                let is_near = daemons.first().is_some_and(|(_, member)| member.region == local.region);
                relays.others.insert(zone.clone(), (is_near, ranked.take(limit).collect()));
            }
        }
        relays.rank = relays.rank_of(&local.name).unwrap_or(relays.members.len());
        relays
    }

    /// Whether a daemon of the own zone keeps what others report, or soon will.
    pub fn keeps_reports(&self, name: &str) -> bool {
        self.rank_of(name).is_some_and(|rank| rank < RELAYS) || self.remaining.iter().any(|kept| **kept == *name)
    }

    /// Rank of a daemon of the own zone.
    pub fn rank_of(&self, name: &str) -> Option<usize> {
        self.members.iter().position(|member| *member.name == *name)
    }
}

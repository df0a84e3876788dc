//! Request counts that a daemon hands to others before it leaves.
//!
//! What it knows may be known to nobody else: the other relays of its availability zone may leave at the same time.

use std::{
    cmp::Reverse,
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use futures_util::future::join_all;
use log::{info, warn};
use tokio::time::timeout;

use super::{
    heard_relay::relay_score, relay_role::RELAYS, relays::Recipient, run::Exchange, usage_fetch::oldest_window,
};
use crate::{
    pb::{self, answer, request},
    process::{duty::OWN_PREFIX, membership::View, shared::Shared},
    util::stable_hash,
};

/// Time within which a daemon must say that it has taken the counts.
const TAKING_TIMEOUT: Duration = Duration::from_millis(300);
/// Time limit of all tries with daemons that stay, and of those with daemons that are being stopped.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(1);
/// Daemons of other availability zones that get the counts.
const OTHER_RECEIVERS: usize = 2;
/// Daemons that are tried in place of those that do not take the counts.
const SUBSTITUTES: usize = 2;

/// Daemons that all stay, or are all being stopped, in the order in which they are tried.
#[derive(Debug, Default, PartialEq, Eq)]
struct Receivers {
    /// The holder of the duties.
    holder: Option<Recipient>,
    /// Daemons of the own availability zone.
    zone: Vec<Recipient>,
    /// Daemons of the others, the highest ranked of each before the next ones.
    others: Vec<Recipient>,
}

impl Receivers {
    fn of(view: &View, holder: Option<&str>, stopping: bool) -> Self {
        let local = view.local();
        let chosen = view.present().filter(|member| member.name != local.name && view.is_stopping(member) == stopping);
        let (holders, chosen): (Vec<_>, Vec<_>) = chosen.partition(|member| Some(&*member.name) == holder);
        let mut zones: BTreeMap<&Arc<str>, Vec<_>> = BTreeMap::new();
        for member in chosen {
            zones.entry(&member.zone).or_default().push(member);
        }
        for members in zones.values_mut() {
            members.sort_unstable_by_key(|member| Reverse(relay_score(&member.name)));
        }
        let zone = zones.remove(&local.zone).unwrap_or_default();
        // Each zone prefers others, so that none gets the counts of all.
        let preference = |zone: &str| stable_hash(&[local.zone.as_bytes(), zone.as_bytes()]);
        let ranked = zones.into_iter().flat_map(|(zone, members)| {
            members.into_iter().enumerate().map(move |(rank, member)| ((rank, preference(zone)), member))
        });
        let mut ranked: Vec<_> = ranked.collect();
        ranked.sort_unstable_by_key(|(key, _)| *key);
        Self {
            holder: holders.first().map(|member| Recipient::from(*member)),
            zone: zone.into_iter().map(Recipient::from).collect(),
            others: ranked.into_iter().map(|(_, member)| Recipient::from(member)).collect(),
        }
    }
}

/// Hands over what this daemon knows, and again what it has learnt since.
pub(crate) struct UsageHandover {
    shared: Arc<Shared>,
    handed: Option<Vec<pb::LifeCounts>>,
}

impl UsageHandover {
    pub fn new(shared: Arc<Shared>) -> Self {
        Self { shared, handed: None }
    }

    /// Hands over what some daemon has not taken yet, within `limit`: to daemons that stay, or, where none takes it, to those
    /// that are being stopped as well, which hand it on in turn.
    pub async fn run(&mut self, limit: Duration) {
        let Some(gateway) = self.shared.exchange.get().and_then(Exchange::gateway) else { return };
        let table = Exchange::new(&gateway).usage_table(oldest_window(&gateway));
        if table.lives.is_empty() || self.handed.as_ref() == Some(&table.lives) {
            return;
        }
        let begun = Instant::now();
        let lives = table.lives.len();
        for stopping in [false, true] {
            let limit = limit.saturating_sub(begun.elapsed()).min(HANDOVER_TIMEOUT);
            let takers = timeout(limit, self.hand_to_all(&table, stopping)).await.unwrap_or_default();
            if !takers.is_empty() {
                info!("event=usage-handed lives={lives} stopping={stopping} to={takers:?}");
                // Daemons that are being stopped may end before they hand the counts on.
                self.handed = (!stopping).then_some(table.lives);
                return;
            }
        }
        warn!("event=usage-not-handed lives={lives}");
    }

    /// Hands the counts to daemons that stay, or to those that are being stopped.
    async fn hand_to_all(&self, table: &pb::UsageTable, stopping: bool) -> Vec<Arc<str>> {
        let Receivers { holder, zone, others } = {
            let key = format!("{OWN_PREFIX}{}/duty", self.shared.settings.site);
            let holder = self.shared.config.lock().text(&key).cloned();
            let holder = holder.as_deref().and_then(|text| text.split(' ').next());
            Receivers::of(&self.shared.view.lock(), holder, stopping)
        };
        let groups = [(Vec::from_iter(holder), 1), (zone, RELAYS), (others, OTHER_RECEIVERS)];
        let hand = groups.into_iter().map(|(receivers, wanted)| self.hand(table, receivers, wanted, stopping));
        join_all(hand).await.into_iter().flatten().collect()
    }

    /// Hands the counts to so many of the receivers, and to others in place of those that do not take them.
    async fn hand(
        &self,
        table: &pb::UsageTable,
        receivers: Vec<Recipient>,
        wanted: usize,
        stopping: bool,
    ) -> Vec<Arc<str>> {
        let mut receivers = receivers.into_iter().take(wanted + SUBSTITUTES);
        let mut takers = Vec::new();
        while takers.len() < wanted {
            let round: Vec<_> = receivers.by_ref().take(wanted - takers.len()).collect();
            if round.is_empty() {
                break;
            }
            let tries = round.into_iter().map(async |receiver| {
                let from = self.shared.settings.name.to_string();
                let body = request::Body::HandUsage(pb::HandUsage { from, table: Some(table.clone()) });
                let answer = self.shared.peer_client.request(receiver.address, body, TAKING_TIMEOUT).await;
                let Ok(answer::Body::UsageTaken(taken)) = answer else { return None };
                (stopping || !taken.stopping).then_some(receiver.name)
            });
            takers.extend(join_all(tries).await.into_iter().flatten());
        }
        takers
    }
}

#[cfg(test)]
#[path = "usage_handover_test.rs"]
mod usage_handover_test;

//! Spreads the rate limits that replicas name to all daemons, as facts.

use log::info;

use super::{
    crash_watch::reject_fact,
    membership::{Fact, FactKind},
    replicas::Replica,
    shared::Shared,
};
use crate::util::unix_ms;

/// Lifetime of such a fact, in ms. A daemon that still sends to the replica learns the limit from its answers as well.
const LIMIT_TTL_MS: u64 = 5 * 60 * 1000;
/// Note of a fact that withdraws the limit.
const NONE: &str = "none";

/// Tells all daemons the limit that a replica has named, or that it has withdrawn it.
pub(crate) fn publish_limit(shared: &Shared, replica: &Replica) {
    let limit = replica.limit();
    let note = limit.per_second.map_or_else(|| NONE.to_owned(), |rate| rate.to_string());
    let fact = Fact {
        kind: FactKind::ServerLimit,
        key: format!("{:016x}", replica.run_hash()).into(),
        value: limit.named_ms,
        until_ms: unix_ms() + LIMIT_TTL_MS,
        note: note.into(),
    };
    shared.publish_fact(fact);
    shared.announce.notify_one();
}

/// Applies such a fact of another daemon.
pub(crate) fn learn_limit_fact(shared: &Shared, fact: &Fact) {
    let per_second = fact.note.parse::<f64>().ok().filter(|rate| rate.is_finite() && *rate >= 0.0);
    if per_second.is_none() && *fact.note != *NONE {
        return reject_fact(fact);
    }
    let Ok(run) = u64::from_str_radix(&fact.key, 16) else { return reject_fact(fact) };
    shared.announce.notify_one();
    let Some(replica) = shared.replicas.all().into_iter().find(|replica| replica.run_hash() == run) else { return };
    if replica.learn_limit(per_second, fact.value) {
        info!("event=rate-limit-learned instance={} per_second={per_second:?}", replica.id);
    }
}

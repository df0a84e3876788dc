//! Spreads which pools are brittle to all daemons, as facts, since a daemon that has sent nothing lately would learn it only
//! from the answers to a burst.

use std::sync::Arc;

use log::info;

use crate::{
    process::{
        crash_watch::reject_fact,
        membership::{Fact, FactKind},
        shared::Shared,
    },
    util::unix_ms,
};

/// Lifetime of such a fact.
const FACT_TTL_MS: u64 = 5_000;
/// Age of the known fact from which a daemon publishes it anew while servers go on saying so.
const REFRESH_MS: u64 = 1_500;

/// Applies what an answer of a server of a pool says: that it falls over if it turns away more requests in a second.
pub(crate) fn record_stated(shared: &Shared, pool: &Arc<str>, max_refusals: u32) {
    let now_ms = shared.agreed_ms();
    let is_fresh = {
        let view = shared.view.lock();
        let known = view.facts().get(FactKind::ServerBrittle, pool);
        known.is_some_and(|fact| now_ms < fact.value + REFRESH_MS)
    };
    if is_fresh {
        return;
    }
    apply(shared, pool, max_refusals, "answer");
    shared.publish_fact(Fact {
        kind: FactKind::ServerBrittle,
        key: pool.clone(),
        value: now_ms,
        until_ms: unix_ms() + FACT_TTL_MS,
        note: max_refusals.to_string().into(),
    });
    shared.announce.notify_one();
}

/// Applies such a fact of another daemon.
pub(in crate::process) fn learn_brittle_fact(shared: &Shared, fact: &Fact) {
    match fact.note.parse() {
        Ok(max_refusals) => apply(shared, &fact.key, max_refusals, "peer"),
        Err(_) => reject_fact(fact),
    }
}

/// All servers of the pool count as brittle, as they are of one kind.
fn apply(shared: &Shared, pool: &str, max_refusals: u32, source: &str) {
    let now = shared.now();
    let replicas = shared.replicas.pool(pool);
    let news = replicas.iter().filter(|replica| replica.state_brittle(max_refusals, now)).count();
    if news > 0 {
        info!("event=pool-brittle pool={pool} max_refusals={max_refusals} servers={news} source={source}");
    }
}

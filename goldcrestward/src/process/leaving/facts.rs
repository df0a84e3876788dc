//! Spreads what answers say of leaving servers to all daemons, as facts.

use log::info;

use crate::{
    process::{
        crash_watch::reject_fact,
        exchange::Exchange,
        gateway::Gateway,
        membership::{Fact, FactKind},
        replicas::{LeavingNews, Replica},
        shared::Shared,
    },
    util::unix_ms,
};

/// Lifetime of such a fact.
const FACT_TTL_MS: u64 = 10 * 60 * 1000;

/// Applies an answer that says that its server is leaving, to a request that was sent at `asked_ms` on the agreed clock.
pub(crate) fn record_stated(gateway: &Gateway, replica: &Replica, asked_ms: u64) {
    record(gateway, replica, asked_ms, "answer");
}

/// Applies such an answer to a peer's request, on a connection that this daemon has carried since `asked_ms`. The peer may
/// not be able to tell.
pub(in crate::process) fn record_carried(gateway: &Gateway, replica: &Replica, asked_ms: u64) {
    record(gateway, replica, asked_ms, "carried");
}

fn record(gateway: &Gateway, replica: &Replica, asked_ms: u64, source: &str) {
    let shared = &gateway.shared;
    let now = shared.now();
    let run = shared.replicas.record_leaving_answer(replica, asked_ms, now);
    let Some(news) = shared.replicas.state_leaving(run, now, now) else { return };
    apply(gateway, &news, source, 0);
    shared.publish_fact(Fact {
        kind: FactKind::ServerLeaving,
        key: format!("{run:016x}").into(),
        value: shared.agreed_ms(),
        until_ms: unix_ms() + FACT_TTL_MS,
        note: replica.id.clone(),
    });
    shared.announce.notify_one();
}

/// Applies such a fact of another daemon. The server's entry may not be known yet.
pub(in crate::process) fn learn_leaving_fact(shared: &Shared, fact: &Fact) {
    let Ok(run) = u64::from_str_radix(&fact.key, 16) else { return reject_fact(fact) };
    let (now, age_ms) = (shared.now(), shared.agreed_ms().saturating_sub(fact.value));
    shared.announce.notify_one();
    let Some(news) = shared.replicas.state_leaving(run, now.saturating_sub(age_ms), now) else { return };
    let Some(gateway) = shared.exchange.get().and_then(Exchange::gateway) else { return };
    apply(&gateway, &news, "peer", age_ms);
}

fn apply(gateway: &Gateway, news: &LeavingNews, source: &str, age_ms: u64) {
    let LeavingNews { replica, ready_in_pool } = news;
    gateway.shared.metrics.leaving_statements.with_label_values(&[source]).inc();
    let Some(replica) = replica else { return };
    let instance = &replica.id;
    info!("event=leaving-stated instance={instance} source={source} age_ms={age_ms} ready_in_pool={ready_in_pool}");
    gateway.backend_connections.close_all_idle(replica.address, instance);
}

//! Carries evidence on requests and prompt parts that crash replicas between this daemon's requests and the facts that all daemons share.

use std::sync::Arc;

use log::{info, warn};

use super::{
    crash_evidence::Condemned,
    membership::{Fact, FactKind},
    replicas::Replica,
    shared::Shared,
    verdict_keeper::fact_key,
};
use crate::util::unix_ms;

/// Lifetime of an accusation, in ms.
const ACCUSATION_TTL_MS: u64 = 15 * 60 * 1000;
/// Parts that one request may accuse of a crash, itself included.
const MAX_ACCUSED: usize = 16;

/// Accuses the whole of a request that a crashed replica was running, by its fingerprint, and its parts, except what other answers
/// speak for.
pub(crate) fn accuse(shared: &Shared, id: &str, replica: &Replica, fingerprint: Option<u64>, parts: &[u64]) {
    let (agreed, now, run) = (shared.agreed_ms(), shared.now(), replica.run_hash());
    let until_ms = unix_ms() + ACCUSATION_TTL_MS;
    let accused: Vec<u64> = {
        let mut evidence = shared.crash_evidence.lock();
        let suspects = fingerprint.into_iter().chain(parts.iter().copied());
        let accused: Vec<u64> = suspects.filter(|part| !evidence.is_cleared(*part, agreed)).take(MAX_ACCUSED).collect();
        accused.iter().for_each(|part| evidence.accuse(*part, run, agreed, until_ms, now));
        accused
    };
    let count = |result: &str, number: usize| {
        shared.metrics.accusations.with_label_values(&["own", result]).inc_by(number as u64);
    };
    count("standing", accused.len());
    count("contradicted", parts.len() + usize::from(fingerprint.is_some()) - accused.len());
    let (accused_requests, accused_parts): (Vec<u64>, Vec<u64>) =
        accused.iter().partition(|part| Some(**part) == fingerprint);
    let (instance, all, whole) = (&replica.id, parts.len(), !accused_requests.is_empty());
    let names = part_names(&accused_parts);
    info!("event=parts-accused id={id} instance={instance} parts={names} of={all} request={whole}");
    for part in accused {
        let key = fact_key(part, run).into();
        publish(shared, Fact { kind: FactKind::PartCrash, key, value: agreed, until_ms, note: replica.id.clone() });
    }
    judge(shared);
}

/// Records a complete answer to a request with these parts, which clears it and them of earlier accusations.
pub(crate) fn record_answer(shared: &Shared, fingerprint: u64, parts: &[u64]) {
    let agreed = shared.agreed_ms();
    let cleared = {
        let mut evidence = shared.crash_evidence.lock();
        let mut cleared = evidence.record_answer(parts.iter().copied(), agreed);
        cleared.extend(evidence.record_request_answer(fingerprint, agreed));
        cleared
    };
    for (part, until) in cleared {
        publish_clear(shared, part, until, "answered");
    }
}

/// Clears a part of all accusations up to now, on an operator's word.
pub(crate) fn clear_part(shared: &Shared, part: u64) {
    publish_clear(shared, part, shared.agreed_ms(), "operator");
    judge(shared);
}

/// Applies a fact about a part that another daemon has sent, or that was read from the store.
pub(crate) fn learn_part_fact(shared: &Shared, fact: &Fact) {
    match fact.kind {
        FactKind::PartCrash => learn_accusation(shared, fact),
        FactKind::PartAnswered => {
            let Ok(part) = u64::from_str_radix(&fact.key, 16) else { return reject_fact(fact) };
            shared.crash_evidence.lock().clear(part, fact.value);
            info!("event=part-cleared part={part:x} until={} reason={:?}", fact.value, fact.note);
            shared.announce.notify_one();
            judge(shared);
        }
        _ => {}
    }
}

fn learn_accusation(shared: &Shared, fact: &Fact) {
    let hex = |text| u64::from_str_radix(text, 16).ok();
    let Some((part, run)) = fact.key.split_once('/').and_then(|(part, run)| Some((hex(part)?, hex(run)?))) else {
        return reject_fact(fact);
    };
    let contradiction = {
        let mut evidence = shared.crash_evidence.lock();
        evidence.accuse(part, run, fact.value, fact.until_ms, shared.now());
        evidence.contradicts(part, fact.value)
    };
    let result = if contradiction.is_some() { "contradicted" } else { "standing" };
    shared.metrics.accusations.with_label_values(&["peer", result]).inc();
    info!("event=part-accusation-learned part={part:x} instance={} result={result}", fact.note);
    match contradiction {
        Some(until) => publish_clear(shared, part, until, "answered"),
        None => shared.announce.notify_one(),
    }
    judge(shared);
}

/// Decides which parts are refused, and logs those that are refused from now on.
pub(crate) fn judge(shared: &Shared) {
    let (condemned, count) = {
        let mut evidence = shared.crash_evidence.lock();
        let condemned = evidence.judge(unix_ms(), shared.now());
        (condemned, evidence.condemned().len())
    };
    shared.metrics.condemned_parts.set(count as i64);
    for Condemned { parts, crashes } in &condemned {
        let parts = part_names(parts);
        warn!(
            "event=parts-refused parts={parts} crashes={crashes} reason=\"replicas crash when they begin to answer requests with them\""
        );
    }
}

/// Logs a fact of another daemon that cannot be read and is not applied.
pub(super) fn reject_fact(fact: &Fact) {
    warn!("event=fact-refused kind={:?} key={:?} note={:?}", fact.kind, fact.key, fact.note);
}

fn publish_clear(shared: &Shared, part: u64, until: u64, reason: &str) {
    shared.crash_evidence.lock().clear(part, until);
    info!("event=part-cleared part={part:x} until={until} reason={reason:?}");
    let key = Arc::from(format!("{part:016x}"));
    let until_ms = unix_ms() + ACCUSATION_TTL_MS;
    publish(shared, Fact { kind: FactKind::PartAnswered, key, value: until, until_ms, note: reason.into() });
}

fn publish(shared: &Shared, fact: Fact) {
    shared.publish_fact(fact);
    shared.announce.notify_one();
}

/// The parts as in the header of a request, separated by commas.
pub(crate) fn part_names(parts: &[u64]) -> String {
    parts.iter().map(|part| format!("{part:x}")).collect::<Vec<_>>().join(",")
}

//! Tests of when settlements show, and of claims that nobody waits for.

use std::{sync::Arc, time::Duration};

use futures_util::FutureExt;
use prometheus::{IntCounter, IntCounterVec, Opts};

use super::{Claim, Ledger, Settlement, entry::slot_of, ledger_key};
use crate::{
    connection::{PeerClient, Secrets},
    pb::{Grant, Outcome},
    process::Refusals,
    store::{Kv, memory_store::MemoryStore},
};

/// Time for the ledger to write what is pending.
const FLUSH_LIMIT: Duration = Duration::from_secs(10);

fn ledger() -> Ledger {
    let counter =
        || IntCounterVec::new(Opts::new("calls", "calls"), &["call", "purpose", "result"]).expect("a counter");
    let commits = IntCounterVec::new(Opts::new("commits", "commits"), &["result"]).expect("a counter");
    let restores = IntCounter::new("restores", "restores").expect("a counter");
    let kv = Kv::new(Arc::new(MemoryStore::default()), counter(), restores);
    let peer_client = PeerClient::new(Secrets::new(&["secret".to_owned()]));
    let refusals = Refusals::new(IntCounter::new("refused", "refused entries").expect("a counter"));
    Ledger::start("site", "daemon", &kv, peer_client, Arc::new(|_| None), &commits, &refusals)
}

#[tokio::test]
async fn settle_awaited_shows_outcome_to_next_claim() {
    let ledger = ledger();
    let key = ledger_key("account", "route", "order-1");
    let claim = |request: &str| Claim { key, fingerprint: 1, request: request.into() };
    let first = ledger.claim(claim("first")).await.expect("a grant");
    assert_eq!(first.grant, Grant::Run);
    let outcome = Outcome { status: 200, content_type: String::new(), body: b"done".to_vec(), body_omitted: false };
    ledger.settle(Settlement { key, request: "first".into(), ran: true, outcome: Some(outcome.clone()) }).await.ok();
    let second = ledger.claim(claim("second")).await.expect("a grant");
    assert_eq!((second.grant, second.outcome), (Grant::Done, Some(outcome)));
}

/// Guards against a second run: a claim that is sent again, arrives late and finds nobody waiting must not free the key
/// of the request that runs.
#[tokio::test]
async fn claim_nobody_waits_for_frees_only_what_it_was_granted_first() {
    for (case, is_granted, expected) in
        [("the claim is the first", false, Grant::Run), ("the claim repeats a granted one", true, Grant::InProgress)]
    {
        let ledger = ledger();
        let key = ledger_key("account", "route", "order-1");
        let claim = |request: &str| Claim { key, fingerprint: 1, request: request.into() };
        if is_granted {
            assert_eq!(ledger.claim(claim("first")).await.expect("a grant").grant, Grant::Run, "{case}");
        }
        let dropped = ledger.claim_local(slot_of(&key), claim("first")).now_or_never();
        assert_eq!(dropped, None, "{case}: the ledger answered at once");
        ledger.flush(FLUSH_LIMIT).await;
        assert_eq!(ledger.claim(claim("second")).await.expect("an answer").grant, expected, "{case}");
    }
}

/// Guards against LOST: the connection of a claim ended while the claim was being written, as its owner had been silent, and
/// the same claim on the next connection was refused. Whichever of the two still has a caller keeps the key.
#[tokio::test]
async fn claim_sent_again_keeps_the_key_of_the_copy_nobody_waits_for() {
    for (case, is_first_dropped) in [("the first copy is dropped", true), ("the second copy is dropped", false)] {
        let ledger = ledger();
        let key = ledger_key("account", "route", "order-1");
        let claim = |request: &str| Claim { key, fingerprint: 1, request: request.into() };
        let other = ledger_key("account", "route", "order-2");
        let owned = ledger.claim(Claim { key: other, fingerprint: 1, request: "before".into() }).await;
        assert_eq!(owned.expect("a grant").grant, Grant::Run, "{case}");
        let slot = slot_of(&key);
        let (first, second) = (ledger.claim_local(slot, claim("first")), ledger.claim_local(slot, claim("first")));
        let (mut first, mut second) = (Box::pin(first), Box::pin(second));
        // Both claims are queued before the ledger handles them.
        assert_eq!((first.as_mut().now_or_never(), second.as_mut().now_or_never()), (None, None), "{case}");
        let (dropped, kept) = if is_first_dropped { (first, second) } else { (second, first) };
        drop(dropped);
        assert_eq!(kept.await.grant, Grant::Run, "{case}");
        ledger.flush(FLUSH_LIMIT).await;
        assert_eq!(ledger.claim(claim("second")).await.expect("an answer").grant, Grant::InProgress, "{case}");
    }
}

/// Both copies of a claim have lost their callers, so that the request will not run.
#[tokio::test]
async fn claim_sent_again_frees_the_key_once_nobody_waits() {
    let ledger = ledger();
    let key = ledger_key("account", "route", "order-1");
    let claim = |request: &str| Claim { key, fingerprint: 1, request: request.into() };
    for _ in 0..2 {
        assert_eq!(ledger.claim_local(slot_of(&key), claim("first")).now_or_never(), None);
    }
    ledger.flush(FLUSH_LIMIT).await;
    assert_eq!(ledger.claim(claim("second")).await.expect("an answer").grant, Grant::Run);
}

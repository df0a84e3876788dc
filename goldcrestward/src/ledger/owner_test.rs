//! Tests of when settlements show, and of claims that nobody waits for.

use std::{sync::Arc, time::Duration};

use futures_util::FutureExt;
use prometheus::{IntCounter, IntCounterVec, Opts};

use super::{Claim, Ledger, Settlement, entry::slot_of, ledger_key};
use crate::{
    connection::{PeerClient, Secrets},
    pb::{Grant, Outcome},
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
    Ledger::start("site", "daemon", &kv, peer_client, Arc::new(|_| None), &commits)
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

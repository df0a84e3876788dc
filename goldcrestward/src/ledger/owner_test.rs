//! Tests that a settlement is visible to the next claim as soon as it has been awaited.

use std::sync::Arc;

use prometheus::{IntCounter, IntCounterVec, Opts};

use super::{Claim, Ledger, Settlement, ledger_key};
use crate::{
    connection::{PeerClient, Secrets},
    pb::{Grant, Outcome},
    store::{Kv, memory_store::MemoryStore},
};

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

//! The ledger at one daemon: drives the slots that it owns and forwards claims to the owners of the others.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use log::warn;
use prometheus::IntCounterVec;
use tokio::{
    sync::{mpsc, oneshot},
    task::JoinHandle,
    time::{sleep, sleep_until, timeout},
};
use tokio_util::task::TaskTracker;

use super::{
    entry::{Key, SLOTS, slot_of},
    error::{OwnerSnafu, Result},
    message::{Effect, Settlement, StoreResult, Ticket},
    rows::refusal,
    slot::Slot,
};
use crate::{
    connection::PeerClient,
    pb::{self, Grant, answer, request},
    process::Refusals,
    store::{Kv, Purpose, Revision, Txn},
    util::unix_ms,
};

/// Interval at which a slot with pending work is driven.
const TICK: Duration = Duration::from_millis(50);
/// Time limit for an owner to answer one claim or report.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(4);
/// Time from the first attempt after which a claim is not retried any more.
const CLAIM_RETRY_WINDOW: Duration = Duration::from_secs(6);
/// Delay before a claim is retried; a report of how a claim ended backs off from it quadratically.
const RETRY_DELAY: Duration = Duration::from_millis(150);
const SETTLE_ATTEMPTS: u32 = 5;
/// Capacity of the message channel of one slot.
const QUEUE_CAPACITY: usize = 8192;

/// Answer to a claim.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ClaimAnswer {
    pub grant: Grant,
    /// The recorded outcome; only with [`Grant::Done`].
    pub outcome: Option<pb::Outcome>,
}

/// A claim on the right to run a request.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    pub key: Key,
    /// Hash of the request's content.
    pub fingerprint: u64,
    /// Identifier of the request that claims.
    pub request: Arc<str>,
}

enum Message {
    Claim(Claim, oneshot::Sender<ClaimAnswer>),
    Settle(Settlement, oneshot::Sender<bool>),
    StoreResult(StoreResult),
    IsFlushed(oneshot::Sender<bool>),
    Close,
}

/// Looks up the daemon that should own a slot; `None` is this daemon.
pub(crate) type OwnerLookup = Arc<dyn Fn(u32) -> Option<SocketAddr> + Send + Sync>;

/// The ledger at one daemon.
#[derive(Clone)]
pub(crate) struct Ledger {
    slots: Arc<Vec<mpsc::Sender<Message>>>,
    owner_of: OwnerLookup,
    peer_client: PeerClient,
    /// Reports of how claims ended that their owners have not recorded yet.
    settlements: TaskTracker,
}

impl Ledger {
    /// Starts one task per slot. `process` must be unique to this process and never reused.
    pub fn start(
        site: &str,
        process: &str,
        kv: &Kv,
        peer_client: PeerClient,
        owner_of: OwnerLookup,
        commits: &IntCounterVec,
        refusals: &Refusals,
    ) -> Self {
        let start = |slot_number| {
            let (sender, messages) = mpsc::channel(QUEUE_CAPACITY);
            let slot = Slot::new(site, slot_number, process.to_owned(), String::new());
            let driver = Driver {
                slot,
                slot_number,
                kv: kv.clone(),
                self_sender: sender.downgrade(),
                owner_of: owner_of.clone(),
                replies: HashMap::new(),
                last_ticket: 0,
                committed: Vec::new(),
                start: Instant::now(),
                commits: commits.clone(),
                refusals: refusals.clone(),
            };
            tokio::spawn(driver.run(messages));
            sender
        };
        let slots = Arc::new((0..SLOTS).map(start).collect());
        Self { slots, owner_of, peer_client, settlements: TaskTracker::new() }
    }

    /// Claims the right to run a request from the daemon that owns the key's slot.
    ///
    /// # Errors
    /// Fails when no owner answers within the time limit; the request must then not be run.
    pub async fn claim(&self, claim: Claim) -> Result<ClaimAnswer> {
        let slot = slot_of(&claim.key);
        let deadline = Instant::now() + CLAIM_RETRY_WINDOW;
        loop {
            let claimed = self.claim_once(slot, &claim).await;
            match claimed {
                Some(claimed) if claimed.grant != Grant::NotOwner => return Ok(claimed),
                _ if Instant::now() >= deadline => return OwnerSnafu { slot }.fail(),
                _ => sleep(RETRY_DELAY).await,
            }
        }
    }

    /// Reports how a claim ended. Dropping the handle does not cancel the report.
    pub fn settle(&self, settlement: Settlement) -> JoinHandle<()> {
        let ledger = self.clone();
        self.settlements.spawn(async move {
            for attempt in 1..=SETTLE_ATTEMPTS {
                if ledger.settle_once(&settlement).await {
                    return;
                }
                sleep(RETRY_DELAY * attempt * attempt).await;
            }
            // A claim that was never granted has no entry to settle.
            if settlement.ran {
                let (id, slot) = (&settlement.request, slot_of(&settlement.key));
                warn!("event=settlement-lost id={id} slot={slot} attempts={SETTLE_ATTEMPTS}");
            }
        })
    }

    /// Waits until no report of how a claim ended is on its way. Each is given up after a number of attempts.
    pub async fn settled(&self) {
        self.settlements.close();
        self.settlements.wait().await;
    }

    /// Number of reports of how claims ended that are on their way.
    pub fn unsettled(&self) -> usize {
        self.settlements.len()
    }

    /// Answers a peer's claim if this daemon owns the slot.
    pub async fn claim_local(&self, slot: u32, claim: Claim) -> ClaimAnswer {
        let unavailable = ClaimAnswer { grant: Grant::Unavailable, outcome: None };
        let Some(sender) = self.slots.get(slot as usize) else { return unavailable };
        let (reply, answer) = oneshot::channel();
        sender.send(Message::Claim(claim, reply)).await.ok();
        timeout(CLAIM_TIMEOUT, answer).await.ok().and_then(Result::ok).unwrap_or(unavailable)
    }

    /// Records a peer's report of how a claim ended; false if this daemon does not hold the claim.
    pub async fn settle_local(&self, slot: u32, settlement: Settlement) -> bool {
        let Some(sender) = self.slots.get(slot as usize) else { return false };
        let (reply, answer) = oneshot::channel();
        sender.send(Message::Settle(settlement, reply)).await.ok();
        answer.await.unwrap_or(false)
    }

    /// Gives all slots up for good, so that other daemons can take them, and waits like [`Ledger::flush`].
    pub async fn close(&self, limit: Duration) {
        let close_all = async {
            for sender in self.slots.iter() {
                sender.send(Message::Close).await.ok();
            }
            self.flush(limit).await;
        };
        timeout(limit, close_all).await.ok();
    }

    /// Waits, at most for `limit`, until every slot has written its changes and answered its claims.
    pub async fn flush(&self, limit: Duration) {
        let flush_all = async {
            for sender in self.slots.iter() {
                loop {
                    let (reply, answer) = oneshot::channel();
                    sender.send(Message::IsFlushed(reply)).await.ok();
                    if answer.await.unwrap_or(true) {
                        break;
                    }
                    sleep(TICK).await;
                }
            }
        };
        timeout(limit, flush_all).await.ok();
    }

    async fn claim_once(&self, slot: u32, claim: &Claim) -> Option<ClaimAnswer> {
        let Some(address) = (self.owner_of)(slot) else {
            return Some(self.claim_local(slot, claim.clone()).await);
        };
        let body = request::Body::Claim(pb::Claim {
            slot,
            key: claim.key.to_vec(),
            fingerprint: claim.fingerprint,
            request: claim.request.to_string(),
        });
        match self.peer_client.request(address, body, CLAIM_TIMEOUT).await.ok()? {
            answer::Body::ClaimAnswer(answer) => Some(ClaimAnswer { grant: answer.grant(), outcome: answer.outcome }),
            _ => None,
        }
    }

    async fn settle_once(&self, settlement: &Settlement) -> bool {
        let slot = slot_of(&settlement.key);
        let Some(address) = (self.owner_of)(slot) else {
            return self.settle_local(slot, settlement.clone()).await;
        };
        let body = request::Body::Settle(pb::Settle {
            slot,
            key: settlement.key.to_vec(),
            ran: settlement.ran,
            outcome: settlement.outcome.clone(),
            request: settlement.request.to_string(),
        });
        let answer = self.peer_client.request(address, body, CLAIM_TIMEOUT).await;
        matches!(answer, Ok(answer::Body::Settled(pb::Settled { recorded: true })))
    }
}

struct Driver {
    slot: Slot,
    slot_number: u32,
    kv: Kv,
    self_sender: mpsc::WeakSender<Message>,
    owner_of: OwnerLookup,
    replies: HashMap<Ticket, (Claim, oneshot::Sender<ClaimAnswer>)>,
    last_ticket: Ticket,
    /// The claims of the last commit that has been answered.
    committed: Vec<Ticket>,
    start: Instant,
    commits: IntCounterVec,
    refusals: Refusals,
}

impl Driver {
    async fn run(mut self, mut messages: mpsc::Receiver<Message>) {
        // Messages do not put it off.
        let mut next_tick = Instant::now();
        loop {
            let is_flushed = self.slot.is_flushed();
            tokio::select! {
                message = messages.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
                () = sleep_until(next_tick.into()), if !is_flushed => {
                    next_tick = Instant::now() + TICK;
                    let (now_ms, unix_s) = self.now();
                    let effects = self.slot.tick(now_ms, unix_s);
                    self.perform(effects);
                }
            }
        }
    }

    fn now(&self) -> (u64, u64) {
        (self.start.elapsed().as_millis() as u64, unix_ms() / 1000)
    }

    fn handle(&mut self, message: Message) {
        let (now_ms, unix_s) = self.now();
        let effects = match message {
            Message::Claim(claim, reply) => {
                let wanted = (self.owner_of)(self.slot_number).is_none();
                let mut effects = self.slot.set_wanted(wanted, now_ms, unix_s);
                self.last_ticket += 1;
                let (key, request) = (claim.key, claim.request.clone());
                let fingerprint = claim.fingerprint;
                self.replies.insert(self.last_ticket, (claim, reply));
                effects.extend(self.slot.claim(self.last_ticket, key, fingerprint, request, now_ms, unix_s));
                effects
            }
            Message::Settle(settlement, reply) => {
                let wanted = (self.owner_of)(self.slot_number).is_none();
                let mut effects = self.slot.set_wanted(wanted, now_ms, unix_s);
                let (recorded, settled) = self.slot.settle(settlement, now_ms, unix_s);
                reply.send(recorded).ok();
                effects.extend(settled);
                effects
            }
            Message::StoreResult(result) => {
                self.committed = self.slot.committing();
                self.slot.on_store_result(result, now_ms, unix_s)
            }
            Message::Close => self.slot.close(now_ms, unix_s),
            Message::IsFlushed(reply) => {
                reply.send(self.slot.is_flushed()).ok();
                Vec::new()
            }
        };
        self.perform(effects);
    }

    fn perform(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Reply(ticket, grant, outcome) => self.reply(ticket, ClaimAnswer { grant, outcome }),
                Effect::Load => self.load(),
                Effect::Txn(compares, puts, removes) => {
                    let (kv, self_sender) = (self.kv.clone(), self.self_sender.clone());
                    let commits = self.commits.clone();
                    tokio::spawn(async move {
                        let result = kv.txn(Purpose::Ledger, Txn { compares, puts, removes }).await;
                        let label = match &result {
                            Ok(txn) if txn.succeeded => "succeeded",
                            Ok(_) => "conflict",
                            Err(_) => "unanswered",
                        };
                        commits.with_label_values(&[label]).inc();
                        post_result(&self_sender, StoreResult::Executed(result)).await;
                    });
                }
            }
        }
    }

    fn reply(&mut self, ticket: Ticket, claimed: ClaimAnswer) {
        let Some((claim, reply)) = self.replies.remove(&ticket) else { return };
        // A grant that repeats an earlier one does not show that the request has not run.
        let is_first_grant = claimed.grant == Grant::Run && self.committed.contains(&ticket);
        let is_heard = reply.send(claimed).is_ok();
        if !is_first_grant {
            return;
        }
        let is_copy = |(other, _): &(Claim, _)| other.key == claim.key && other.request == claim.request;
        if is_heard {
            // The other copies of the claim repeat this grant.
            self.committed.retain(|ticket| !self.replies.get(ticket).is_some_and(is_copy));
            return;
        }
        if self.committed.iter().any(|ticket| self.replies.get(ticket).is_some_and(is_copy)) {
            return;
        }
        // The claimant has stopped waiting, so the request will not run: free the key.
        let (now_ms, unix_s) = self.now();
        let settlement = Settlement { key: claim.key, request: claim.request, ran: false, outcome: None };
        let (_, effects) = self.slot.settle(settlement, now_ms, unix_s);
        self.perform(effects);
    }

    fn load(&self) {
        let (kv, self_sender, prefix) = (self.kv.clone(), self.self_sender.clone(), self.slot.prefix().to_owned());
        let refusals = self.refusals.clone();
        tokio::spawn(async move {
            let result = kv.list(Purpose::Ledger, &prefix, Revision::NONE).await.map(|(rows, _)| rows);
            for row in result.iter().flatten() {
                if let Some(reason) = refusal(row, &prefix) {
                    refusals.record_entry(&row.key, row.revision, row.value.len(), reason);
                }
            }
            post_result(&self_sender, StoreResult::Loaded(result)).await;
        });
    }
}

async fn post_result(self_sender: &mpsc::WeakSender<Message>, result: StoreResult) {
    if let Some(sender) = self_sender.upgrade() {
        sender.send(Message::StoreResult(result)).await.ok();
    }
}

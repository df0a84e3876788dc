//! The ledger at one daemon: drives the slots that it owns, and asks the owners of the others.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use prometheus::IntCounterVec;
use tokio::{
    sync::{mpsc, oneshot},
    task::JoinHandle,
    time::{sleep, timeout},
};

use super::{
    entry::{Key, SLOTS, slot_of},
    error::{OwnerSnafu, Result},
    message::{Effect, Settlement, StoreResult, Ticket},
    slot::Slot,
};
use crate::{
    connection::PeerClient,
    pb::{self, Grant, answer, request},
    store::{Commit, Kv, Purpose},
    util::unix_ms,
};

/// Time from one look at a slot to the next.
const TICK: Duration = Duration::from_millis(50);
/// Time for an owner to answer a claim.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(4);
/// Time for all tries to claim.
const CLAIM_PATIENCE: Duration = Duration::from_secs(6);
/// Pause before a claim is tried again.
const CLAIM_PAUSE: Duration = Duration::from_millis(150);
/// Tries to report how a claim ended.
const SETTLE_TRIES: u32 = 5;
/// Messages waiting for one slot.
const QUEUE: usize = 8192;

/// A claim's answer.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Claimed {
    /// The right given or refused.
    pub grant: Grant,
    /// The recorded outcome.
    pub outcome: Option<pb::Outcome>,
}

/// A claim to be made.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    /// The key.
    pub key: Key,
    /// Hash of the request's content.
    pub fingerprint: u64,
    /// The request that claims.
    pub request: Arc<str>,
}

enum Message {
    Claim(Claim, oneshot::Sender<Claimed>),
    Settle(Settlement, oneshot::Sender<bool>),
    Answered(StoreResult),
    IsSettled(oneshot::Sender<bool>),
}

/// Finds the daemon that shall own a slot; `None` is this daemon.
pub(crate) type OwnerLookup = Arc<dyn Fn(u32) -> Option<SocketAddr> + Send + Sync>;

/// The ledger at one daemon.
#[derive(Clone)]
pub(crate) struct Ledger {
    slots: Arc<Vec<mpsc::Sender<Message>>>,
    owner_of: OwnerLookup,
    peer_client: PeerClient,
}

impl Ledger {
    /// Starts the slots' tasks. `me` names this process and no other.
    pub fn start(
        site: &str,
        me: &str,
        kv: &Kv,
        peer_client: PeerClient,
        owner_of: OwnerLookup,
        commits: &IntCounterVec,
    ) -> Self {
        let start = |number| {
            let (sender, messages) = mpsc::channel(QUEUE);
            let slot = Slot::new(site, number, me.to_owned(), String::new());
            let driver = Driver {
                slot,
                number,
                kv: kv.clone(),
                own: sender.downgrade(),
                owner_of: owner_of.clone(),
                replies: HashMap::new(),
                next: 0,
                start: Instant::now(),
                commits: commits.clone(),
            };
            tokio::spawn(driver.run(messages));
            sender
        };
        Self { slots: Arc::new((0..SLOTS).map(start).collect()), owner_of, peer_client }
    }

    /// Asks for the right to run a request, from whichever daemon owns the key's slot.
    ///
    /// # Errors
    /// Fails when no owner can be asked in time; the request then must not be run.
    pub async fn claim(&self, claim: Claim) -> Result<Claimed> {
        let slot = slot_of(&claim.key);
        let deadline = Instant::now() + CLAIM_PATIENCE;
        loop {
            let claimed = self.claim_once(slot, &claim).await;
            match claimed {
                Some(claimed) if claimed.grant != Grant::NotOwner => return Ok(claimed),
                _ if Instant::now() >= deadline => return OwnerSnafu { slot }.fail(),
                _ => sleep(CLAIM_PAUSE).await,
            }
        }
    }

    /// Reports how a claim ended. The report goes on when its caller no longer waits for it.
    pub fn settle(&self, settlement: Settlement) -> JoinHandle<()> {
        let ledger = self.clone();
        tokio::spawn(async move {
            for wait in 1..=SETTLE_TRIES {
                if ledger.settle_once(&settlement).await {
                    return;
                }
                sleep(CLAIM_PAUSE * wait * wait).await;
            }
        })
    }

    /// Answers a peer's claim if this daemon owns the slot.
    pub async fn claim_local(&self, slot: u32, claim: Claim) -> Claimed {
        let none = Claimed { grant: Grant::Unavailable, outcome: None };
        let Some(sender) = self.slots.get(slot as usize) else { return none };
        let (reply, answer) = oneshot::channel();
        sender.send(Message::Claim(claim, reply)).await.ok();
        timeout(CLAIM_TIMEOUT, answer).await.ok().and_then(Result::ok).unwrap_or(none)
    }

    /// Takes a peer's report of how a claim ended; false if this daemon does not hold it.
    pub async fn settle_local(&self, slot: u32, settlement: Settlement) -> bool {
        let Some(sender) = self.slots.get(slot as usize) else { return false };
        let (reply, answer) = oneshot::channel();
        sender.send(Message::Settle(settlement, reply)).await.ok();
        answer.await.unwrap_or(false)
    }

    /// Waits until every slot has written what it has to write, at most `limit`.
    pub async fn flush(&self, limit: Duration) {
        let all = async {
            for sender in self.slots.iter() {
                loop {
                    let (reply, answer) = oneshot::channel();
                    sender.send(Message::IsSettled(reply)).await.ok();
                    if answer.await.unwrap_or(true) {
                        break;
                    }
                    sleep(TICK).await;
                }
            }
        };
        timeout(limit, all).await.ok();
    }

    async fn claim_once(&self, slot: u32, claim: &Claim) -> Option<Claimed> {
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
            answer::Body::ClaimAnswer(answer) => Some(Claimed { grant: answer.grant(), outcome: answer.outcome }),
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
    number: u32,
    kv: Kv,
    own: mpsc::WeakSender<Message>,
    owner_of: OwnerLookup,
    replies: HashMap<Ticket, (Claim, oneshot::Sender<Claimed>)>,
    next: Ticket,
    start: Instant,
    commits: IntCounterVec,
}

impl Driver {
    async fn run(mut self, mut messages: mpsc::Receiver<Message>) {
        loop {
            let idle = self.slot.is_settled();
            tokio::select! {
                message = messages.recv() => match message {
                    Some(message) => self.take(message),
                    None => return,
                },
                () = sleep(TICK), if !idle => {
                    let (now, unix) = self.now();
                    let effects = self.slot.tick(now, unix);
                    self.perform(effects);
                }
            }
        }
    }

    fn now(&self) -> (u64, u64) {
        (self.start.elapsed().as_millis() as u64, unix_ms() / 1000)
    }

    fn take(&mut self, message: Message) {
        let (now, unix) = self.now();
        let effects = match message {
            Message::Claim(claim, reply) => {
                let wanted = (self.owner_of)(self.number).is_none();
                let mut effects = self.slot.want(wanted, now, unix);
                self.next += 1;
                let (key, request) = (claim.key, claim.request.clone());
                let fingerprint = claim.fingerprint;
                self.replies.insert(self.next, (claim, reply));
                effects.extend(self.slot.claim(self.next, key, fingerprint, request, now, unix));
                effects
            }
            Message::Settle(settlement, reply) => {
                let (recorded, effects) = self.slot.settle(settlement, now, unix);
                reply.send(recorded).ok();
                effects
            }
            Message::Answered(result) => self.slot.answered(result, now, unix),
            Message::IsSettled(reply) => {
                reply.send(self.slot.is_settled()).ok();
                Vec::new()
            }
        };
        self.perform(effects);
    }

    fn perform(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Reply(ticket, grant, outcome) => self.reply(ticket, Claimed { grant, outcome }),
                Effect::Load => self.load(),
                Effect::Commit(compares, puts, removes) => {
                    let (kv, own) = (self.kv.clone(), self.own.clone());
                    let commits = self.commits.clone();
                    tokio::spawn(async move {
                        let result = kv.txn(Purpose::Ledger, Commit { compares, puts, removes }).await;
                        let label = match &result {
                            Ok(txn) if txn.succeeded => "succeeded",
                            Ok(_) => "conflict",
                            Err(_) => "unanswered",
                        };
                        commits.with_label_values(&[label]).inc();
                        answer(&own, StoreResult::Committed(result)).await;
                    });
                }
            }
        }
    }

    fn reply(&mut self, ticket: Ticket, claimed: Claimed) {
        let Some((claim, reply)) = self.replies.remove(&ticket) else { return };
        let granted = claimed.grant == Grant::Run;
        if reply.send(claimed).is_ok() || !granted {
            return;
        }
        // Nobody waits for the right any more, so nobody will use it.
        let (now, unix) = self.now();
        let settlement = Settlement { key: claim.key, request: claim.request, ran: false, outcome: None };
        let (_, effects) = self.slot.settle(settlement, now, unix);
        self.perform(effects);
    }

    fn load(&self) {
        let (kv, own, prefix) = (self.kv.clone(), self.own.clone(), self.slot.prefix().to_owned());
        tokio::spawn(async move {
            let result = kv.list(Purpose::Ledger, &prefix, 0).await;
            answer(&own, StoreResult::Loaded(result.map(|(rows, _)| rows))).await;
        });
    }
}

async fn answer(own: &mpsc::WeakSender<Message>, result: StoreResult) {
    if let Some(sender) = own.upgrade() {
        sender.send(Message::Answered(result)).await.ok();
    }
}

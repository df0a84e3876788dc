//! Handles requests from other daemons.

use std::{net::SocketAddr, sync::Arc};

use super::{exchange::Exchange, gossip::Gossip, reach::open_for_peer, rollout::evidence_report, shared::Shared};
use crate::{
    connection::{CarriedConnection, PeerHandler},
    ledger::{Claim, Settlement},
    pb::{self, Grant, TunnelResult, answer, request},
};

/// Answers peers' requests from the daemon's shared state.
#[derive(Clone)]
pub(crate) struct PeerService {
    shared: Arc<Shared>,
    gossip: Gossip,
}

impl PeerService {
    pub fn new(shared: Arc<Shared>, gossip: Gossip) -> Self {
        Self { shared, gossip }
    }

    async fn claim(&self, claim: pb::Claim) -> pb::ClaimAnswer {
        let Ok(key) = claim.key.try_into() else {
            return pb::ClaimAnswer { grant: Grant::Unavailable.into(), outcome: None };
        };
        let (slot, fingerprint) = (claim.slot, claim.fingerprint);
        let claim = Claim { key, fingerprint, request: claim.request.into() };
        let claimed = self.shared.ledger.claim_local(slot, claim).await;
        pb::ClaimAnswer { grant: claimed.grant.into(), outcome: claimed.outcome }
    }

    async fn settle(&self, settle: pb::Settle) -> pb::Settled {
        let Ok(key) = settle.key.try_into() else { return pb::Settled { recorded: false } };
        let request = settle.request.into();
        let settlement = Settlement { key, request, ran: settle.ran, outcome: settle.outcome };
        pb::Settled { recorded: self.shared.ledger.settle_local(settle.slot, settlement).await }
    }

    fn allocate_shares(&self, report: &pb::ReportUsage) -> pb::Shares {
        let in_force = self.shared.in_force.load();
        let now = self.shared.now();
        let share = |usage: &pb::Usage| {
            let account = in_force.site.accounts.get(usage.account.as_str())?;
            let limits = &self.shared.limits;
            Some(limits.allocate_share(&account.name, &account.limits, &report.from, usage, now))
        };
        pb::Shares { shares: report.usage.iter().filter_map(share).collect() }
    }

    fn status(&self) -> pb::StatusReport {
        pb::StatusReport {
            name: self.shared.settings.name.to_string(),
            config_revision: self.shared.in_force.load().revision.ordinal(),
            in_flight: self.shared.metrics.in_flight.get().unsigned_abs(),
            life: self.shared.stage.get().label().into(),
        }
    }

    fn count(&self, kind: &str, body: &impl prost::Message, direction: &str) {
        let bytes = body.encoded_len() as u64;
        self.shared.metrics.peer_messages.with_label_values(&[kind, direction]).inc();
        self.shared.metrics.peer_bytes.with_label_values(&[kind, direction]).inc_by(bytes);
    }
}

impl PeerHandler for PeerService {
    async fn handle(&self, body: request::Body) -> Option<answer::Body> {
        let kind = kind_label(&body);
        let request = pb::Request { id: 0, body: Some(body) };
        self.count(kind, &request, "received");
        let answer = match request.body? {
            request::Body::PullConfig(pull) => answer::Body::ConfigDelta(self.shared.config.lock().answer_pull(&pull)),
            request::Body::SyncView(view) => {
                let own = self.shared.view.lock().export();
                self.gossip.merge(view);
                answer::Body::SyncView(own)
            }
            request::Body::AskStatus(_) => answer::Body::StatusReport(self.status()),
            request::Body::Claim(claim) => answer::Body::ClaimAnswer(self.claim(claim).await),
            request::Body::Settle(settle) => answer::Body::Settled(self.settle(settle).await),
            request::Body::ReportUsage(report) => answer::Body::Shares(self.allocate_shares(&report)),
            request::Body::AskEvidence(ask) => {
                let versions: Vec<Arc<str>> = ask.versions.into_iter().map(Into::into).collect();
                answer::Body::EvidenceReport(evidence_report(&self.shared, &versions))
            }
            request::Body::AskUsage(ask) => {
                let table = self.shared.exchange.get().map(|exchange| exchange.usage_table(ask.from_window));
                answer::Body::UsageTable(table.unwrap_or_default())
            }
            request::Body::HandUsage(hand) => {
                answer::Body::UsageTaken(self.shared.exchange.get().and_then(|exchange| exchange.take_usage(hand))?)
            }
            // Streams that open a tunnel are not served here.
            request::Body::OpenTunnel(_) => return None,
            request::Body::AskSend(ask) => {
                answer::Body::QuotaGrant(self.shared.exchange.get().map(|exchange| exchange.answer_send(&ask))?)
            }
            request::Body::AskQuota(ask) => {
                answer::Body::QuotaGrant(self.shared.exchange.get().map(|exchange| exchange.answer_quota(&ask))?)
            }
        };
        self.count(kind, &pb::Answer { id: 0, body: Some(answer.clone()) }, "sent");
        Some(answer)
    }

    fn count_unknown(&self) {
        self.shared.metrics.peer_unknown.with_label_values(&["request"]).inc();
    }

    async fn open_tunnel(&self, open: pb::OpenTunnel) -> Result<CarriedConnection, TunnelResult> {
        let gateway = self.shared.exchange.get().and_then(Exchange::gateway).ok_or(TunnelResult::Unknown)?;
        open_for_peer(&gateway, &self.shared, &open).await
    }
}

/// Returns the `kind` label under which a request is counted.
fn kind_label(body: &request::Body) -> &'static str {
    match body {
        request::Body::PullConfig(_) => "config",
        request::Body::SyncView(_) => "sync",
        request::Body::AskStatus(_) => "status",
        request::Body::Claim(_) | request::Body::Settle(_) => "ledger",
        request::Body::ReportUsage(_) => "limits",
        request::Body::AskEvidence(_) => "evidence",
        request::Body::AskUsage(_) | request::Body::HandUsage(_) => "usage",
        request::Body::AskQuota(_) => "quota",
        request::Body::AskSend(_) => "send",
        request::Body::OpenTunnel(_) => "tunnel",
    }
}

/// Reports demand on account limits to the daemons that allocate their shares, until the task is dropped.
pub(crate) async fn report_limit_demand(service: PeerService) {
    /// Interval between reports, and time for an owner to answer.
    const INTERVAL: std::time::Duration = std::time::Duration::from_secs(1);

    let shared = service.shared.clone();
    loop {
        tokio::time::sleep(INTERVAL).await;
        let mut by_owner: Vec<(Option<SocketAddr>, Vec<pb::Usage>)> = Vec::new();
        for usage in shared.limits.collect_demand() {
            let owner = {
                let view = shared.view.lock();
                let owner = view.owner(&format!("account/{}", usage.account));
                (owner.name != view.local().name).then_some(owner.address)
            };
            match by_owner.iter_mut().find(|(known, _)| *known == owner) {
                Some((_, rows)) => rows.push(usage),
                None => by_owner.push((owner, vec![usage])),
            }
        }
        for (owner, usage) in by_owner {
            let report = pb::ReportUsage { from: shared.settings.name.to_string(), usage };
            let shares = match owner {
                None => Some(service.allocate_shares(&report)),
                Some(address) => {
                    let body = request::Body::ReportUsage(report);
                    match shared.peer_client.request(address, body, INTERVAL).await {
                        Ok(answer::Body::Shares(shares)) => Some(shares),
                        _ => None,
                    }
                }
            };
            if let Some(shares) = shares {
                shared.limits.apply_shares(shares.shares, shared.now());
            }
        }
    }
}

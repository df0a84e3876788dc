//! Tests of what becomes of the units that a relay has granted to a request.

use std::{sync::Arc, time::Duration};

use parking_lot::Mutex;
use tokio::sync::oneshot;

use super::{
    super::{balance::QuotaBalances, ledger::QuotaLedger},
    QuotaCharge,
};
use crate::{
    config::{Quota, QuotaUnit},
    process::exchange::Reach,
};

const UNITS: f64 = 900.0;
/// Time in which the tasks that can go on do so.
const STEP: Duration = Duration::from_millis(20);

/// What becomes of a request whose units the relay is asked for.
#[derive(Clone, Copy, Debug)]
enum End {
    /// It may have run.
    Run,
    /// It is refused after the grant, or its caller hangs up.
    RefusedAfterGrant,
    /// It is given up before the relay has answered.
    GivenUpBeforeGrant,
    /// A server has taken it and then turned it away.
    TurnedAway,
}

/// Charges a request at a relay's ledger by way of `QuotaCharge`, and returns by how much the quota is lower once the relay
/// has the daemon's next report.
async fn missing_after(end: End) -> f64 {
    let quota = Quota { rate: 1.0, burst: 100_000.0, unit: QuotaUnit::Tokens(200) };
    let reach = Reach { own: 1, total: 1, zones: Vec::new() };
    let (account, daemon): (Arc<str>, Arc<str>) = ("account".into(), "daemon".into());
    let (balances, ledger) =
        (Arc::new(Mutex::new(QuotaBalances::default())), Arc::new(Mutex::new(QuotaLedger::default())));
    balances.lock().record(&account, 0.0);
    let report = |ledger: &mut QuotaLedger| {
        let total = balances.lock().usage_report().remove(&account).expect("the account is known");
        ledger.apply_member_report(&daemon, (&account, &quota), &total, &reach, 0);
        ledger.levels(|_| Some(&quota), &reach, 0)[&account].level
    };
    let before = report(&mut ledger.lock());
    let (answer, answered) = oneshot::channel();
    let ask = {
        let (ledger, account, quota, reach) = (ledger.clone(), account.clone(), quota.clone(), reach.clone());
        async move {
            let decided = ledger.lock().charge(&account, &quota, UNITS, &reach, 0);
            answered.await.ok()?;
            Some(decided)
        }
    };
    let asking = tokio::spawn(QuotaCharge::grant_by(balances.clone(), account.clone(), UNITS, ask));
    tokio::time::sleep(STEP).await;
    if matches!(end, End::GivenUpBeforeGrant) {
        asking.abort();
        assert!(asking.await.is_err_and(|error| error.is_cancelled()));
        // The test fails by the units that are missing if nobody awaits the answer any more.
        answer.send(()).ok();
        tokio::time::sleep(STEP).await;
    } else {
        answer.send(()).expect("the relay's answer is awaited");
        let granted = asking.await.expect("the task ends").expect("the relay decides");
        let mut charge = granted.expect("the relay grants");
        charge.set_used(matches!(end, End::Run | End::TurnedAway));
        if matches!(end, End::TurnedAway) {
            charge.set_used(false);
        }
    }
    before - report(&mut ledger.lock())
}

/// Guards against a quota that shrinks: units that the relay had granted to a request that did not run stayed charged.
#[tokio::test]
async fn units_of_requests_that_have_not_run_are_returned() {
    for (end, expected) in
        [(End::Run, UNITS), (End::RefusedAfterGrant, 0.0), (End::GivenUpBeforeGrant, 0.0), (End::TurnedAway, 0.0)]
    {
        let missing = missing_after(end).await;
        assert!((missing - expected).abs() < 1e-6, "{end:?}: {missing} units are missing, {expected} expected");
    }
}

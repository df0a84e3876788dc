//! Quotas of accounts, which apply to all daemons together.
//!
//! The relay of an availability zone keeps a ledger of what its zone and the others have used, and tells its daemons
//! what is left. While plenty is left, a daemon admits requests by itself and reports them; when it is scarce, the
//! daemon asks the relay first.

mod balance;
mod charge;
mod isolated;
mod ledger;

pub(crate) use balance::{QuotaBalances, QuotaLevel, Verdict};
pub(crate) use charge::QuotaCharge;
pub(crate) use isolated::IsolatedQuotas;
pub(crate) use ledger::{QuotaLedger, QuotaTotal};

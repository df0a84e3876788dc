//! Reports of usage by the holder of the duties.

use std::{collections::BTreeMap, time::Duration};

use log::{info, warn};

use super::{Duty, HeldDuties, SETTLE_DIVISOR};
use crate::{
    port::DutyAnswer,
    process::{
        clock::boot_ms,
        exchange::fetch_usage,
        record_knowledge::{CurrentHistory, first_window_since},
        term::{UsageRecord, UsageSchedule, UsageStep, WriteResult},
    },
    store::{Compare, Purpose, Put, Revision, Row, Txn},
};

/// Maximum number of usage steps per tick: read, write, report.
const MAX_USAGE_STEPS: u32 = 3;

impl Duty {
    /// Reports windows that have ended. Returns false if the platform knows a later holder.
    pub(super) async fn report_usage(&mut self, held: &mut HeldDuties) -> bool {
        self.learn_usage(held).await;
        for _ in 0..MAX_USAGE_STEPS {
            if self.must_release() {
                return true;
            }
            let step = held.term.usage_step(
                self.gateway.shared.agreed_ms(),
                self.usage_schedule(),
                |last_written, first_open, oldest_on_time| {
                    self.count_usage(held, last_written, first_open.min(self.unfetched_window), oldest_on_time)
                },
            );
            match step {
                UsageStep::Idle => return true,
                UsageStep::Read => {
                    let Ok(row) = self.gateway.shared.kv.get(Purpose::Duty, &self.key("usage")).await else {
                        return true;
                    };
                    let (record, revision) =
                        row.map_or((None, Revision::NONE), |row| (read_record(&row), row.revision));
                    match self.later_record(record.as_ref()) {
                        Some(mut lost) => {
                            let window = lost.window;
                            if self.records_lost_until(held, Some(&lost)).is_none() {
                                lost.history = Some(held.revision.history());
                            }
                            let result = self.write_usage(held, &lost, revision).await;
                            info!("event=usage-record-restored window={window} revision={revision} result={result:?}");
                            held.term.apply_write(lost, result);
                        }
                        None => held.term.apply_read(record, revision),
                    }
                }
                UsageStep::Write(record, replaced) => {
                    let result = self.write_usage(held, &record, replaced).await;
                    if matches!(result, WriteResult::Done(_)) {
                        self.gateway.usage.lock().learn_record(record.clone());
                    }
                    held.term.apply_write(record, result);
                }
                UsageStep::Send(record) => return self.send_usage(held, &record).await,
            }
        }
        true
    }

    /// The latest record that this daemon knows of, if it is later than the stored one, as the store has been restored from
    /// an older copy. It may have been reported.
    fn later_record(&self, stored: Option<&UsageRecord>) -> Option<UsageRecord> {
        self.gateway.learn_stored_record();
        let usage = self.gateway.usage.lock();
        let known = usage.recorded()?;
        stored.is_none_or(|stored| stored.window < known.window).then(|| known.clone())
    }

    /// Fetches the counts of windows that have ended from the relays. Until half of the time for a window's report is over, it
    /// is worth waiting for zones that have not answered for the whole of the window.
    async fn learn_usage(&mut self, held: &mut HeldDuties) {
        let UsageSchedule { window_ms, report_within_ms, settle_ms } = self.usage_schedule();
        let agreed_ms = self.gateway.shared.agreed_ms();
        let first_open = agreed_ms.saturating_sub(settle_ms) / window_ms;
        if first_open <= self.unfetched_window {
            return;
        }
        let oldest_on_time = first_open.saturating_sub(report_within_ms / window_ms + 1);
        let from_window = self.unfetched_window.max(oldest_on_time);
        let (first_unknown, has_last_holder) =
            fetch_usage(&self.gateway, from_window..first_open, &self.former_holders).await;
        held.is_vouched |= has_last_holder;
        let first_awaited = agreed_ms.saturating_sub(report_within_ms / 2) / window_ms;
        self.unfetched_window = first_unknown.max(first_awaited.min(first_open));
    }

    fn usage_schedule(&self) -> UsageSchedule {
        let settings = &self.gateway.shared.settings;
        let ms = |time: Duration| time.as_millis() as u64;
        let report_within_ms = ms(settings.usage_delay);
        UsageSchedule {
            window_ms: ms(settings.usage_window).max(1),
            report_within_ms,
            settle_ms: report_within_ms / u64::from(SETTLE_DIVISOR),
        }
    }

    /// Until when records may have been written that the store has lost and this daemon does not know, in ms of the boot-time
    /// clock; `None` if `record`, the latest that it knows, is the latest that was written.
    fn records_lost_until(&self, held: &HeldDuties, record: Option<&UsageRecord>) -> Option<u64> {
        let known_for = self.gateway.shared.kv.history().known_for().as_millis() as u64;
        let known_since_ms = boot_ms().saturating_sub(known_for);
        let current = CurrentHistory { number: held.revision.history(), known_since_ms };
        self.records.lost_until(record, current, held.is_vouched)
    }

    /// The first window that cannot have been reported by a record which the store has lost: its report was not due yet when
    /// the last such record was written, and it began after this daemon or one that it has learnt from, as earlier ones are
    /// not known whole. On a new site nobody counted before, so that the window under way then is whole as well.
    fn first_unreported(&self, held: &HeldDuties) -> u64 {
        let Some(lost_until) = self.records_lost_until(held, held.term.record()) else { return 0 };
        let UsageSchedule { window_ms, settle_ms, .. } = self.usage_schedule();
        let (now, agreed_ms) = (boot_ms(), self.gateway.shared.agreed_ms());
        let agreed_at = |time: u64| agreed_ms.saturating_sub(now.saturating_sub(time));
        let known_since = self.gateway.kept_spans.lock().earliest_begin().unwrap_or(u64::MAX).min(self.started_ms);
        let first_not_due = agreed_at(lost_until).saturating_sub(settle_ms) / window_ms;
        let first_whole = if self.records.knew_new_site() {
            agreed_at(known_since) / window_ms
        } else {
            first_window_since(agreed_at(known_since), window_ms)
        };
        first_not_due.max(first_whole)
    }

    fn count_usage(
        &self,
        held: &HeldDuties,
        last_written: Option<u64>,
        first_open: u64,
        oldest_on_time: u64,
    ) -> Option<UsageRecord> {
        let first_unreported = self.first_unreported(held);
        let mut usage = self.gateway.usage.lock();
        usage.forget_before(oldest_on_time.saturating_sub(1));
        let next = usage.next_window(last_written, first_open, oldest_on_time)?;
        let window = usage.next_window(last_written, first_open, oldest_on_time.max(first_unreported))?;
        if window != next {
            let (fence, last) = (held.holder.fencing_token, window - 1);
            warn!(
                "event=usage-left-out first={next} last={last} fence={fence} reason=\"the store may have lost what was reported\""
            );
        }
        Some(UsageRecord { window, counts: usage.total(window), history: Some(held.revision.history()) })
    }

    /// Stores the record that will be reported, in place of the one with revision `replaced`.
    async fn write_usage(&self, held: &HeldDuties, record: &UsageRecord, replaced: Revision) -> WriteResult {
        let Ok(value) = serde_json::to_vec(record) else { return WriteResult::Unknown };
        let put = Put { key: self.key("usage"), value, lease: 0 };
        let compares = vec![
            Compare { key: self.key("duty"), revision: held.revision },
            Compare { key: self.key("usage"), revision: replaced },
        ];
        let commit = Txn { compares, puts: vec![put], removes: Vec::new() };
        match self.gateway.shared.kv.txn(Purpose::Duty, commit).await {
            Ok(txn) if txn.succeeded => WriteResult::Done(txn.revision),
            Ok(_) => WriteResult::Refused,
            Err(_) => WriteResult::Unknown,
        }
    }

    async fn send_usage(&self, held: &mut HeldDuties, record: &UsageRecord) -> bool {
        if !Self::is_valid(held) {
            return true;
        }
        let counts: &BTreeMap<_, _> = &record.counts;
        let answer = self.duties.report_usage(&held.holder, record.window, counts).await;
        let total: u64 = counts.values().sum();
        let (fence, window) = (held.holder.fencing_token, record.window);
        info!("event=usage-reported window={window} requests={total} fence={fence} answer={answer:?}");
        held.term.apply_answer(answer);
        answer != DutyAnswer::Refused
    }
}

fn read_record(row: &Row) -> Option<UsageRecord> {
    let record = serde_json::from_slice(&row.value);
    if let Err(error) = &record {
        warn!("event=usage-record-unreadable key={:?} revision={} error={error:?}", row.key, row.revision);
    }
    record.ok()
}

//! Spans of time in which this daemon has learnt all that the daemons of an availability zone counted.

use std::{collections::BTreeMap, sync::Arc};

/// Spans of one zone that are kept, the latest.
const MAX_SPANS: usize = 8;

/// Begin and end of a span, in ms of the boot-time clock.
pub(crate) type Span = (u64, u64);

/// Spans by availability zone. Those that overlap are one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct KeptSpans {
    zones: BTreeMap<Arc<str>, Vec<Span>>,
    /// Since when this daemon has kept the reports of its own zone, if it does.
    own_since: Option<u64>,
}

impl KeptSpans {
    /// Adds a span of a zone.
    pub fn add(&mut self, zone: &Arc<str>, (begin, end): Span) {
        if begin >= end {
            return;
        }
        let spans = self.zones.entry(zone.clone()).or_default();
        let (joined, mut apart): (Vec<_>, Vec<_>) =
            spans.iter().copied().partition(|(other_begin, other_end)| *other_begin <= end && begin <= *other_end);
        let begin = joined.iter().map(|span| span.0).fold(begin, u64::min);
        let end = joined.iter().map(|span| span.1).fold(end, u64::max);
        apart.push((begin, end));
        apart.sort_unstable();
        apart.drain(..apart.len().saturating_sub(MAX_SPANS));
        *spans = apart;
    }

    /// Says at `now` whether this daemon keeps the reports of its zone.
    pub fn keep_own(&mut self, zone: &Arc<str>, keeps: bool, now: u64) {
        if !keeps {
            self.end_own(zone, now);
        } else if self.own_since.is_none() {
            self.own_since = Some(now);
        }
    }

    /// Ends the time for which this daemon has kept the reports of its zone.
    pub fn end_own(&mut self, zone: &Arc<str>, end: u64) {
        self.extend_own(zone, end);
        self.own_since = None;
    }

    /// Adds the time for which this daemon has kept the reports of its zone, to `now`.
    pub fn extend_own(&mut self, zone: &Arc<str>, now: u64) {
        if let Some(since) = self.own_since {
            self.add(zone, (since, now));
        }
    }

    /// Whether one span of the zone contains another.
    pub fn contains(&self, zone: &str, (begin, end): Span) -> bool {
        self.zones.get(zone).is_some_and(|spans| spans.iter().any(|span| span.0 <= begin && end <= span.1))
    }

    /// All spans with their zones.
    pub fn all(&self) -> impl Iterator<Item = (&Arc<str>, Span)> {
        self.zones.iter().flat_map(|(zone, spans)| spans.iter().map(move |span| (zone, *span)))
    }

    /// The earliest time from which some zone's counts are known.
    pub fn earliest_begin(&self) -> Option<u64> {
        self.all().map(|(_, (begin, _))| begin).min()
    }

    /// Removes spans that end before `time`.
    pub fn forget_before(&mut self, time: u64) {
        self.zones.retain(|_, spans| {
            spans.retain(|(_, end)| *end >= time);
            !spans.is_empty()
        });
    }
}

#[cfg(test)]
#[path = "kept_spans_test.rs"]
mod kept_spans_test;

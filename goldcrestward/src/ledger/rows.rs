//! Encoding of a slot's rows in the key-value service.

use prost::Message;

use super::entry::Entry;
use crate::{
    pb,
    store::{Put, Revision, Row},
};

/// Highest fencing token that an owner can have written: each is one more than another.
const MAX_FENCE: u64 = u64::MAX / 2;
/// Highest number of a segment. Owners use none above, and rows with such numbers do not count.
pub(super) const MAX_SEGMENT: u32 = u32::MAX / 2;

/// The row of a slot's head.
pub(super) struct HeadRow {
    pub revision: Revision,
    /// `None` if it cannot be read.
    pub head: Option<pb::LedgerHead>,
}

/// Finds the slot's head.
pub(super) fn find_head(rows: &[Row], prefix: &str) -> Option<HeadRow> {
    let row = rows.iter().find(|row| is_head(row, prefix))?;
    let head = pb::LedgerHead::decode(&row.value[..]).ok();
    let head = head.filter(|head| (1..=MAX_FENCE).contains(&head.fence) && !head.owner.is_empty());
    Some(HeadRow { revision: row.revision, head })
}

/// Encodes the head that makes `owner` the owner under the fencing token `fence`.
pub(super) fn head_put(prefix: &str, fence: u64, owner: &str, address: &str) -> Put {
    let head = pb::LedgerHead { fence, owner: owner.into(), address: address.into() };
    Put { key: format!("{prefix}head"), value: head.encode_to_vec(), lease: 0 }
}

/// Key of a segment.
pub(super) fn segment_key(prefix: &str, number: u32) -> String {
    format!("{prefix}segment/{number:08}")
}

/// Number of the segment whose key a row has; `None` if an owner would not have written the key.
pub(super) fn segment_number(row: &Row, prefix: &str) -> Option<u32> {
    let number = row.key.strip_prefix(prefix)?.strip_prefix("segment/")?.parse().ok()?;
    (number <= MAX_SEGMENT && row.key == segment_key(prefix, number)).then_some(number)
}

/// Decodes a segment; `None` if an owner would not have written it.
pub(super) fn decode_segment(row: &Row) -> Option<pb::LedgerSegment> {
    let segment = pb::LedgerSegment::decode(&row.value[..]).ok()?;
    let is_sound = (1..=MAX_FENCE).contains(&segment.fence)
        && !segment.entries.is_empty()
        && segment.entries.iter().all(Entry::has_key);
    is_sound.then_some(segment)
}

/// Why an owner would not have written a row; `None` if it may have.
pub(super) fn refusal(row: &Row, prefix: &str) -> Option<&'static str> {
    if is_head(row, prefix) {
        let is_readable = find_head(std::slice::from_ref(row), prefix).is_some_and(|row| row.head.is_some());
        return (!is_readable).then_some("the head of the slot cannot be read");
    }
    if segment_number(row, prefix).is_none() {
        return Some("the key is neither the head nor a segment of the slot");
    }
    decode_segment(row).is_none().then_some("the segment cannot be read")
}

fn is_head(row: &Row, prefix: &str) -> bool {
    row.key.strip_prefix(prefix) == Some("head")
}

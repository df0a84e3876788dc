//! Encoding of a slot's rows in the key-value service.

use prost::Message;

use crate::{
    pb,
    store::{Put, Revision, Row},
};

/// Finds and decodes the slot's head; with its revision.
pub(super) fn find_head(rows: &[Row], prefix: &str) -> Option<(pb::LedgerHead, Revision)> {
    let row = rows.iter().find(|row| row.key.strip_prefix(prefix) == Some("head"))?;
    Some((pb::LedgerHead::decode(&row.value[..]).ok()?, row.revision))
}

/// Encodes the head that makes `owner` the owner under the fencing token `fence`.
pub(super) fn head_put(prefix: &str, fence: u64, owner: &str, address: &str) -> Put {
    let head = pb::LedgerHead { fence, owner: owner.into(), address: address.into() };
    Put { key: format!("{prefix}head"), value: head.encode_to_vec(), lease: 0 }
}

/// Decodes a segment; the number is its place in the slot. `None` for a row that is not a segment.
pub(super) fn parse_segment(row: &Row, prefix: &str) -> Option<(u32, pb::LedgerSegment)> {
    let number = row.key.strip_prefix(prefix)?.strip_prefix("segment/")?.parse().ok()?;
    Some((number, pb::LedgerSegment::decode(&row.value[..]).ok()?))
}

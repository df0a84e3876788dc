//! Tests of the records that builds keep in the platform's store and of the hashes on which they must agree, against the last
//! landed form in `proto/landed/records.txt`.

use serde::{Serialize, de::DeserializeOwned};

use super::{
    configure::{Head, StoredFile},
    rollout_record::RolloutRecord,
    seeds::Seeds,
    term::UsageRecord,
    verdict_keeper::StoredCrash,
};
use crate::{
    ledger::{SLOTS, ledger_key},
    util::stable_hash,
};

const LANDED: &str = include_str!("../../../proto/landed/records.txt");

/// Reads a record and writes it again.
fn rewrite<R: Serialize + DeserializeOwned>(text: &str) -> Result<String, serde_json::Error> {
    serde_json::to_string(&serde_json::from_str::<R>(text)?)
}

fn rewrite_as(kind: &str, text: &str) -> Result<String, serde_json::Error> {
    match kind {
        "RolloutRecord" => rewrite::<RolloutRecord>(text),
        "UsageRecord" => rewrite::<UsageRecord>(text),
        "Seeds" => rewrite::<Seeds>(text),
        "StoredCrash" => rewrite::<StoredCrash>(text),
        "StoredFile" => rewrite::<StoredFile>(text),
        "Head" => rewrite::<Head>(text),
        _ => panic!("no type for {kind}"),
    }
}

fn landed() -> impl Iterator<Item = (&'static str, &'static str)> {
    LANDED.lines().filter(|line| !line.starts_with('#')).map(|line| line.split_once(' ').expect("a type and a text"))
}

/// The written record has each field that the landed one has, with the same value: a landed build can read it.
#[test]
fn record_of_landed_form_is_read_and_written() {
    for (kind, text) in landed() {
        let landed: serde_json::Map<String, serde_json::Value> = serde_json::from_str(text).expect("an object");
        let written: serde_json::Map<String, serde_json::Value> =
            serde_json::from_str(&rewrite_as(kind, text).expect(text)).expect("an object");
        for (name, value) in landed {
            assert_eq!(written.get(&name), Some(&value), "{name} of {kind}");
        }
    }
}

/// Guards against an older build that cannot read the record of a newer one.
#[test]
fn record_with_unknown_field_is_read() {
    for (kind, text) in landed() {
        let newer = text.replacen('{', "{\"added-later\":{\"a\":[1]},", 1);
        assert_eq!(rewrite_as(kind, &newer).expect(&newer), rewrite_as(kind, text).expect(text), "{kind}");
    }
}

/// Records of builds from before the evidence, the obstacle and the begin were added.
#[test]
fn record_without_later_fields_is_read() {
    let text = r#"{"version":"p1/v2","step":1,"outcome":null,"reason":"","at_ms":5,"holder":"daemon-1"}"#;
    let record: RolloutRecord = serde_json::from_str(text).expect("a record");
    assert_eq!((record.step, record.begun_ms, record.obstacle.as_str()), (1, 0, ""));
}

/// Guards against builds that disagree on the slots of keys, the owners of accounts or the equality of views.
#[test]
fn hash_of_landed_form_is_kept() {
    let key = ledger_key("account", "route", "key");
    let hex: String = key.iter().map(|byte| format!("{byte:02x}")).collect();
    assert_eq!(
        (format!("{:016x}", stable_hash(&[b"a", b"bc"])), hex.as_str(), SLOTS),
        ("b5e6634f54951bd2".to_owned(), "9f3dc7ac6394eb5820e655cf7797efeb", 8)
    );
}

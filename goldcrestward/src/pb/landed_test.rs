//! Tests of the bytes that builds exchange and store, against examples of the last landed form in `proto/landed/messages.txt`.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Debug,
};

use prost::Message;

use super::{
    compatibility_test::CURRENT,
    peer::{self as pb, answer, datagram, request},
    schema_test::Schema,
};

/// One encoding a line: its name and the bytes in hexadecimal digits.
const LANDED: &str = include_str!("../../../proto/landed/messages.txt");
/// Encoded field with a number that no message has: a string of two bytes.
const UNKNOWN_FIELD: [u8; 5] = [0xa2, 0x7d, 2, b'h', b'i'];

/// Whether the bytes are read as the message that the closure holds.
type Reader = Box<dyn Fn(&[u8]) -> bool>;

/// An example of an encoding.
struct Example {
    name: String,
    written: Vec<u8>,
    is_read: Reader,
}

fn example<M: Message + Default + PartialEq + Debug + 'static>(name: &str, message: M) -> Example {
    let written = message.encode_to_vec();
    let is_read = move |bytes: &[u8]| M::decode(bytes).is_ok_and(|read| read == message);
    Example { name: name.to_owned(), written, is_read: Box::new(is_read) }
}

fn example_datagram(name: &str, body: datagram::Body) -> Example {
    let datagram = pb::Datagram {
        from: "daemon-1".into(),
        address: "10.0.0.1:7000".into(),
        config_revision: 1 << 40 | 12,
        view: 99,
        members: vec![member()],
        facts: vec![fact(pb::FactKind::Crash)],
        body: Some(body),
        state_age_ms: None,
    };
    example(&format!("Datagram.{name}"), datagram)
}

fn example_request(name: &str, body: request::Body) -> Example {
    example(&format!("Request.{name}"), pb::Request { id: 3, body: Some(body) })
}

fn example_answer(name: &str, body: answer::Body) -> Example {
    example(&format!("Answer.{name}"), pb::Answer { id: 3, body: Some(body) })
}

fn member() -> pb::Member {
    pb::Member {
        name: "daemon-2".into(),
        address: "10.0.0.2:7000".into(),
        region: "north".into(),
        zone: "north-a".into(),
        incarnation: 1_700_000_000_000,
        state: pb::MemberState::Suspect.into(),
    }
}

fn fact(kind: pb::FactKind) -> pb::Fact {
    pb::Fact { kind: kind.into(), key: "key".into(), value: 5, until_ms: 1_700_000_600_000, note: "note".into() }
}

fn load() -> pb::ReplicaLoad {
    pb::ReplicaLoad { replica: 0x0123_4567_89ab_cdef, running: 2, reading_ms: 30 }
}

fn quota_use() -> pb::QuotaUse {
    pb::QuotaUse { account: "a1".into(), used: 1.5, asked: 2.5, used_before: 0.5 }
}

fn count() -> pb::AccountCount {
    pb::AccountCount { account: "a1".into(), count: 4 }
}

fn window() -> pb::WindowCounts {
    pb::WindowCounts { window: 7, counts: vec![count()] }
}

fn life() -> pb::LifeCounts {
    pb::LifeCounts { daemon: "daemon-1".into(), life: 8, windows: vec![window()] }
}

fn usage_table() -> pb::UsageTable {
    pb::UsageTable { lives: vec![life()], recorded: Some(window()), kept: Vec::new() }
}

fn hand_usage() -> pb::HandUsage {
    pb::HandUsage { from: "daemon-1".into(), table: Some(usage_table()) }
}

fn work() -> pb::PoolWork {
    pb::PoolWork { pool: "p1".into(), total_ms: 12.5, zone: "north-a".into() }
}

fn run_counts() -> pb::RunCounts {
    pb::RunCounts { route: "r1".into(), size: 8, counts: vec![3, 0, 1], longest_ms: 900 }
}

fn report() -> pb::Report {
    pb::Report {
        life: 8,
        unix_ms: 1_700_000_000_000,
        loads: vec![load()],
        quotas: vec![quota_use()],
        windows: vec![window()],
        works: vec![work()],
        holds_duties: true,
        runs: Vec::new(),
    }
}

fn zone_sum() -> pb::ZoneSum {
    pb::ZoneSum {
        life: 8,
        zone: "north-a".into(),
        daemons: 3,
        unix_ms: 1_700_000_000_000,
        period_ms: 300,
        clock_differences: vec![-4, 5],
        loads: vec![load()],
        quotas: vec![quota_use()],
        works: vec![work()],
        runs: Vec::new(),
    }
}

fn quota_level() -> pb::QuotaLevel {
    pb::QuotaLevel { account: "a1".into(), level: -1.5, counted: 2.5, reachable: 0.75 }
}

fn summary() -> pb::Summary {
    let (loads, quotas, works) = (vec![load()], vec![quota_level()], vec![work()]);
    pb::Summary { life: 8, agreed_ms: 1_700_000_000_000, loads, quotas, works, runs: Vec::new() }
}

fn config_file() -> pb::ConfigFile {
    pb::ConfigFile {
        name: "site".into(),
        revision: 1 << 40 | 12,
        text: Some(String::new()),
        origin: pb::FileOrigin::Kept.into(),
        first_seen: 11,
        reader: String::new(),
        read_ms: 0,
    }
}

fn config_delta() -> pb::ConfigDelta {
    pb::ConfigDelta { revision: 1 << 40 | 13, files: vec![config_file()], whole: true, next: None }
}

fn sync_view() -> pb::SyncView {
    pb::SyncView { members: vec![member()], facts: vec![fact(pb::FactKind::Leaving)] }
}

fn status_report() -> pb::StatusReport {
    pb::StatusReport { name: "daemon-1".into(), config_revision: 12, in_flight: 3, life: "running".into() }
}

fn claim() -> pb::Claim {
    pb::Claim { slot: 3, key: vec![1; 16], fingerprint: 9, request: "r1".into() }
}

fn outcome() -> pb::Outcome {
    pb::Outcome { status: 200, content_type: "text/plain".into(), body: b"body".to_vec(), body_omitted: true }
}

fn claim_answer() -> pb::ClaimAnswer {
    pb::ClaimAnswer { grant: pb::Grant::Done.into(), outcome: Some(outcome()) }
}

fn settle() -> pb::Settle {
    pb::Settle { slot: 3, key: vec![1; 16], ran: true, outcome: Some(outcome()), request: "r1".into() }
}

fn usage() -> pb::Usage {
    pb::Usage { account: "a1".into(), requests: 1.5, tokens: 2.5, concurrency: 3.5 }
}

fn evidence() -> pb::Evidence {
    let (version, route, zone) = ("v1".into(), "r1".into(), "north-a".into());
    pb::Evidence { version, route, good: 1, failed: 2, slow: 3, zone }
}

fn evidence_report() -> pb::EvidenceReport {
    pb::EvidenceReport { epoch: 8, evidence: vec![evidence()] }
}

fn quota_grant() -> pb::QuotaGrant {
    pb::QuotaGrant { decision: pb::QuotaDecision::Refused.into(), retry_ms: 250 }
}

fn open_tunnel() -> pb::OpenTunnel {
    let (instance, request, from) = ("i1".into(), "r1".into(), "daemon-1".into());
    pb::OpenTunnel { instance, run: 6, ends_within_ms: 4_000, request, from, at_most_ms: 0 }
}

fn tunnel_answer() -> pb::TunnelAnswer {
    pb::TunnelAnswer { result: pb::TunnelResult::CutOff.into() }
}

fn ledger_entry() -> pb::LedgerEntry {
    pb::LedgerEntry {
        key: vec![1; 16],
        fingerprint: 9,
        state: pb::EntryState::Done.into(),
        at: 1_700_000_000,
        request: "r1".into(),
        outcome: Some(outcome()),
    }
}

fn facts() -> impl Iterator<Item = Example> {
    (1..).map_while(|number| pb::FactKind::try_from(number).ok()).map(|kind| example(kind.as_str_name(), fact(kind)))
}

fn examples() -> Vec<Example> {
    let mut all = vec![
        example("Member", member()),
        example("Fact", fact(pb::FactKind::TakenBack)),
        example("Ping", pb::Ping { probe: 1 }),
        example("Ack", pb::Ack { probe: 1 }),
        example("Relay", pb::Relay { probe: 1, target: "daemon-2".into() }),
        example("Announce", pb::Announce {}),
        example("ReplicaLoad", load()),
        example("QuotaUse", quota_use()),
        example("AccountCount", count()),
        example("WindowCounts", window()),
        example("AskUsage", pb::AskUsage { from_window: 7 }),
        example("LifeCounts", life()),
        example("KeptSpan", pb::KeptSpan { zone: "north-a".into(), begun_ms: 900, ended_ms: 100 }),
        example("UsageTable", usage_table()),
        example("HandUsage", hand_usage()),
        example("UsageTaken", pb::UsageTaken { stopping: true }),
        example("PoolWork", work()),
        example("RunCounts", run_counts()),
        example("Report", report()),
        example("ZoneSum", zone_sum()),
        example("QuotaLevel", quota_level()),
        example("Summary", summary()),
        example_datagram("ping", datagram::Body::Ping(pb::Ping { probe: 1 })),
        example_datagram("ack", datagram::Body::Ack(pb::Ack { probe: 1 })),
        example_datagram("relay", datagram::Body::Relay(pb::Relay { probe: 1, target: "daemon-2".into() })),
        example_datagram("announce", datagram::Body::Announce(pb::Announce {})),
        example_datagram("report", datagram::Body::Report(report())),
        example_datagram("zone_sum", datagram::Body::ZoneSum(zone_sum())),
        example_datagram("summary", datagram::Body::Summary(summary())),
        example(
            "Sealed",
            pb::Sealed {
                from: "daemon-1".into(),
                epoch: 8,
                sequence: 2,
                sent_ms: 1_700_000_000_000,
                payload: b"payload".to_vec(),
                mac: vec![2; 16],
            },
        ),
        example("Hello", pb::Hello { from: "daemon-1".into(), nonce: vec![3; 16], proof: vec![4; 16] }),
        example("Frame", pb::Frame { payload: b"payload".to_vec(), mac: vec![2; 16] }),
        example("ConfigFile", config_file()),
        example("ConfigDelta", config_delta()),
        example("PullConfig", pb::PullConfig { from: 12, kept_only: true, after: None }),
        example("SyncView", sync_view()),
        example("AskStatus", pb::AskStatus {}),
        example("StatusReport", status_report()),
        example("Claim", claim()),
        example("Outcome", outcome()),
        example("ClaimAnswer", claim_answer()),
        example("Settle", settle()),
        example("Settled", pb::Settled { recorded: true }),
        example("Usage", usage()),
        example("ReportUsage", pb::ReportUsage { from: "daemon-1".into(), usage: vec![usage()] }),
        example("Shares", pb::Shares { shares: vec![usage()] }),
        example("Evidence", evidence()),
        example("AskEvidence", pb::AskEvidence { versions: vec!["v1".into()] }),
        example("EvidenceReport", evidence_report()),
        example("AskQuota", pb::AskQuota { account: "a1".into(), units: 1.5 }),
        example("QuotaGrant", quota_grant()),
        example("AskSend", pb::AskSend { run: 6, per_second: 2.5 }),
        example("OpenTunnel", open_tunnel()),
        example("TunnelAnswer", tunnel_answer()),
        example("LedgerEntry", ledger_entry()),
        example("LedgerSegment", pb::LedgerSegment { fence: 1 << 40 | 5, commit: 2, entries: vec![ledger_entry()] }),
        example(
            "LedgerHead",
            pb::LedgerHead { fence: 1 << 40 | 5, owner: "daemon-1".into(), address: "10.0.0.1:7000".into() },
        ),
    ];
    all.extend([
        example_request(
            "pull_config",
            request::Body::PullConfig(pb::PullConfig { from: 12, kept_only: true, after: None }),
        ),
        example_request("sync_view", request::Body::SyncView(sync_view())),
        example_request("ask_status", request::Body::AskStatus(pb::AskStatus {})),
        example_request("claim", request::Body::Claim(claim())),
        example_request("settle", request::Body::Settle(settle())),
        example_request(
            "report_usage",
            request::Body::ReportUsage(pb::ReportUsage { from: "daemon-1".into(), usage: vec![usage()] }),
        ),
        example_request("ask_evidence", request::Body::AskEvidence(pb::AskEvidence { versions: vec!["v1".into()] })),
        example_request("ask_usage", request::Body::AskUsage(pb::AskUsage { from_window: 7 })),
        example_request("ask_quota", request::Body::AskQuota(pb::AskQuota { account: "a1".into(), units: 1.5 })),
        example_request("ask_send", request::Body::AskSend(pb::AskSend { run: 6, per_second: 2.5 })),
        example_request("open_tunnel", request::Body::OpenTunnel(open_tunnel())),
        example_request("hand_usage", request::Body::HandUsage(hand_usage())),
        example_answer("config_delta", answer::Body::ConfigDelta(config_delta())),
        example_answer("sync_view", answer::Body::SyncView(sync_view())),
        example_answer("status_report", answer::Body::StatusReport(status_report())),
        example_answer("claim_answer", answer::Body::ClaimAnswer(claim_answer())),
        example_answer("settled", answer::Body::Settled(pb::Settled { recorded: true })),
        example_answer("shares", answer::Body::Shares(pb::Shares { shares: vec![usage()] })),
        example_answer("evidence_report", answer::Body::EvidenceReport(evidence_report())),
        example_answer("usage_table", answer::Body::UsageTable(usage_table())),
        example_answer("quota_grant", answer::Body::QuotaGrant(quota_grant())),
        example_answer("tunnel_answer", answer::Body::TunnelAnswer(tunnel_answer())),
        example_answer("usage_taken", answer::Body::UsageTaken(pb::UsageTaken { stopping: true })),
    ]);
    all.extend(facts());
    all
}

fn decode_hex(digits: &str) -> Vec<u8> {
    let byte = |at: usize| u8::from_str_radix(&digits[at..at + 2], 16).expect("hexadecimal digits");
    (0..digits.len()).step_by(2).map(byte).collect()
}

fn encode_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

#[test]
fn message_examples_cover_the_schema() {
    let schema = Schema::parse(CURRENT).expect("supported");
    let names: BTreeSet<String> = examples().into_iter().map(|example| example.name).collect();
    let missing: Vec<_> = schema.encodings().into_iter().filter(|name| !names.contains(name)).collect();
    assert!(missing.is_empty(), "no example of {missing:?}");
    // The first value stands for no kind.
    assert_eq!(facts().count() + 1, schema.value_count("FactKind"));
}

#[test]
fn message_of_landed_form_is_read_and_written() {
    let mut landed: BTreeMap<&str, Vec<u8>> = LANDED
        .lines()
        .filter(|line| !line.starts_with('#'))
        .map(|line| line.split_once(' ').unwrap_or((line, "")))
        .map(|(name, digits)| (name, decode_hex(digits)))
        .collect();
    let mut wrong = Vec::new();
    for Example { name, written, is_read } in examples() {
        match landed.remove(name.as_str()) {
            None => wrong.push(format!("not in the file:\n{name} {}", encode_hex(&written))),
            Some(bytes) if !is_read(&bytes) => wrong.push(format!("{name} is read differently")),
            Some(bytes) if bytes != written => wrong.push(format!("{name} is written as {}", encode_hex(&written))),
            Some(_) => {}
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
    assert!(landed.is_empty(), "no example of {:?}", landed.keys());
}

/// Guards against an older build that refuses what a newer one has added to a message.
#[test]
fn message_with_unknown_field_is_read() {
    for Example { name, written, is_read } in examples() {
        let newer = [&written[..], &UNKNOWN_FIELD].concat();
        assert!(is_read(&newer), "{name}");
    }
}

/// An unknown variant is read as a message without a body, and the rest of the message is kept.
#[test]
fn message_with_unknown_variant_is_read_without_body() {
    let datagram =
        pb::Datagram { from: "daemon-1".into(), facts: vec![fact(pb::FactKind::Step)], ..Default::default() };
    let newer = [datagram.encode_to_vec(), UNKNOWN_FIELD.to_vec()].concat();
    assert_eq!(pb::Datagram::decode(&newer[..]), Ok(datagram));
    let newer = [pb::Request { id: 4, body: None }.encode_to_vec(), UNKNOWN_FIELD.to_vec()].concat();
    assert_eq!(pb::Request::decode(&newer[..]), Ok(pb::Request { id: 4, body: None }));
    let newer = [pb::Answer { id: 4, body: None }.encode_to_vec(), UNKNOWN_FIELD.to_vec()].concat();
    assert_eq!(pb::Answer::decode(&newer[..]), Ok(pb::Answer { id: 4, body: None }));
}

/// Unknown values are read as the first value of the enum, which must be safe to act on.
#[test]
fn message_with_unknown_enum_value_is_read_as_the_first() {
    const UNKNOWN: i32 = 900;
    assert_eq!(pb::ClaimAnswer { grant: UNKNOWN, outcome: None }.grant(), pb::Grant::Unspecified);
    assert_eq!(pb::QuotaGrant { decision: UNKNOWN, retry_ms: 0 }.decision(), pb::QuotaDecision::Unspecified);
    assert_eq!(pb::TunnelAnswer { result: UNKNOWN }.result(), pb::TunnelResult::Unspecified);
    assert_eq!(pb::LedgerEntry { state: UNKNOWN, ..ledger_entry() }.state(), pb::EntryState::Open);
    // No value may be added to these.
    assert_eq!(pb::Member { state: UNKNOWN, ..member() }.state(), pb::MemberState::Alive);
    assert_eq!(pb::ConfigFile { origin: UNKNOWN, ..config_file() }.origin(), pb::FileOrigin::Written);
}

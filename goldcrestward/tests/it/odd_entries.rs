//! Single entries of other writers that cannot be read, in the instance list and in the key-value service.

use std::time::{Duration, Instant};

use serde_json::{Value, json};
use standin::{load::RequestOutcome, platform::PlatformFaults};
use tokio::time::sleep;

use crate::support::{CONFIG, KEY, TestDaemon, TestSite, eventually};

/// Time from a restart, or from a change, after which requests must be served.
const RECOVERY_LIMIT: Duration = Duration::from_secs(12);
/// Pause between two requests of a daemon that refuses them.
const REQUEST_PAUSE: Duration = Duration::from_millis(50);

/// Sends a lookup to a daemon and returns the response's status.
async fn look_up(site: &TestSite, daemon: usize, path: &str) -> u16 {
    let target = site.daemons[daemon].callers;
    let request = http::Request::get(path)
        .header("host", target.to_string())
        .header("authorization", format!("Bearer {KEY}"))
        .body(http_body_util::Full::<bytes::Bytes>::default())
        .expect("well formed");
    standin::http::send_request(target, request).await.map_or(0, |response| response.status().as_u16())
}

/// Waits until all daemons serve lookups.
async fn wait_served(site: &TestSite, path: &str, what: &str) {
    let deadline = Instant::now() + RECOVERY_LIMIT;
    for daemon in 0..site.daemons.len() {
        loop {
            let status = look_up(site, daemon, path).await;
            if status == 200 {
                break;
            }
            let log = || site.daemons[daemon].log();
            assert!(Instant::now() < deadline, "{what}: daemon {daemon} answers {status}:\n{}", log());
            sleep(REQUEST_PAUSE).await;
        }
    }
}

/// Kills all daemons and starts as many again.
async fn restart_all(site: &mut TestSite) {
    let count = site.daemons.len();
    site.daemons.iter_mut().for_each(|daemon| daemon.kill());
    site.daemons.clear();
    for number in 0..count {
        site.add_daemon(number, "north").await;
    }
}

fn odd_instances() -> [(&'static str, Value); 8] {
    let item = |id: Value, address: Value, state: Value| {
        json!({ "id": id, "address": address, "pool": "orders", "version": "orders-1", "zone": "north-a",
            "region": "north", "state": state })
    };
    [
        ("unknown state", item(json!("rack 7&a+b#c%20"), json!("127.0.0.1:9"), json!("suspended"))),
        ("no address", item(json!("rack 7"), json!("nowhere"), json!("live"))),
        ("port out of range", item(json!("rack 7"), json!("127.0.0.1:65536"), json!("live"))),
        ("only an id", json!({ "id": "rack 7" })),
        ("another type", item(json!(7), json!([]), json!({}))),
        ("null", Value::Null),
        ("a text", json!("rack 7")),
        ("no fields", json!({})),
    ]
}

/// Guards against RECOVER: a page of the instance list was decoded as a whole, so that one item that cannot be read left
/// daemons that had been restarted without any instance.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn restarted_daemons_serve_beside_one_odd_instance() {
    let mut site = TestSite::start(2, 0).await;
    for (what, item) in odd_instances() {
        site.platform.set_faults(PlatformFaults { list_items: vec![item], ..PlatformFaults::default() });
        restart_all(&mut site).await;
        wait_served(&site, "/orders/lookup", what).await;
        let daemon = &site.daemons[0];
        assert!(daemon.log().contains("event=entry-refused key=\"instances/"), "{what}:\n{}", daemon.log());
        assert!(daemon.counter("refused_entries_total", "").await >= 1.0, "{what}");
    }
}

/// Guards against LOST: daemons that ran learned of no later change of the instance list.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn running_daemons_use_instances_listed_beside_an_odd_one() {
    let mut site = TestSite::start(2, 0).await;
    let list_items = vec![Value::Null];
    site.platform.set_faults(PlatformFaults { list_items, ..PlatformFaults::default() });
    site.remove_services();
    site.add_service(7).await;
    wait_served(&site, "/orders/lookup", "a later instance").await;
}

/// An item that cannot be read names no instance to use, whatever the instance's item said before.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn instance_whose_item_turns_odd_is_not_used() {
    let site = TestSite::start(1, 0).await;
    let list_items = vec![json!({ "id": "orders-0", "state": "suspended" })];
    site.platform.set_faults(PlatformFaults { list_items, ..PlatformFaults::default() });
    let deadline = Instant::now() + RECOVERY_LIMIT;
    let listed = async || {
        let value = site.daemons[0].get("/admin/requests").await.expect("the daemon responds");
        let replicas = value["replicas"].as_array().expect("a list of replicas").clone();
        replicas.iter().map(|replica| replica["replica"].to_string()).collect::<Vec<_>>()
    };
    while listed().await != ["\"orders-1\""] {
        assert!(Instant::now() < deadline, "the daemon still uses {:?}", listed().await);
        sleep(REQUEST_PAUSE).await;
    }
    wait_served(&site, "/orders/lookup", "the other instance").await;
}

/// Rows of the key-value service that cannot be read; those with a key have that of a file of the configuration.
fn odd_rows() -> [(&'static str, Value); 7] {
    // `/goldcrestward/test/config/file/99 &+#%.yaml`
    const KEY: &str = "L2dvbGRjcmVzdHdhcmQvdGVzdC9jb25maWcvZmlsZS85OSAmKyMlLnlhbWw=";
    [
        ("no key", json!({ "value": "eA==", "mod_revision": "6" })),
        ("key and value of another type", json!({ "key": 7, "value": [], "mod_revision": "6" })),
        ("key that is no base64", json!({ "key": "rack 7&a+b#c%20", "value": "eA==", "mod_revision": "6" })),
        ("value of another type", json!({ "key": KEY, "value": 7, "mod_revision": "6" })),
        ("value that is no base64", json!({ "key": KEY, "value": "&+#%", "mod_revision": "6" })),
        ("revision of another type", json!({ "key": KEY, "value": "eA==", "mod_revision": {} })),
        ("null", Value::Null),
    ]
}

/// Guards against RECOVER: a range of the key-value service was decoded as a whole, so that one row that cannot be read left
/// daemons that had been restarted without a configuration.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn restarted_daemons_serve_beside_one_odd_row() {
    let mut site = TestSite::start(2, 0).await;
    for (number, (what, row)) in odd_rows().into_iter().enumerate() {
        site.platform.set_faults(PlatformFaults { range_items: vec![row], ..PlatformFaults::default() });
        restart_all(&mut site).await;
        wait_served(&site, "/orders/lookup", what).await;
        let (name, path) = (format!("{}-more.yaml", 20 + number), format!("/more-{number}/"));
        let text = format!("routes: {{ more-{number}: {{ pool: orders, prefix: {path}, lookup: true }} }}");
        let response = site.propose(1, &[(&name, Some(&text))]).await;
        assert_eq!(response["result"], "accepted", "{what}: {response}");
        wait_served(&site, &path, what).await;
        assert_eq!(site.confirm(0, &format!("key-{number}")).await, RequestOutcome::Complete, "{what}");
        let daemon = &site.daemons[0];
        assert!(daemon.log().contains("event=entry-refused key=\""), "{what}:\n{}", daemon.log());
        assert!(daemon.counter("refused_entries_total", "").await >= 1.0, "{what}");
    }
}

/// Guards against CONFIG: events of a watch that arrive with one that cannot be read.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn changes_are_in_force_beside_an_odd_event() {
    let site = TestSite::start(2, 0).await;
    for (number, (what, row)) in odd_rows().into_iter().enumerate() {
        let watch_events = vec![json!({ "kv": row })];
        site.platform.set_faults(PlatformFaults { watch_events, ..PlatformFaults::default() });
        let path = format!("/more-{number}/");
        let text = format!("routes: {{ more-{number}: {{ pool: orders, prefix: {path}, lookup: true }} }}");
        let response = site.propose(1, &[("20-more.yaml", Some(&text))]).await;
        assert_eq!(response["result"], "accepted", "{what}: {response}");
        wait_served(&site, &path, what).await;
    }
}

/// Guards against changes that conflicted for good with a write of another program under the configuration's keys.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn changes_are_accepted_after_a_write_of_another_program() {
    let site = TestSite::start(2, 0).await;
    let valid = json!({ "text": "zones: { north-b: { region: north } }" }).to_string();
    let writes = [("file/99 &+#%.yaml", valid.as_bytes()), ("rack 7&a+b#c%20", b"\xff"), ("head", b"\xff")];
    for (number, (key, value)) in writes.into_iter().enumerate() {
        site.platform.put_entry(&format!("/goldcrestward/test/config/{key}"), value);
        let path = format!("/more-{number}/");
        let text = format!("routes: {{ more-{number}: {{ pool: orders, prefix: {path}, lookup: true }} }}");
        let response = site.propose(1, &[("20-more.yaml", Some(&text))]).await;
        assert_eq!(response["result"], "accepted", "{key}: {response}");
        wait_served(&site, &path, key).await;
    }
    let log = site.daemons[1].log();
    assert!(log.contains("event=entry-refused key=\"/goldcrestward/test/config/head\""), "{log}");
}

/// Name of a file that another writer has written, not checked.
const ODD_FILE: &str = "99 &+#%.yaml";

fn stored_file(text: &str) -> Vec<u8> {
    json!({ "text": text }).to_string().into_bytes()
}

/// Guards against RECOVER: one file of the configuration that another writer had written and that is not valid left daemons
/// that had been restarted without a configuration.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn restarted_daemons_serve_beside_one_odd_file() {
    let key = format!("/goldcrestward/test/config/file/{ODD_FILE}");
    let other = "/goldcrestward/test/config/rack 7&a+b#c%20".to_owned();
    // Key, value, and whether the file has a line and changes are accepted beside it.
    let cases = [
        ("no yaml", &key, stored_file("routes: ["), true, true),
        ("unknown field", &key, stored_file("rootes: {}\n"), true, true),
        ("no json", &key, vec![0xff; 3], false, true),
        ("another key", &other, stored_file("routes: ["), false, true),
        ("route of another file", &key, stored_file("routes: { a: { pool: orders, prefix: /orders/ } }"), true, false),
    ];
    let mut site = TestSite::start(2, 0).await;
    for (number, (what, key, value, has_line, accepts)) in cases.into_iter().enumerate() {
        site.platform.put_entry(key, &value);
        restart_all(&mut site).await;
        wait_served(&site, "/orders/lookup", what).await;
        let log = site.daemons[0].log();
        assert_eq!(log.contains(&format!("event=config-file-refused file={ODD_FILE:?}")), has_line, "{what}:\n{log}");
        let path = format!("/more-{number}/");
        let text = format!("routes: {{ more-{number}: {{ pool: orders, prefix: {path}, lookup: true }} }}");
        let response = site.propose(1, &[("20-more.yaml", Some(&text))]).await;
        assert_eq!(response["result"], if accepts { "accepted" } else { "invalid" }, "{what}: {response}");
        if accepts {
            wait_served(&site, &path, what).await;
        } else {
            assert!(response.to_string().contains(ODD_FILE), "{response}");
        }
        let response = site.propose(0, &[(ODD_FILE, None)]).await;
        assert!(matches!(response["result"].as_str(), Some("accepted" | "unchanged")), "{what}: {response}");
    }
}

/// Daemons that run go on with the last content of a file that another writer has overwritten, until it is valid again.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn running_daemons_keep_the_last_content_of_an_overwritten_file() {
    let site = TestSite::start(2, 0).await;
    site.platform.put_entry("/goldcrestward/test/config/file/10-site.yaml", &stored_file("routes: ["));
    for daemon in &site.daemons {
        let has_line =
            || async { daemon.log().contains("event=config-file-refused file=\"10-site.yaml\"").then_some(()) };
        eventually("the file has a line", has_line).await;
    }
    wait_served(&site, "/orders/lookup", "an overwritten file").await;
    let text = format!("{CONFIG}  later: {{ pool: orders }}\n");
    let response = site.propose(0, &[("10-site.yaml", Some(&text))]).await;
    assert_eq!(response["result"], "accepted", "{response}");
    let revision = response["revision"].as_u64();
    for daemon in &site.daemons {
        let has_change = || async { (daemon.revision().await == revision).then_some(()) };
        eventually("the corrected file is in force", has_change).await;
    }
    wait_served(&site, "/orders/lookup", "the corrected file").await;
}

/// Guards against RECOVER: a row of another program among those of the ledger stopped its slot, so that the requests with
/// its keys were refused.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn restarted_daemons_run_keyed_requests_beside_odd_rows_of_the_ledger() {
    const SLOTS: usize = 8;
    let mut site = TestSite::start(2, 0).await;
    assert_eq!(site.confirm(0, "before").await, RequestOutcome::Complete);
    for (number, key) in ["rack 7&a+b#c%20", "segment/+1", "segment/00000099", "head"].into_iter().enumerate() {
        for slot in 0..SLOTS {
            site.platform.put_entry(&format!("/goldcrestward/test/ledger/{slot}/{key}"), b"\xff\xff");
        }
        restart_all(&mut site).await;
        wait_served(&site, "/orders/lookup", key).await;
        for request in 0..2 * SLOTS {
            let outcome = site.confirm(request % 2, &format!("{number}-{request}")).await;
            assert_eq!(outcome, RequestOutcome::Complete, "{key}: request {request}");
        }
        let logs: String = site.daemons.iter().map(TestDaemon::log).collect();
        let line = |slot: usize| format!("event=entry-refused key=\"/goldcrestward/test/ledger/{slot}/{key}\"");
        assert!((0..SLOTS).any(|slot| logs.contains(&line(slot))), "{key}: no line names the row:\n{logs}");
    }
    let executions = site.executions.lock();
    assert!(executions.values().all(|count| *count == 1), "executed twice: {executions:?}");
}

//! Tests of tracing a request through logs.

use super::RequestTrace;

const LOG: &str = concat!(
    "time=1020 level=INFO daemon=front-b event=refused id=r1 reason=overloaded run=not-run message=\"all \\\"busy\\\"\"\n",
    "   3.2 front-a time=1000 level=INFO daemon=front-a event=attempt-failed id=r1 instance=i-1 cause=cut sends=1 repeat=true\n",
    "not a line at all\n",
    "time=1001 level=INFO daemon=front-a event=placed id=r2 instance=i-1 pool=p waited_ms=0 first_ms=31\n",
    "time=1002 level=WARN daemon=front-a event=lines-dropped count=7\n",
    "time=1003 level=INFO daemon=front-a event=parts-accused id=r4 instance=i-1 parts=dead,aa of=2\n",
    "time=1004 level=INFO daemon=front-a event=parts-accused id=r5 instance=i-1 parts= of=1\n",
    "time=1004 level=INFO daemon=front-a event=parts-accused id=r8 instance=i-1 parts=dead of=2 request=true\n",
    "time=1005 level=INFO daemon=front-a event=relay-asked id=r6 instance=i-1 peer=front-c result=cut-off\n",
    "time=1006 level=INFO daemon=front-a event=relay-asked id=r6 instance=i-1 peer=front-b result=opened\n",
    "time=1007 level=INFO daemon=front-a event=relayed id=r6 instance=i-1\n",
    "time=2000 level=INFO daemon=front-c event=stopping daemon=front-c carried=4\n",
    "time=2001 level=INFO daemon=front-d event=stopping daemon=front-d carried=0\n",
    "time=2002 level=INFO daemon=front-a event=relay-asked id=r7 instance=i-1 peer=front-c result=opened\n",
    "time=2500 level=INFO daemon=front-a event=server-given-up id=r7 instance=i-0 silent_ms=700 to=i-1\n",
    "time=2600 level=INFO daemon=front-a event=response-dropped id=r7 instance=i-1 status=503 owner=other first=false\n",
    "time=9000 level=WARN daemon=front-c event=carried-cut daemon=front-c count=1\n",
    "time=9001 level=INFO daemon=front-a event=stream-broken id=r7 instance=i-1 via=front-c cause=cut last=Some(4) left_ms=9 resume=false\n",
    "\n",
    "time=x level=INFO daemon=front-a event=odd id=r1\n",
);

fn render(id: &str) -> String {
    render_log(LOG, id)
}

fn render_log(log: &str, id: &str) -> String {
    let mut trace = RequestTrace::default();
    trace.read(log.as_bytes(), id).expect("a log in memory");
    trace.render(id)
}

#[test]
fn explain_orders_lines_of_all_daemons_by_time() {
    let text = render("r1");
    let lines: Vec<&str> = text.lines().collect();
    assert!(
        lines[0].contains("front-a") && lines[0].contains("the connection broke; retried on another server"),
        "{text}"
    );
    assert!(lines[1].contains("front-b") && lines[1].contains("refused, it has not run: all \"busy\""), "{text}");
    assert!(text.contains("dropped 7 lines") && text.contains("2 lines could not be read"), "{text}");
}

#[test]
fn explain_reports_an_unknown_request() {
    assert!(render("r3").starts_with("no log line mentions request r3"));
}

#[test]
fn explain_names_accused_prompt_parts() {
    assert!(render("r4").contains("accused of the crash of i-1: 2 of 2 prompt parts (dead,aa)"), "{}", render("r4"));
    assert!(render("r5").contains("accused of the crash of i-1: 0 of 1 prompt parts ()"), "{}", render("r5"));
    let whole = "accused of the crash of i-1: the request as a whole and 1 of 2 prompt parts (dead)";
    assert!(render("r8").contains(whole), "{}", render("r8"));
}

#[test]
fn explain_shows_the_way_over_a_peer() {
    let text = render("r6");
    let lines: Vec<&str> = text.lines().collect();
    assert!(lines[0].contains("front-c was asked to open a connection to i-1: the peer does not reach"), "{text}");
    assert!(lines[1].contains("front-b was asked to open a connection to i-1: it did"), "{text}");
    assert!(lines[2].contains("sent to i-1 by way of a peer"), "{text}");
}

#[test]
fn explain_shows_the_stop_of_the_peer_that_carried_the_request() {
    let text = render("r7");
    let lines: Vec<&str> = text.lines().collect();
    assert!(lines[0].contains("front-c") && lines[0].contains("is being stopped; it carries 4 connections"), "{text}");
    assert!(lines[2].contains("i-0 had been silent for 700 ms; the request goes on at i-1"), "{text}");
    assert!(
        lines[3].contains("a response of i-1 with status 503 was dropped, as it bears another request's id"),
        "{text}"
    );
    assert!(lines[4].contains("front-c") && lines[4].contains("ended while it carried 1 connections"), "{text}");
    assert!(lines[5].contains("the stream from i-1 by way of front-c ended early after event Some(4)"), "{text}");
    assert!(!text.contains("front-d"), "{text}");
}

#[test]
fn explain_describes_each_effect_of_a_stop() {
    let cases = [
        (
            "stop-refused id=r1 route=lunch needed_ms=900 left_ms=400 phase=body",
            "refused by the stop of its daemon while its body was read: it needs 900 ms, and the daemon ends in 400 ms",
        ),
        (
            "stop-refused id=r1 route=lunch needed_ms=9 left_ms=4 phase=place",
            "before a server was chosen: it needs 9 ms",
        ),
        (
            "stop-refused id=r1 route=lunch needed_ms=9 left_ms=4000 phase=body by=unbounded",
            "refused by the stop of its daemon while its body was read: nothing bounds how long it takes, and the daemon ends in 4000 ms",
        ),
        ("stop-refused id=r1 route=lunch needed_ms=9 left_ms=4 phase=send", "before it was sent to a server: "),
        (
            "stop-refused id=r1 route=lunch needed_ms=9 left_ms=4 phase=claim",
            "before its idempotency key was claimed: ",
        ),
        (
            "stop-refused id=r1 route=- needed_ms=0 left_ms=- phase=arrival",
            "refused by the stop of its daemon, which took no more requests when it came",
        ),
        (
            "stop-taken id=r1 route=lunch since_ms=3100 needed_ms=900 left_ms=4400 by=longest runs=12",
            "sent to a server 3100 ms after the stop of its daemon had begun, 4400 ms before the daemon's end: it was expected to need 900 ms, the longest of 12 recent runs and a reserve",
        ),
        (
            "stop-taken id=r1 route=lunch since_ms=90 needed_ms=20 left_ms=80 by=usual runs=40",
            "need 20 ms, as nine in ten of 40 recent runs",
        ),
        ("stop-taken id=r1 route=lunch since_ms=9 needed_ms=8 left_ms=9 by=deadline runs=0", ", its deadline"),
        ("stop-taken id=r1 route=lunch since_ms=9 needed_ms=8 left_ms=9 by=assumed runs=0", ", as no run is known"),
        (
            "stop-given-up id=r1 route=lunch run=not-run left_ms=80",
            "given up at the end of its daemon, 80 ms before its own deadline; it has not run",
        ),
        ("stop-given-up id=r1 route=lunch run=may-have-run left_ms=80", "before its own deadline; it may have run"),
        (
            "caller-closed id=r1 reason=idle idle_ms=700 limit_ms=200 answer_limit_ms=900 buffered=0 unread=80 others=0",
            "its connection was closed as it was idle, after 700 ms without a request; limit 200 ms now, 900 ms at the last answer; 0 bytes of the request were read and 80 or more were not",
        ),
        (
            "unanswered id=r1 cause=caller-closed status=- sent=0 ms=401 why=\"closed\" others=0",
            "got no answer, 401 ms after its head was read: its caller closed the connection before (closed)",
        ),
        (
            "unanswered id=r1 cause=server status=200 sent=76 ms=41 why=\"the stream broke off: cut\" others=0",
            "got no whole answer (status 200, 76 bytes of the body were sent), 41 ms after its head was read: the server sent only part of the answer (the stream broke off: cut)",
        ),
        (
            "stop-cut id=r1 route=lunch bytes=700 left_ms=80",
            "the answer was cut off by the end of its daemon, after 700 bytes",
        ),
        ("carried-begun id=r1 peer=front-b instance=i-1", "carries a connection to i-1 for front-b\n"),
        (
            "carried-ended id=r1 peer=front-b instance=i-1 end=server ms=70 to_server=400 to_peer=9000",
            "the connection to i-1 that it carried for front-b was closed by the server after 70 ms, 400 bytes to the server and 9000 to the peer",
        ),
        (
            "carried-ended id=r1 peer=front-b instance=i-1 end=peer ms=7",
            "for front-b was closed by the peer after 7 ms",
        ),
        ("carried-ended id=r1 peer=front-b instance=i-1 end=stop ms=7", "was cut by the end of this daemon after 7 ms"),
        (
            "carried-ended id=r1 peer=front-b instance=i-1 end=withdrawn ms=7",
            "was closed while idle, as the server is leaving, after 7 ms",
        ),
        (
            "carried-ended id=r1 peer=front-b instance=i-1 end=server-error ms=7",
            "broke between this daemon and the server",
        ),
        ("carried-ended id=r1 peer=front-b instance=i-1 end=peer-error ms=7", "broke between this daemon and the peer"),
    ];
    for (line, expected) in cases {
        let text = render_log(&format!("time=1000 level=INFO daemon=front-a event={line}\n"), "r1");
        assert!(text.contains(expected), "{line}: {text}");
    }
}

#[test]
fn explain_shows_the_stop_of_the_daemon_that_ended_the_request() {
    const LINE: &str = "time=2000 level=INFO daemon=front-a event=stop-cut id=r1 route=lunch bytes=700 left_ms=80\n";
    let cases = [
        (1_500, "stopping daemon=front-a ends_in_ms=2200", "is being stopped; it ends in 2200 ms at the latest\n"),
        (1_500, "stopping daemon=front-a ends_in_ms=2200 carried=3", "; it carries 3 connections for peers\n"),
        (1_500, "stopping daemon=front-a ends_in_ms=-", "is being stopped; its end has no time limit\n"),
        (1_500, "stopping daemon=front-a ends_in_ms=18446744073709551615", "its end has no time limit\n"),
        (
            2_100,
            "stopped daemon=front-a whole=false refused=2 given_up=1 cut=4",
            "has stopped, before all had ended; its stop refused 2 requests, gave up 1 and cut 4\n",
        ),
        (2_100, "stopped daemon=front-a whole=true", "has stopped, with nothing left\n"),
        // The end of a stop may come long after the request's.
        (30_000, "stopped daemon=front-a whole=true", "has stopped, with nothing left\n"),
    ];
    for (time, line, expected) in cases {
        let begin = "time=1400 level=INFO daemon=front-a event=stopping daemon=front-a ends_in_ms=2300\n";
        let log = format!("{LINE}{begin}time={time} level=INFO daemon=front-a event={line}\n");
        let text = render_log(&log, "r1");
        assert!(text.contains(expected) && text.contains("front-a"), "{line}: {text}");
        let other = render_log(&log.replace("daemon=front-a event=stop-cut", "daemon=front-b event=stop-cut"), "r1");
        assert!(!other.contains("front-a"), "the stop of another daemon is shown: {other}");
    }
}

#[test]
fn explain_shows_only_a_stop_that_is_under_way() {
    let cases = [
        // The end of the carrier may come before the line that says what it broke.
        (&[(400_000, "stopping"), (599_900, "stopped")][..], &["is being stopped", "has stopped"][..]),
        (&[(1_000, "stopping")], &["is being stopped"]),
        (&[(400_000, "stopping"), (598_000, "stopped")], &[]),
        (&[(400_000, "stopping"), (598_000, "started")], &[]),
        (&[(400_000, "stopping"), (500_000, "started"), (599_000, "stopping")], &["is being stopped"]),
        (&[(400_000, "stopping"), (600_500, "started"), (600_600, "stopped")], &["is being stopped"]),
        (&[(400_000, "stopping"), (640_000, "stopped")], &["is being stopped"]),
        (&[(599_900, "stopped")], &[]),
        (&[(601_001, "stopping"), (601_002, "stopped")], &[]),
    ];
    for (lines, expected) in cases {
        let mut log =
            "time=600000 level=INFO daemon=front-a event=stop-cut id=r1 route=lunch bytes=700 left_ms=80\n".to_owned();
        for (time, event) in lines {
            log.push_str(&format!("time={time} level=INFO daemon=front-a event={event} daemon=front-a whole=true\n"));
        }
        let text = render_log(&log, "r1");
        let shown: Vec<&str> = text.lines().filter(|line| line.contains("stopped")).collect();
        assert_eq!(shown.len(), expected.len(), "{lines:?}: {text}");
        assert!(shown.iter().zip(expected).all(|(line, part)| line.contains(part)), "{lines:?}: {text}");
    }
}

/// A connection is kept for further requests, so the carrier may name another request than the one that was lost with it.
#[test]
fn explain_shows_the_broken_connection_of_a_carrier() {
    const REQUEST: &str = concat!(
        "time=2000 level=INFO daemon=front-a event=relayed id=r1 instance=i-1 peer=front-c\n",
        "time=3000 level=INFO daemon=front-a event=stream-broken id=r1 instance=i-1 via=front-c cause=cut last=Some(4) resume=false\n",
        "time=2900 level=INFO daemon=front-c event=stopping daemon=front-c ends_in_ms=100\n",
    );
    let cases = [
        ("front-c", "time=2990", "id=r0 peer=front-a instance=i-1 end=stop", Some(" (opened for request r0) was cut")),
        (
            "front-c",
            "time=2990",
            "id=- peer=front-a instance=i-1 end=stop",
            Some(" (opened for a request that the peer"),
        ),
        ("front-c", "time=2990", "id=r1 peer=front-a instance=i-1 end=stop", Some("for front-a was cut by the end")),
        ("front-c", "time=2990", "id=r0 peer=front-a instance=i-1 end=server-error", Some("broke between this daemon")),
        ("front-c", "time=2990", "id=r0 peer=front-a instance=i-1 end=peer", None),
        ("front-c", "time=2990", "id=r0 peer=front-a instance=i-2 end=stop", None),
        ("front-c", "time=2990", "id=r0 peer=front-b instance=i-1 end=stop", None),
        ("front-d", "time=2990", "id=r0 peer=front-a instance=i-1 end=stop", None),
        ("front-c", "time=999", "id=r0 peer=front-a instance=i-1 end=server-error", None),
        ("front-c", "time=4001", "id=r0 peer=front-a instance=i-1 end=stop", None),
    ];
    for (daemon, time, line, expected) in cases {
        let log = format!("{REQUEST}{time} level=INFO daemon={daemon} event=carried-ended {line} ms=7\n");
        let text = render_log(&log, "r1");
        match expected {
            Some(expected) => assert!(text.contains(expected), "{daemon} {time} {line}: {text}"),
            None => assert!(!text.contains("that it carried for"), "{daemon} {time} {line}: {text}"),
        }
        assert!(text.contains("is being stopped; it ends in 100 ms at the latest"), "{text}");
    }
}

#[test]
fn explain_tells_which_limit_a_response_did_not_fit_in() {
    let cases = [
        (
            "kind=body bytes=8388609 limit=response",
            "the body of the response of i-1 was too long to be kept, with 8388609 bytes: more than",
        ),
        ("kind=error-body bytes=70000 limit=server", "the body of an error response of i-1"),
        ("kind=event bytes=70000 limit=daemon", "the responses of all servers had used up the memory"),
    ];
    for (fields, expected) in cases {
        let log = format!(
            "time=1000 level=WARN daemon=front-a event=response-too-long id=r1 instance=i-1 {fields} others=3\n\
             time=1001 level=INFO daemon=front-a event=attempt-failed id=r1 instance=i-1 cause=too-long repeat=false\n"
        );
        let text = render_log(&log, "r1");
        assert!(text.contains(expected), "{fields}: {text}");
        assert!(text.contains("no usable response: it was too long to be kept; not retried"), "{text}");
    }
}

#[test]
fn explain_tells_why_an_answer_broke_off() {
    let cases = [
        ("body-silent id=r1 route=lunch instance=i-1 bytes=700", "i-1 fell silent after 700 bytes of the answer"),
        ("answer-unread id=r1 instance=i-1 bytes=9000 sent=70", "the caller had read about 70 of 9000 bytes"),
        (
            "held-answer-passed id=r1 instance=i-1 status=500 why=overloaded",
            "got the error of i-1 with status 500, as no repeat was answered: overloaded",
        ),
        (
            "held-answer-lost id=r1 instance=i-1 status=500 why=cut",
            "given up for want of memory, and no repeat was answered: the connection broke",
        ),
    ];
    for (line, expected) in cases {
        let text = render_log(&format!("time=1000 level=INFO daemon=front-a event={line}\n"), "r1");
        assert!(text.contains(expected), "{line}: {text}");
    }
}

#[test]
fn explain_names_both_versions_of_a_refused_request() {
    let log = "time=1 level=INFO daemon=front-a event=refused id=r1 reason=unauthenticated run=not-run config=9 admitted=7 message=\"no key\"\n\
               time=1 level=INFO daemon=front-a event=refused id=r2 reason=unauthenticated run=not-run config=9 admitted=9 message=\"no key\"\n\
               time=1 level=INFO daemon=front-a event=refused id=r3 reason=unauthenticated run=not-run config=9 admitted=- message=\"no key\"\n";
    let text = render_log(log, "r1");
    assert!(text.contains("admitted by version 7 of the configuration, refused under version 9"), "{text}");
    for id in ["r2", "r3"] {
        let text = render_log(log, id);
        assert!(text.contains("refused, it has not run: no key (unauthenticated)\n"), "{text}");
    }
}

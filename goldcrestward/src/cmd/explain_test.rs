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
    let mut trace = RequestTrace::default();
    trace.read(LOG.as_bytes(), id).expect("a log in memory");
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

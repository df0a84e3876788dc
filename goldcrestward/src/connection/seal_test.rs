//! Tests of sealed datagrams.

use super::seal::{DatagramSealer, Rejection, Secrets};

const TO: &str = "10.0.0.1:8082";

fn secrets(texts: &[&str]) -> Secrets {
    Secrets::new(&texts.iter().map(ToString::to_string).collect::<Vec<_>>())
}

fn seal(name: &str, epoch: u64, texts: &[&str]) -> DatagramSealer {
    DatagramSealer::new(name.into(), epoch, secrets(texts))
}

#[test]
fn open_accepts_a_datagram_once() {
    let (sender, receiver) = (seal("a", 5, &["one"]), seal("b", 5, &["one"]));
    let bytes = sender.seal(TO, b"payload".to_vec());
    assert_eq!(receiver.open(TO, &bytes), Ok(b"payload".to_vec()));
    assert_eq!(receiver.open(TO, &bytes), Err(Rejection::Replayed));
}

#[test]
fn open_rejects_invalid_datagrams() {
    let receiver = seal("b", 5, &["one"]);
    let sealed = |text: &str, to: &str| seal("a", 5, &[text]).seal(to, b"payload".to_vec());
    let mut altered = sealed("one", TO);
    let middle = altered.len() / 2;
    altered[middle] ^= 1;
    let cases = [
        ("another secret", sealed("two", TO), Rejection::Unauthenticated),
        ("another address", sealed("one", "10.0.0.2:8082"), Rejection::Unauthenticated),
        ("no message", vec![0xff; 40], Rejection::Malformed),
    ];
    for (name, bytes, rejection) in cases {
        assert_eq!(receiver.open(TO, &bytes), Err(rejection), "{name}");
    }
    assert!(receiver.open(TO, &altered).is_err(), "an altered datagram passed");
}

#[test]
fn open_accepts_out_of_order_within_the_window() {
    let (sender, receiver) = (seal("a", 5, &["one"]), seal("b", 5, &["one"]));
    let datagrams: Vec<_> = (0..100_u8).map(|n| sender.seal(TO, vec![n])).collect();
    assert!(receiver.open(TO, &datagrams[70]).is_ok());
    assert!(receiver.open(TO, &datagrams[69]).is_ok());
    assert!(receiver.open(TO, &datagrams[8]).is_ok());
    assert_eq!(receiver.open(TO, &datagrams[5]), Err(Rejection::Replayed), "older than the window");
    assert_eq!(receiver.open(TO, &datagrams[69]), Err(Rejection::Replayed));
}

#[test]
fn open_rejects_an_earlier_process_of_a_sender() {
    let receiver = seal("b", 5, &["one"]);
    let (old, new) = (seal("a", 5, &["one"]), seal("a", 6, &["one"]));
    let (before, late) = (old.seal(TO, vec![1]), old.seal(TO, vec![2]));
    assert!(receiver.open(TO, &before).is_ok());
    assert!(receiver.open(TO, &new.seal(TO, vec![3])).is_ok());
    assert_eq!(receiver.open(TO, &late), Err(Rejection::Replayed));
}

#[test]
fn rotating_secrets_rejects_no_datagram() {
    let (first, second) = (seal("a", 5, &["one"]), seal("b", 5, &["one", "two"]));
    assert!(second.open(TO, &first.seal(TO, vec![1])).is_ok());
    let first = seal("a", 6, &["two", "one"]);
    assert!(second.open(TO, &first.seal(TO, vec![2])).is_ok());
    assert!(first.open(TO, &second.seal(TO, vec![3])).is_ok());
}

//! The queue of events for slow callers.

use bytes::Bytes;
use futures_util::FutureExt as _;
use limpetkeeld::relay::{
    body::StreamBroken,
    event_queue::{self, Error, Receiver},
    memory::Memory,
};

/// Returns the memory of a small instance.
fn memory() -> Memory {
    Memory::new(limpetkeel::Bytes(112 << 20))
}

/// Receives the next event; `None` at the end of a complete stream.
async fn receive(rx: &mut Receiver) -> Option<Result<Bytes, StreamBroken>> {
    let frame = std::future::poll_fn(|cx| rx.poll_frame(cx)).await?;
    Some(frame.map(|frame| frame.into_data().expect("data")))
}

/// Sends events of a size until the queue has no space, and returns their number.
fn fill(tx: &event_queue::Sender, len: usize) -> usize {
    let mut sent = 0;
    let event = Bytes::from(vec![b'a'; len]);
    while let Some(result) = tx.send(event.clone()).now_or_never() {
        assert_eq!(result, Ok(()));
        sent += 1;
    }
    sent
}

/// Guards against a queue that is bounded in events only, each of which may take 1 MiB.
#[tokio::test]
async fn the_queue_is_bounded_in_bytes() {
    for (len, expected) in [(1 << 20, 1), (16 * 1024, 4), (100, 16)] {
        let (tx, mut rx) = event_queue::channel(&memory());
        assert_eq!(fill(&tx, len), expected, "events of {len} bytes");
        let event = receive(&mut rx).await.expect("event").expect("event");
        assert_eq!(event.len(), len);
    }
}

/// Guards against an event that no longer counts while it waits in the buffer of the connection.
#[tokio::test]
async fn an_event_takes_up_space_until_it_is_dropped() {
    let (tx, mut rx) = event_queue::channel(&memory());
    assert_eq!(fill(&tx, 64 * 1024), 1);
    let event = receive(&mut rx).await;
    assert_eq!(fill(&tx, 64 * 1024), 0);
    drop(event);
    assert_eq!(fill(&tx, 64 * 1024), 1);
}

/// Guards against a stream that looks complete because its sender was dropped.
#[tokio::test]
async fn a_stream_is_complete_only_if_its_sender_says_so() {
    let (tx, mut rx) = event_queue::channel(&memory());
    tx.send(Bytes::from_static(b"a")).await.expect("space");
    tx.complete().await;
    assert_eq!(receive(&mut rx).await, Some(Ok(Bytes::from_static(b"a"))));
    assert_eq!(receive(&mut rx).await, None);
    let (tx, mut rx) = event_queue::channel(&memory());
    tx.send(Bytes::from_static(b"a")).await.expect("space");
    drop(tx);
    assert_eq!(receive(&mut rx).await, Some(Ok(Bytes::from_static(b"a"))));
    assert_eq!(receive(&mut rx).await, Some(Err(StreamBroken)));
    assert_eq!(receive(&mut rx).await, None);
}

/// Guards against a sender that waits for space after its caller has disconnected.
#[tokio::test]
async fn a_sender_that_waits_learns_that_the_caller_disconnected() {
    let (tx, rx) = event_queue::channel(&memory());
    let event = Bytes::from(vec![b'a'; 64 * 1024]);
    tx.send(event.clone()).await.expect("space");
    let waiting = tx.send(event);
    tokio::pin!(waiting);
    assert_eq!(waiting.as_mut().now_or_never(), None);
    drop(rx);
    assert_eq!(waiting.await, Err(Error::Closed));
}

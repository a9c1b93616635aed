//! Splitting of a byte stream into events.

use limpetkeel::{Bytes, MAX_EVENT, ResponseLimit};
use limpetkeeld::relay::{events::EventBuffer, memory::Memory};

/// The memory of a small instance.
const MEMORY_LIMIT: Bytes = Bytes(112 << 20);

/// Guards against an end of an event that is missed because its two bytes arrive separately.
#[test]
fn an_end_that_is_split_between_pieces_is_found() {
    let text = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    for piece_len in 1..=text.len() {
        let mut buffer = EventBuffer::new(&Memory::new(MEMORY_LIMIT));
        let mut ids = Vec::new();
        for piece in text.chunks(piece_len) {
            buffer.push(piece).expect("memory");
            while let Some(event) = buffer.next_event().expect("event") {
                assert!(event.bytes.ends_with(b"\n\n"));
                ids.push(event.id);
            }
        }
        assert_eq!(ids, [Some(1), Some(2)], "pieces of {piece_len} bytes");
        assert!(buffer.is_empty());
    }
}

/// Guards against a search that starts from the beginning for each piece, which takes hours for an
/// event of the maximum size in single bytes.
#[test]
fn an_event_of_the_maximum_size_may_arrive_in_single_bytes() {
    let mut buffer = EventBuffer::new(&Memory::new(MEMORY_LIMIT));
    for _ in 0..MAX_EVENT.0 {
        buffer.push(b"a").expect("memory");
        assert_eq!(buffer.next_event(), Ok(None));
    }
    buffer.push(b"a").expect("memory");
    assert_eq!(buffer.next_event(), Err(ResponseLimit::Event));
}

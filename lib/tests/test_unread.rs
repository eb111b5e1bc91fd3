//! Tests of chunks of responses that callers have not read yet.
//!
//! Load: callers that read slowly, or nothing at all, while engines write on.

use std::{
    pin::pin,
    task::{Context, Poll, Waker},
};

use mothvale_lib::unread::{Budget, Closed, Receiver, Sender};

/// Chunks that a response may have unread without a budget.
const OWN_CHUNKS: usize = 32;
/// Bytes of a chunk here.
const CHUNK: usize = 900;

/// Returns what a future has now.
fn poll<F>(future: std::pin::Pin<&mut F>) -> Poll<F::Output>
where
    F: Future,
{
    future.poll(&mut Context::from_waker(Waker::noop()))
}

/// Writes a chunk if there is room for it now.
fn write(sender: &Sender<usize>, chunk: usize) -> Poll<Result<(), Closed>> {
    poll(pin!(sender.send(chunk, CHUNK)))
}

/// Writes chunks until there is no room, and returns how many were written.
fn fill(sender: &Sender<usize>) -> usize {
    (0..).take_while(|chunk| write(sender, *chunk).is_ready()).count()
}

/// Reads a chunk if there is one now.
fn read(receiver: &mut Receiver<usize>) -> Option<usize> {
    match poll(pin!(receiver.recv())) {
        Poll::Ready(chunk) => chunk,
        Poll::Pending => None,
    }
}

#[test]
fn without_memory_each_response_has_its_own_chunks_only() {
    let budget = Budget::new(0);
    let (first, _first_caller) = budget.channel();
    let (second, _second_caller) = budget.channel();
    assert_eq!((fill(&first), fill(&second)), (OWN_CHUNKS, OWN_CHUNKS));
    assert_eq!(budget.used(), 0);
}

#[test]
fn caller_that_reads_nothing_does_not_hold_up_the_upstream_while_there_is_room() {
    let budget = Budget::new(160 << 20);
    let (sender, mut caller) = budget.channel();
    for chunk in 0..200 {
        assert_eq!(write(&sender, chunk), Poll::Ready(Ok(())));
    }
    let used = budget.used();
    assert!(used >= 168 * CHUNK, "{used}");
    // The upstream is done; the caller reads all of it, in order, and then the end.
    drop(sender);
    for chunk in 0..200 {
        assert_eq!(read(&mut caller), Some(chunk));
    }
    assert_eq!(read(&mut caller), None);
    assert_eq!(budget.used(), 0);
}

#[test]
fn callers_that_read_nothing_share_the_budget_and_leave_the_others_their_chunks() {
    let budget = Budget::new(16 << 20);
    let slow: Vec<_> = (0..40).map(|_| budget.channel()).collect();
    let written: Vec<_> = slow.iter().map(|(sender, _)| fill(sender)).collect();
    assert!(written.iter().all(|it| *it >= OWN_CHUNKS), "{written:?}");
    assert!(budget.used() <= 1 << 20, "{}", budget.used());
    // No response takes the whole budget.
    assert!(written[1] > OWN_CHUNKS, "{written:?}");
    let (sender, mut caller) = budget.channel();
    for chunk in 0..1000 {
        assert_eq!(write(&sender, chunk), Poll::Ready(Ok(())));
        assert_eq!(read(&mut caller), Some(chunk));
    }
}

#[test]
fn write_goes_on_as_soon_as_the_caller_reads() {
    let budget = Budget::new(0);
    let (sender, mut caller) = budget.channel();
    let written = fill(&sender);
    let mut waiting = pin!(sender.send(written, CHUNK));
    assert!(poll(waiting.as_mut()).is_pending());
    assert_eq!(read(&mut caller), Some(0));
    assert_eq!(poll(waiting), Poll::Ready(Ok(())));
}

#[test]
fn caller_that_leaves_ends_the_wait_and_frees_what_it_has_not_read() {
    let budget = Budget::new(16 << 20);
    let (sender, caller) = budget.channel();
    let written = fill(&sender);
    assert!(budget.used() > 0);
    let mut waiting = pin!(sender.send(written, CHUNK));
    let mut closed = pin!(sender.closed());
    assert!(poll(waiting.as_mut()).is_pending());
    assert!(poll(closed.as_mut()).is_pending());
    drop(caller);
    assert_eq!(poll(closed), Poll::Ready(()));
    assert_eq!(poll(waiting), Poll::Ready(Err(Closed)));
    assert_eq!(budget.used(), 0);
}

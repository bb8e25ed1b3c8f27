//! Reads bodies that may come slowly, on threads of their own, so that a slow caller never holds a
//! worker. The HTTP library has no time limit for reading.

use crate::http::work::{Counted, EdgeHandler, Queues, Task};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

/// Most bodies that are read at one time, each on a thread; beyond that they are refused as
/// overload.
const MAX_READERS: usize = 256;

/// Threads that read bodies; each lives as long as its body comes.
pub(super) struct BodyReaders {
    limit: u64,
    handler: Arc<dyn EdgeHandler>,
    reading: Arc<AtomicUsize>,
}

impl BodyReaders {
    /// Readers of bodies of `limit` bytes at most.
    pub(super) fn new(limit: u64, handler: &Arc<dyn EdgeHandler>) -> Self {
        Self {
            limit,
            handler: Arc::clone(handler),
            reading: Arc::new(AtomicUsize::new(0)),
        }
    }

    /// Reads the body of a request, then hands it to its workers. What is wrong with a body is
    /// answered by the reader itself: letting such a request go waits for the rest of its body.
    pub(super) fn read(&self, mut counted: Counted, queues: &Arc<Queues>) {
        let before = self.reading.fetch_add(1, Ordering::SeqCst);
        let (limit, handler) = (self.limit, Arc::clone(&self.handler));
        let (reading, queues) = (Arc::clone(&self.reading), Arc::clone(queues));
        let is_refused = before >= MAX_READERS;
        let reader = move || {
            if is_refused {
                let refuse: Task = |handler, caller| handler.refuse_overload(caller);
                counted.answer_by(handler.as_ref(), refuse);
            } else {
                counted.caller.read_ahead(limit);
                answer_or_hand_on(counted, handler.as_ref(), &queues);
            }
            reading.fetch_sub(1, Ordering::SeqCst);
        };
        // Without a thread the request is let go unanswered, and its connection ends: its caller
        // learns nothing of it, and nothing of it ran.
        let _ = thread::Builder::new().name("body".to_owned()).spawn(reader);
    }
}

fn answer_or_hand_on(counted: Counted, handler: &dyn EdgeHandler, queues: &Queues) {
    if counted.caller.may_keep_waiting() {
        let handle: Task = |handler, caller| handler.handle(caller);
        counted.answer_by(handler, handle);
    } else {
        queues.add(counted);
    }
}

//! Reads bodies that may arrive slowly on dedicated threads, so that a slow caller never blocks a
//! worker. The HTTP library has no read timeout.

use crate::http::work::{EdgeHandler, InFlightRequest, Queues, Task};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

/// Maximum number of bodies read at the same time, each on its own thread. Further requests are
/// refused as overload.
const MAX_READERS: usize = 256;

/// Starts one thread per body; the thread ends when its request was answered or queued.
pub(super) struct BodyReaders {
    limit: u64,
    handler: Arc<dyn EdgeHandler>,
    reading: Arc<AtomicUsize>,
}

impl BodyReaders {
    /// Creates readers for bodies of at most `limit` bytes.
    pub(super) fn new(limit: u64, handler: &Arc<dyn EdgeHandler>) -> Self {
        Self {
            limit,
            handler: Arc::clone(handler),
            reading: Arc::new(AtomicUsize::new(0)),
        }
    }

    /// Reads the body of a request, then queues the request for its workers. The reader thread
    /// itself answers requests with an invalid body, because dropping such a request blocks until
    /// the rest of its body has arrived.
    pub(super) fn read(&self, mut in_flight_request: InFlightRequest, queues: &Arc<Queues>) {
        let before = self.reading.fetch_add(1, Ordering::SeqCst);
        let (limit, handler) = (self.limit, Arc::clone(&self.handler));
        let (reading, queues) = (Arc::clone(&self.reading), Arc::clone(queues));
        let is_refused = before >= MAX_READERS;
        let reader = move || {
            if is_refused {
                let refuse: Task = |handler, caller| handler.refuse_overload(caller);
                in_flight_request.answer_with(handler.as_ref(), refuse);
            } else {
                in_flight_request.caller.read_ahead(limit);
                answer_or_enqueue(in_flight_request, handler.as_ref(), &queues);
            }
            reading.fetch_sub(1, Ordering::SeqCst);
        };
        // If the thread cannot be started, the request is dropped unanswered and its connection
        // closes. The caller gets no answer, and no part of the request ran.
        let _ = thread::Builder::new().name("body".to_owned()).spawn(reader);
    }
}

fn answer_or_enqueue(
    in_flight_request: InFlightRequest,
    handler: &dyn EdgeHandler,
    queues: &Queues,
) {
    if in_flight_request.caller.may_block() {
        let handle: Task = |handler, caller| handler.handle(caller);
        in_flight_request.answer_with(handler, handle);
    } else {
        queues.add(in_flight_request);
    }
}

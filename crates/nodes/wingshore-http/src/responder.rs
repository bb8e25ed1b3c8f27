//! Answers of listeners with one thread, whatever the callers still owe.
//!
//! The HTTP server library reads what is left of a request's body when the request is dropped, and
//! waits for it. On the thread of a listener that would hold up all other callers.

use std::io::Read;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use tiny_http::{Request, Response};

/// Largest number of threads that wait for the rest of a body.
const MAX_WAITING: usize = 256;

/// Sends the answers of one listener.
#[derive(Clone, Debug, Default)]
pub struct Responder {
    /// Number of threads that wait for the rest of a body.
    waiting: Arc<AtomicUsize>,
}

impl Responder {
    /// Sends an answer. Never waits for a body that the caller announces; the answer to such a request
    /// is sent by a thread that ends with the body, or with the connection.
    pub fn respond<R: Read + Send + 'static>(&self, request: Request, response: Response<R>) {
        if !announces_body(&request) {
            // The caller may have closed the connection.
            let _ = request.respond(response);
            return;
        }
        if self.waiting.fetch_add(1, Ordering::Relaxed) >= MAX_WAITING {
            self.waiting.fetch_sub(1, Ordering::Relaxed);
            return answer_and_leave_open(request, response);
        }
        // Shared, so that it is not lost with a thread that cannot be started.
        let owed = Arc::new(Mutex::new(Some((request, response))));
        let (answered, waiting) = (Arc::clone(&owed), Arc::clone(&self.waiting));
        let respond = move || {
            if let Some((request, response)) = take(&answered) {
                // The caller may have closed the connection.
                let _ = request.respond(response);
            }
            waiting.fetch_sub(1, Ordering::Relaxed);
        };
        let spawned = thread::Builder::new()
            .name("body".to_owned())
            .spawn(respond);
        if spawned.is_err() {
            self.waiting.fetch_sub(1, Ordering::Relaxed);
            if let Some((request, response)) = take(&owed) {
                answer_and_leave_open(request, response);
            }
        }
    }
}

fn take<T>(owed: &Mutex<Option<T>>) -> Option<T> {
    owed.lock().unwrap_or_else(PoisonError::into_inner).take()
}

/// Answers a request and leaves its connection open for good: dropping it would wait for the body.
fn answer_and_leave_open<R: Read>(request: Request, response: Response<R>) {
    std::mem::forget(request.upgrade("close", response));
}

/// Returns whether a request announces a body.
fn announces_body(request: &Request) -> bool {
    let is_chunked = |header: &tiny_http::Header| header.field.equiv("Transfer-Encoding");
    request.body_length().is_some_and(|length| length > 0)
        || request.headers().iter().any(is_chunked)
}

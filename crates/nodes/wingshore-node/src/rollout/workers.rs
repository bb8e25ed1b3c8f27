//! A fixed-size thread pool that runs jobs from a queue.

use crossbeam_channel::{Receiver, Sender, unbounded};
use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::thread::{self, JoinHandle};

type Job = Box<dyn FnOnce() + Send>;

/// Fixed-size thread pool. Its queue is unbounded, because the users of the pool limit the number
/// of their open jobs.
pub struct Workers {
    jobs: Option<Sender<Job>>,
    threads: Vec<JoinHandle<()>>,
}

impl Workers {
    /// Starts `size` threads.
    ///
    /// # Errors
    /// Fails when a thread cannot be started.
    pub fn start(name: &str, size: usize) -> io::Result<Self> {
        let (jobs, waiting) = unbounded();
        let mut threads = Vec::new();
        for number in 0..size {
            let waiting = waiting.clone();
            let thread = thread::Builder::new()
                .name(format!("{name}-{number}"))
                .spawn(move || run_jobs(&waiting))?;
            threads.push(thread);
        }
        Ok(Self {
            jobs: Some(jobs),
            threads,
        })
    }

    /// Enqueues a job.
    pub fn add(&self, job: impl FnOnce() + Send + 'static) {
        if let Some(jobs) = &self.jobs {
            // The threads keep the receiver for the lifetime of the pool.
            let _ = jobs.send(Box::new(job));
        }
    }

    /// Runs the queued jobs, then ends the threads.
    pub fn finish(mut self) {
        drop(self.jobs.take());
        for thread in self.threads.drain(..) {
            // The panic hook has already reported a panic of the thread.
            let _ = thread.join();
        }
    }
}

fn run_jobs(waiting: &Receiver<Job>) {
    while let Ok(job) = waiting.recv() {
        // The panic hook of the process reports a panic; the worker continues with the next job.
        let _ = catch_unwind(AssertUnwindSafe(job));
    }
}

//! A bounded group of threads that run jobs from a queue.

use crossbeam_channel::{Receiver, Sender, unbounded};
use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::thread::{self, JoinHandle};

type Job = Box<dyn FnOnce() + Send>;

/// Threads that run jobs. The queue itself is not bounded: those who add jobs hold only so many
/// open at once.
pub struct Workers {
    jobs: Option<Sender<Job>>,
    threads: Vec<JoinHandle<()>>,
}

impl Workers {
    /// Starts `size` threads.
    ///
    /// # Errors
    /// When a thread cannot be started.
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

    /// Adds a job.
    pub fn add(&self, job: impl FnOnce() + Send + 'static) {
        if let Some(jobs) = &self.jobs {
            // The threads hold the other end for as long as this exists.
            let _ = jobs.send(Box::new(job));
        }
    }

    /// Runs what waits, then ends the threads.
    pub fn finish(mut self) {
        drop(self.jobs.take());
        for thread in self.threads.drain(..) {
            // A panic was reported when it happened.
            let _ = thread.join();
        }
    }
}

fn run_jobs(waiting: &Receiver<Job>) {
    while let Ok(job) = waiting.recv() {
        // A panic is reported by the process's hook; the worker goes on with the next job.
        let _ = catch_unwind(AssertUnwindSafe(job));
    }
}

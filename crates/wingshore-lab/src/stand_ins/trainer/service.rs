//! The trainer's side of the node's HTTP: each call goes on until it has an answer, since all of
//! them may be sent again.

use super::settings::TrainerSettings;
use crate::http_client::{Answer, HttpClient, HttpError};
use serde::Serialize;
use snafu::{ResultExt, Snafu};
use std::cell::Cell;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};
use wingshore_types::api::{
    AcknowledgeBody, BatchBody, PublishBody, PullBody, SubmitReply, SubmitRequest,
};
use wingshore_types::{Prompt, StepId, TrainerId, WeightVersion};

/// Pause before a call is sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// How much longer than the pull itself the HTTP call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// How long a trainer that is told to stop goes on to ask for what it has submitted.
const DRAIN_LIMIT: Duration = Duration::from_secs(45);

/// Why a call has no answer.
#[derive(Debug, Snafu)]
pub enum ServiceError {
    /// The trainer was told to stop, and what it asks for does not come.
    #[snafu(display("stopped without an answer to {path}"))]
    Stopped {
        /// Path of the call.
        path: String,
    },
    /// The service says that the call makes no sense.
    #[snafu(display("{path} was refused with {status}: {body}"))]
    Refused {
        /// Path of the call.
        path: String,
        /// Status.
        status: u16,
        /// The answer's body.
        body: String,
    },
    /// The answer is not of the documented shape.
    #[snafu(display("{path} was answered in an unknown shape: {source}"))]
    Shape {
        /// Path of the call.
        path: String,
        /// Why.
        source: serde_json::Error,
    },
}

/// A batch and the bytes it came as.
pub struct PulledBatch {
    /// The batch.
    pub batch: BatchBody,
    /// The answer's body.
    pub bytes: Vec<u8>,
}

/// The node as the trainer sees it.
pub struct Service<'a> {
    settings: &'a TrainerSettings,
    client: HttpClient,
    stop: Arc<AtomicBool>,
    stop_seen_at: Cell<Option<Instant>>,
}

impl<'a> Service<'a> {
    /// Calls the node of `settings`; gives calls up some time after `stop` was set.
    pub fn new(settings: &'a TrainerSettings, stop: Arc<AtomicBool>) -> Self {
        Self {
            client: HttpClient::new(CALL_TIMEOUT + settings.training.pull_wait),
            settings,
            stop,
            stop_seen_at: Cell::new(None),
        }
    }

    /// Whether the trainer is told to stop.
    pub fn is_stopping(&self) -> bool {
        let stopping = self.stop.load(Ordering::SeqCst);
        if stopping && self.stop_seen_at.get().is_none() {
            self.stop_seen_at.set(Some(Instant::now()));
        }
        stopping
    }

    fn gives_up(&self) -> bool {
        self.is_stopping()
            && self
                .stop_seen_at
                .get()
                .is_some_and(|at| at.elapsed() > DRAIN_LIMIT)
    }

    /// Submits prompts.
    ///
    /// # Errors
    /// When told to stop, or refused for good.
    pub fn submit(&self, prompts: Vec<Prompt>) -> Result<SubmitReply, ServiceError> {
        let path = self.pool_path("samples");
        let bytes = self.post(&path, &SubmitRequest { prompts })?;
        serde_json::from_slice(&bytes).context(ShapeSnafu { path })
    }

    /// Pulls a step's batch.
    ///
    /// # Errors
    /// When told to stop, or refused for good.
    pub fn pull(&self, step: StepId, version: WeightVersion) -> Result<PulledBatch, ServiceError> {
        let path = self.pool_path(&format!("steps/{step}/pull"));
        let body = PullBody {
            trainer: self.trainer(),
            weight_version: version,
            count: self.settings.training.batch,
            wait_ms: self.settings.training.pull_wait.as_millis() as u64,
        };
        let bytes = self.post(&path, &body)?;
        let batch = serde_json::from_slice(&bytes).context(ShapeSnafu { path })?;
        Ok(PulledBatch { batch, bytes })
    }

    /// Acknowledges a step.
    ///
    /// # Errors
    /// When told to stop, or refused for good.
    pub fn acknowledge(&self, step: StepId) -> Result<(), ServiceError> {
        let path = self.pool_path(&format!("steps/{step}/ack"));
        let body = AcknowledgeBody {
            trainer: self.trainer(),
        };
        self.post(&path, &body).map(|_| ())
    }

    /// Puts weights into the store, then tells the service of them.
    ///
    /// # Errors
    /// When told to stop, or refused for good.
    pub fn publish(&self, version: WeightVersion) -> Result<(), ServiceError> {
        self.store(version)?;
        let path = self.pool_path("versions");
        self.post(&path, &PublishBody { version }).map(|_| ())
    }

    fn store(&self, version: WeightVersion) -> Result<(), ServiceError> {
        let settings = self.settings;
        let path = format!("/weights/{}/{version}", settings.model);
        let url = format!("http://{}{path}", settings.weight_store);
        let bytes = vec![version.0 as u8; settings.training.weight_bytes];
        self.until_answered(&path, || self.client.put(&url, &bytes))
            .map(|_| ())
    }

    fn post<T: Serialize>(&self, path: &str, body: &T) -> Result<Vec<u8>, ServiceError> {
        let bytes = serde_json::to_vec(body).context(ShapeSnafu { path })?;
        let url = format!("http://{}{path}", self.settings.node);
        self.until_answered(path, || self.client.post(&url, &[], &bytes))
    }

    /// Sends again whatever may be sent again; every call of a trainer is idempotent.
    fn until_answered(
        &self,
        path: &str,
        mut send: impl FnMut() -> Result<Answer, HttpError>,
    ) -> Result<Vec<u8>, ServiceError> {
        while !self.gives_up() {
            match send() {
                Ok(answer) if answer.is_success() => return Ok(answer.body),
                Ok(answer) if is_final(answer.status) => {
                    return RefusedSnafu {
                        path,
                        status: answer.status,
                        body: String::from_utf8_lossy(&answer.body),
                    }
                    .fail();
                }
                Ok(_) | Err(_) => thread::sleep(RETRY_PAUSE),
            }
        }
        StoppedSnafu { path }.fail()
    }

    fn pool_path(&self, rest: &str) -> String {
        format!("/v1/pools/{}/{rest}", self.settings.pool)
    }

    fn trainer(&self) -> TrainerId {
        TrainerId::new(&self.settings.name)
    }
}

/// Whether asking again cannot help. A pool may be unknown for a while after a start.
fn is_final(status: u16) -> bool {
    matches!(status, 400 | 405 | 409 | 410 | 413 | 422)
}

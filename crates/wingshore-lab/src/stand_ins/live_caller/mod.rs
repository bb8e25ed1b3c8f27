//! Stand-in for live callers: charges, look-ups and streamed completions at a seeded rate.

pub mod calls;
pub mod completion;
pub mod plan;
pub mod process;
pub mod settings;

use super::StandInError;
use super::settings::load;
use crate::event_log::EventLog;
use crate::events::{CallKind, Event};
use calls::{CallResult, Calls};
use crossbeam_channel::{Receiver, bounded};
use plan::{CallPlan, PlannedCall};
use settings::LiveCallerSettings;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};
use wingshore_types::Verdict;

/// Arrivals that may wait for a free place.
const MOST_WAITING: usize = 100_000;
/// Longest sleep, so that a stop is seen soon.
const LONGEST_SLEEP: Duration = Duration::from_millis(50);
/// How often a keyed charge without a final answer is sent again.
const RESENDS: u32 = 3;
/// Pause before that.
const RESEND_PAUSE: Duration = Duration::from_millis(200);

/// Calls until it is told to stop by SIGTERM; what is under way is then finished.
///
/// # Errors
/// When its settings or log cannot be used.
pub fn run(settings_file: &Path, stop: &Arc<AtomicBool>) -> Result<(), StandInError> {
    let settings: LiveCallerSettings = load(settings_file)?;
    let log = EventLog::open(&settings.log, &settings.name)?;
    let boot_id: u32 = rand::random();
    log.write(Event::Started {
        boot_id: u64::from(boot_id),
    });
    let started = Instant::now();
    let (sender, receiver) = bounded::<PlannedCall>(MOST_WAITING);
    thread::scope(|scope| {
        for _ in 0..settings.load.most_under_way {
            let caller = Caller {
                settings: &settings,
                calls: Calls::new(&settings),
                log: log.clone(),
                boot_id,
                started,
            };
            let receiver = receiver.clone();
            scope.spawn(move || caller.work(&receiver));
        }
        for call in CallPlan::new(settings.load.clone()) {
            if !wait_until(started + call.due, stop) || sender.try_send(call).is_err() {
                break;
            }
        }
        drop(sender);
    });
    Ok(())
}

/// Returns whether the time has come; false when told to stop before.
fn wait_until(due: Instant, stop: &AtomicBool) -> bool {
    loop {
        if stop.load(Ordering::SeqCst) {
            return false;
        }
        let left = due.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return true;
        }
        thread::sleep(left.min(LONGEST_SLEEP));
    }
}

struct Caller<'a> {
    settings: &'a LiveCallerSettings,
    calls: Calls<'a>,
    log: EventLog,
    boot_id: u32,
    started: Instant,
}

impl Caller<'_> {
    fn work(&self, receiver: &Receiver<PlannedCall>) {
        for call in receiver {
            if call.kind == CallKind::Completion && self.settings.model.is_none() {
                continue;
            }
            self.call(&call);
        }
    }

    /// Sends a call; a keyed charge without a final answer, or one whose answer is taken as lost,
    /// is sent again under the same key.
    fn call(&self, call: &PlannedCall) {
        let name = format!(
            "{}-{:08x}-{}",
            self.settings.name, self.boot_id, call.number
        );
        let key = call.keyed.then(|| format!("key-{name}"));
        let due = self.started + call.due;
        let mut result = self.send(call, &name, key.as_deref(), due);
        if !call.keyed {
            return;
        }
        let mut resends = 0;
        while resends < RESENDS && (!is_final(&result) || (call.resent && resends == 0)) {
            thread::sleep(RESEND_PAUSE);
            resends += 1;
            let request = format!("{name}.{resends}");
            result = self.send(call, &request, key.as_deref(), Instant::now());
        }
    }

    fn send(
        &self,
        call: &PlannedCall,
        request: &str,
        key: Option<&str>,
        due: Instant,
    ) -> CallResult {
        let result = self.calls.send(call, request, key);
        if let Some(completion) = result.completion.clone() {
            self.log.write(Event::Completed {
                request: request.to_owned(),
                completion,
            });
        }
        self.log.write(Event::Answered {
            request: request.to_owned(),
            key: key.map(str::to_owned),
            kind: call.kind,
            no_repeat: call.kind == CallKind::Charge,
            status: result.status,
            verdict: result.verdict,
            answer_hash: result.answer_hash,
            whole: result.whole,
            latency_us: due.elapsed().as_micros() as u64,
            first_token_us: result.first_token.map(|time| time.as_micros() as u64),
        });
        result
    }
}

/// Whether nothing is gained by sending a keyed charge again.
fn is_final(result: &CallResult) -> bool {
    result.whole && (result.status == 200 || result.verdict == Some(Verdict::Ran))
}

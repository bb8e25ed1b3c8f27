//! Usage reports: commits the counts of each window, and reports them to the provider.

use super::decision_log::Decision;
use super::interface::Effect;
use super::machine::CoordinationLeader;
use super::proposals::FollowUp;
use super::turn::Turn;
use crate::ids::GatewayId;
use crate::provider::{DutyHolder, ProviderAnswer, UsageReport};
use crate::state::Command;
use crate::usage::UsageWindow;

impl CoordinationLeader {
    /// Closes the windows and sends the reports that are due.
    pub(crate) fn drive_usage(&mut self, turn: &mut Turn<'_>) {
        let Some(duty) = self.settings.usage else {
            return;
        };
        let configuration = turn.state.configuration();
        if configuration.is_none_or(|held| held.tenants.is_empty()) {
            return;
        }
        let usage = turn.state.usage();
        if let Some((window, counts)) = self.usage.close_next(turn.now, duty, usage) {
            let command = Command::CloseUsageWindow { window, counts };
            self.propose(command, FollowUp::UsageClosed(window), turn);
        }
        if self.rollout.holds_orders() {
            self.send_reports(turn);
        }
    }

    fn send_reports(&mut self, turn: &mut Turn<'_>) {
        for window in self.usage.take_due(turn.now, turn.state.usage()) {
            let Some(counts) = turn.state.usage().unacknowledged().get(&window) else {
                continue;
            };
            turn.effect(Effect::ReportUsage(UsageReport {
                window,
                counts: counts.clone(),
                holder: self.duty_holder(),
            }));
        }
    }

    /// Returns the identity of this machine and its fencing token for calls to the provider.
    pub(crate) fn duty_holder(&self) -> DutyHolder {
        DutyHolder {
            node: self.settings.node.clone(),
            fence: self.epoch,
        }
    }

    /// Continues after the counts of a window were committed.
    pub(crate) fn on_usage_closed(&mut self, window: UsageWindow, turn: &mut Turn<'_>) {
        self.usage.closed(window);
        let counts = turn.state.usage().unacknowledged().get(&window);
        turn.log(Decision::UsageClosed {
            window,
            tenants: counts.map_or(0, |counts| counts.0.len()),
            requests: counts.map_or(0, |counts| counts.0.values().sum()),
        });
        self.drive_usage(turn);
    }

    /// Handles the provider's answer to a report, or the lack of one.
    pub(crate) fn on_usage_answered(
        &mut self,
        window: UsageWindow,
        answer: ProviderAnswer,
        turn: &mut Turn<'_>,
    ) {
        if self.usage.on_answer(turn.now, window, answer) {
            self.propose(Command::UsageReported(window), FollowUp::Nothing, turn);
        }
    }

    /// Proposes to store the counts of a lost gateway, so that they survive a change of leader.
    pub(crate) fn store_usage_of(&mut self, gateway: GatewayId, turn: &mut Turn<'_>) {
        let usage = self.usage.reported_by(gateway);
        if !usage.is_empty() {
            self.propose(
                Command::KeepUsage { gateway, usage },
                FollowUp::Nothing,
                turn,
            );
        }
    }
}

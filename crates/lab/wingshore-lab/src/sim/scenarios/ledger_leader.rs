//! The leader of a ledger group in trouble.

use super::data_path::ROUNDS;
use crate::process::{Message, ProcessOutput};
use crate::sim::data_site::DataSite;
use crate::sim::slot::{Trap, TrapAction};
use std::time::Duration;
use wingshore_types::GroupId;
use wingshore_types::protocol::ledger::LedgerReply;
use wingshore_types::protocol::wire::GroupReply;

/// The leader of the samples' ledger dies right after it has answered a pull.
pub fn ledger_leader_lost(site: &mut DataSite) {
    for _ in 0..ROUNDS {
        let leader = site.leader(GroupId::Ledger(1));
        let trap = Trap::new(is_batch_answer, 0, TrapAction::KillAfter);
        site.world.set_trap(leader, trap);
        let limit = Duration::from_secs(10);
        site.world.run_until(limit, |world| !world.is_up(leader));
        site.world.pause(500, 3_000);
        site.heal();
        site.world.pause(500, 2_000);
    }
}

fn is_batch_answer(output: &ProcessOutput) -> bool {
    matches!(
        output,
        ProcessOutput::Send {
            message: Message::GroupReply {
                body: GroupReply::Ledger(LedgerReply::Batch(_)),
                ..
            },
            ..
        }
    )
}

//! What operators and trainers put in force: configurations, and versions of models.

use super::{CoordinationLeader, Decision, Outputs, Waiter, log, reply};
use crate::configuration::SiteConfiguration;
use crate::ids::ModelName;
use crate::messages::Reply;
use crate::routes::RouteTable;
use crate::state::{Command, CoordinationState};
use crate::tenants::TenantRanks;
use std::sync::Arc;
use wingshore_types::machine::RequestTag;

impl CoordinationLeader {
    pub(super) fn put_configuration(
        &mut self,
        tag: RequestTag,
        configuration: Arc<SiteConfiguration>,
        state: &CoordinationState,
        out: &mut Outputs,
    ) {
        if let Err(error) = configuration.check() {
            return reply(tag, Reply::Refused(error.to_string()), out);
        }
        let held = state.configuration().map_or(0, |held| held.version);
        if state.configuration().is_some() && configuration.version <= held {
            return reply(tag, Reply::Done, out);
        }
        let command = Command::Configure(configuration);
        self.propose(command, Waiter::Configuration(tag), out);
    }

    /// Looks up what is decided by from now on.
    pub(super) fn take_configuration(&mut self, state: &CoordinationState) {
        if let Some(configuration) = state.configuration() {
            self.routes = RouteTable::new(configuration);
            self.ranks = TenantRanks::new(&configuration.tenants);
        }
    }

    pub(super) fn name_version(
        &mut self,
        tag: RequestTag,
        model: ModelName,
        version: u64,
        state: &CoordinationState,
        out: &mut Outputs,
    ) {
        let named = state.named_versions().get(&model).copied().unwrap_or(0);
        if version <= named {
            return reply(tag, Reply::Done, out);
        }
        let decision = Decision::VersionNamed {
            model: model.clone(),
            version,
        };
        log(decision, out);
        let command = Command::NameVersion { model, version };
        self.propose(command, Waiter::Version(tag), out);
    }
}

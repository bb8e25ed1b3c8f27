//! Configurations that operators put in force, and model versions that trainers name.

use super::decision_log::Decision;
use super::machine::CoordinationLeader;
use super::proposals::FollowUp;
use super::turn::Turn;
use crate::configuration::SiteConfiguration;
use crate::ids::ModelName;
use crate::messages::Reply;
use crate::routes::RouteTable;
use crate::state::{Command, CoordinationState};
use crate::tenants::TenantPriorities;
use std::sync::Arc;
use wingshore_types::machine::RequestTag;

impl CoordinationLeader {
    pub(super) fn put_configuration(
        &mut self,
        tag: RequestTag,
        configuration: Arc<SiteConfiguration>,
        turn: &mut Turn<'_>,
    ) {
        if let Err(error) = configuration.check() {
            return turn.reply(tag, Reply::Refused(error.to_string()));
        }
        let held = turn.state.configuration().map_or(0, |held| held.version);
        if turn.state.configuration().is_some() && configuration.version <= held {
            return turn.reply(tag, Reply::Done);
        }
        let command = Command::Configure(configuration);
        self.propose(command, FollowUp::ConfigurationApplied(tag), turn);
    }

    /// Continues after a configuration was committed and came into force.
    pub(super) fn on_configuration_applied(&mut self, tag: RequestTag, turn: &mut Turn<'_>) {
        if let Some(configuration) = turn.state.configuration() {
            let version = configuration.version;
            turn.log(Decision::Configured { version });
        }
        turn.reply(tag, Reply::Done);
        self.load_configuration(turn.state);
        self.engines.begin(turn.state);
        self.place_items(turn);
    }

    /// Derives routes and tenant ranks from the configuration in force.
    pub(super) fn load_configuration(&mut self, state: &CoordinationState) {
        if let Some(configuration) = state.configuration() {
            self.routes = RouteTable::new(configuration);
            self.ranks = TenantPriorities::new(&configuration.tenants);
        }
    }

    pub(super) fn name_version(
        &mut self,
        tag: RequestTag,
        model: ModelName,
        version: u64,
        turn: &mut Turn<'_>,
    ) {
        let named = turn
            .state
            .named_versions()
            .get(&model)
            .copied()
            .unwrap_or(0);
        if version <= named {
            return turn.reply(tag, Reply::Done);
        }
        let decision = Decision::VersionNamed {
            model: model.clone(),
            version,
        };
        turn.log(decision);
        let command = Command::NameVersion { model, version };
        self.propose(command, FollowUp::VersionNamed(tag), turn);
    }
    /// Continues after a named version was committed: engines are to load it.
    pub(super) fn on_version_named(&mut self, tag: RequestTag, turn: &mut Turn<'_>) {
        turn.reply(tag, Reply::Done);
        self.drive_rollout(turn);
    }
}

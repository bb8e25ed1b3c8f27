//! Opens a simulated replica's folder and groups.

use super::group::{HostedGroup, SimGroup};
use super::kind::SimLeader;
use super::settings::{ReplicaSettings, leader_settings};
use crate::sim::observed::{Observed, ObservedLeader, Probe};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use wingshore_control::ControlLeader;
use wingshore_group::{Host, HostConfig, MachineFactory};
use wingshore_ledger::claims::ClaimsLeader;
use wingshore_ledger::samples::LedgerLeader;
use wingshore_storage::{DataFolder, FileSystem, GroupStore};
use wingshore_types::{GroupId, Instant, ReplicaId};

/// The name of the simulated site.
pub const SITE: &str = "simulated";

pub type Groups = BTreeMap<GroupId, Box<dyn SimGroup>>;

/// Opens what a replica's groups start from.
pub struct Opener<'a> {
    pub(super) now: Instant,
    pub(super) fs: Arc<dyn FileSystem>,
    pub(super) folder: &'a DataFolder,
    pub(super) settings: &'a ReplicaSettings,
    pub(super) random: ChaCha8Rng,
}

impl Opener<'_> {
    pub fn open(mut self) -> Result<Groups, String> {
        let settings = self.settings;
        let mut groups = Groups::new();
        for group in GroupId::all(settings.groups, settings.groups) {
            let opened = match group {
                GroupId::Control => self.control(group)?,
                GroupId::Ledger(_) => self.ledger(group)?,
                GroupId::Claims(_) => self.claims(group)?,
            };
            groups.insert(group, opened);
        }
        Ok(groups)
    }

    fn control(&mut self, group: GroupId) -> Result<Box<dyn SimGroup>, String> {
        let faults = self.settings.faults.control;
        let leader = leader_settings();
        let make = move || ControlLeader::new(leader.clone(), faults);
        self.group(group, make, move |state| state.set_faults(faults))
    }

    fn ledger(&mut self, group: GroupId) -> Result<Box<dyn SimGroup>, String> {
        let faults = self.settings.faults.ledger;
        let make = move || LedgerLeader::with_faults(faults);
        self.group(group, make, move |state| state.set_faults(faults))
    }

    fn claims(&mut self, group: GroupId) -> Result<Box<dyn SimGroup>, String> {
        let faults = self.settings.faults.claims;
        self.group(group, ClaimsLeader::default, move |state| {
            state.set_faults(faults);
        })
    }

    fn group<L: SimLeader>(
        &mut self,
        group: GroupId,
        make: impl Fn() -> L + Send + 'static,
        prepare: impl Fn(&mut L::State) + Send + 'static,
    ) -> Result<Box<dyn SimGroup>, String> {
        let directory = self.folder.group_directory(group);
        let (store, recovered) = GroupStore::open_with(
            Arc::clone(&self.fs),
            Path::new(&directory),
            self.settings.segment_bytes,
        )
        .map_err(|error| error.to_string())?;
        let replica = self.folder.identity().replica;
        let machines = self.machines(group, replica, make, prepare);
        let config = self.config(replica);
        let host = Host::with_machines(self.now, config, recovered, machines)
            .map_err(|error| error.to_string())?;
        let random = ChaCha8Rng::seed_from_u64(self.random.random());
        let hosted = HostedGroup::<L>::new(host, store, random, replica, leader_settings());
        Ok(Box::new(hosted))
    }

    fn machines<L: SimLeader>(
        &self,
        group: GroupId,
        member: ReplicaId,
        make: impl Fn() -> L + Send + 'static,
        prepare: impl Fn(&mut L::State) + Send + 'static,
    ) -> MachineFactory<ObservedLeader<L>> {
        let probe = Probe {
            observer: self.settings.observer.clone(),
            group,
            member,
        };
        let leader_probe = probe.clone();
        MachineFactory {
            leader: Box::new(move || ObservedLeader {
                leader: make(),
                probe: Some(leader_probe.clone()),
            }),
            prepare: Box::new(move |observed: &mut Observed<L::State>| {
                prepare(&mut observed.state);
                observed.probe = Some(probe.clone());
            }),
        }
    }

    fn config(&mut self, replica: ReplicaId) -> HostConfig {
        let settings = self.settings;
        HostConfig {
            limits: settings.limits,
            snapshot_every_bytes: settings.snapshot_every_bytes,
            faults: settings.faults.consensus,
            ..HostConfig::new(
                replica,
                self.folder.identity().founding.clone(),
                self.random.random(),
            )
        }
    }
}

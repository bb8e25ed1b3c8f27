//! A site of replicas in one process, with real sockets and folders.
#![allow(dead_code)]

pub mod disk;

use std::net::{IpAddr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};
use tempfile::TempDir;
use wingshore_client::GroupClient;
use wingshore_diagnostics::Diagnostics;
use wingshore_replica::{Replica, ReplicaError};
use wingshore_settings::{Overrides, ReplicaSettings, replica_from_text};
use wingshore_storage::{DataFolder, FileSystem, RealFileSystem};
use wingshore_types::protocol::claims::{ClaimKey, Claimant, ClaimsReply, ClaimsRequest};
use wingshore_types::protocol::membership::{
    Member, Membership, MembershipReply, MembershipRequest,
};
use wingshore_types::protocol::wire::{GroupReply, GroupRequest};
use wingshore_types::{GroupId, NodeId, ReplicaId};

/// Time limit of every wait in a test.
pub const TIMEOUT: Duration = Duration::from_secs(60);
/// The group that most tests write to.
pub const CLAIMS: GroupId = GroupId::Claims(1);
/// Name of the test site.
pub const SITE: &str = "test";
/// Interval at which conditions are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Replicas of one site; a stopped replica is `None`.
pub struct TestSite {
    pub folder: TempDir,
    pub addresses: Vec<SocketAddr>,
    pub replicas: Vec<Option<Replica>>,
    pub client: GroupClient,
}

impl TestSite {
    /// Formats and starts the founding members 1 to `count`.
    pub fn start(count: usize) -> Self {
        let mut site = Self::formatted(count);
        (0..count).for_each(|index| site.start_replica(index));
        site
    }

    /// Formats the founding members 1 to `count` without starting them.
    pub fn formatted(count: usize) -> Self {
        let host = unique_loopback_address();
        let listeners: Vec<_> = (0..count)
            .map(|_| TcpListener::bind((host, 0)).expect("a free port"))
            .collect();
        let addresses: Vec<_> = listeners
            .iter()
            .map(|listener| listener.local_addr().expect("an address"))
            .collect();
        let client = GroupClient::new(SITE, addresses.clone(), 1);
        let site = Self {
            folder: tempfile::tempdir().expect("a folder"),
            addresses,
            replicas: (0..count).map(|_| None).collect(),
            client,
        };
        (0..count).for_each(|index| site.format(index));
        site
    }

    pub fn id(index: usize) -> ReplicaId {
        ReplicaId(index as u64 + 1)
    }

    pub fn data(&self, index: usize) -> PathBuf {
        self.folder.path().join(format!("replica-{index}"))
    }

    fn format(&self, index: usize) {
        let voters = self.addresses.iter().enumerate();
        let membership = Membership {
            voters: voters
                .map(|(index, address)| Member {
                    id: Self::id(index),
                    address: *address,
                })
                .collect(),
            learners: Vec::new(),
        };
        let fs: Arc<dyn FileSystem> = Arc::new(RealFileSystem);
        let path = self.data(index);
        DataFolder::format(&fs, &path, SITE, Self::id(index), membership).expect("formatted");
    }

    pub fn settings(&self, index: usize) -> ReplicaSettings {
        let founding: String = self
            .addresses
            .iter()
            .enumerate()
            .map(|(index, address)| {
                let id = Self::id(index);
                format!("[[founding]]\nid = {id}\naddress = \"{address}\"\n")
            })
            .collect();
        let (listen, data) = (self.addresses[index], self.data(index));
        let text = format!(
            r#"
role = "replica"
site = "{SITE}"
name = "replica-{index}"
zone = "zone"
listen = "{listen}"
admin = "127.0.0.1:0"
data = "{}"
{founding}
[timing]
heartbeat = "50ms"
election_timeout = "600ms"
lease = "400ms"
"#,
            data.display()
        );
        replica_from_text("test", &text, &Overrides::default()).expect("settings")
    }

    /// Starts a replica on the real file system.
    pub fn start_replica(&mut self, index: usize) {
        self.start_replica_on(index, &(Arc::new(RealFileSystem) as _));
    }

    /// Starts a replica on `fs`. Retries while its address is in use, as an outgoing connection may
    /// use it briefly.
    pub fn start_replica_on(&mut self, index: usize, fs: &Arc<dyn FileSystem>) {
        let replica = wait_for("a replica starts", || {
            match self.try_start(index, Arc::clone(fs)) {
                Ok(replica) => Some(replica),
                Err(ReplicaError::Listen { .. }) => None,
                Err(error) => panic!("replica {index}: {error}"),
            }
        });
        self.replicas[index] = Some(replica);
    }

    pub fn try_start(
        &self,
        index: usize,
        fs: Arc<dyn FileSystem>,
    ) -> Result<Replica, ReplicaError> {
        let logs = self.folder.path().join("logs");
        let diagnostics = Diagnostics::new("replica", 1024, Some(&logs));
        Replica::start_on(fs, self.settings(index), diagnostics)
    }

    pub fn replica(&self, index: usize) -> &Replica {
        self.replicas[index].as_ref().expect("running replica")
    }

    /// Ends a replica without a handover.
    pub fn crash(&mut self, index: usize) {
        let replica = self.replicas[index].take().expect("running replica");
        replica.abort().expect("no group had failed");
    }

    /// Ends a replica in a planned stop.
    pub fn stop(&mut self, index: usize) {
        let replica = self.replicas[index].take().expect("running replica");
        replica.stop().expect("no group had failed");
    }

    /// Returns the reply of `group`'s leader.
    pub fn call(&self, group: GroupId, request: GroupRequest) -> GroupReply {
        let reply = self.client.call(group, request, TIMEOUT);
        reply.expect("an answer")
    }

    /// Claims `key` for `node`.
    pub fn claim(&self, key: &str, node: &str) -> ClaimsReply {
        match self.call(CLAIMS, GroupRequest::Claims(claim_request(key, node))) {
            GroupReply::Claims(reply) => reply,
            other => panic!("{other:?}"),
        }
    }

    pub fn change_members(&self, request: MembershipRequest) -> MembershipReply {
        match self.call(CLAIMS, GroupRequest::Membership(request)) {
            GroupReply::Membership(reply) => reply,
            other => panic!("{other:?}"),
        }
    }

    /// Returns the membership of the claims group, its leader, the synced index of each member and
    /// the last index of the log.
    pub fn members(&self) -> (Membership, ReplicaId, Vec<(ReplicaId, u64)>, u64) {
        match self.change_members(MembershipRequest::Show) {
            MembershipReply::Members {
                membership,
                leader,
                synced,
                last_index,
            } => (membership, leader, synced, last_index),
            other => panic!("{other:?}"),
        }
    }

    /// Returns the index of the founding member that leads the claims group.
    pub fn leader(&self) -> usize {
        let (_, leader, _, _) = self.members();
        usize::try_from(leader.0 - 1).expect("a founding member")
    }

    /// Returns the status and body of a response of a replica's admin listener.
    pub fn admin(&self, index: usize, path: &str) -> (u16, String) {
        let address = self.replica(index).admin_address().expect("admin listener");
        let agent: ureq::Agent = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .build()
            .into();
        let mut response = agent
            .get(format!("http://{address}{path}"))
            .call()
            .expect("a response");
        let body = response.body_mut().read_to_string().expect("a body");
        (response.status().as_u16(), body)
    }
}

pub fn claim_request(key: &str, node: &str) -> ClaimsRequest {
    ClaimsRequest::Claim {
        key: ClaimKey {
            service: "service".to_owned(),
            key: key.to_owned(),
        },
        fingerprint: 7,
        claimant: Claimant {
            node: NodeId::new(node),
            boot_id: 1,
            attempt: 1,
        },
    }
}

/// Polls until `poll` returns a value; panics after [`TIMEOUT`].
pub fn wait_for<T>(what: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + TIMEOUT;
    loop {
        if let Some(found) = poll() {
            return found;
        }
        assert!(Instant::now() < deadline, "timed out waiting for: {what}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Polls until `condition` holds; panics after [`TIMEOUT`].
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    wait_for(what, || condition().then_some(()));
}

/// Returns a loopback address that no other test site uses. On a shared address, another listener
/// may bind a port that was found free before the replica that needs it starts.
fn unique_loopback_address() -> IpAddr {
    static SITES: AtomicU8 = AtomicU8::new(1);
    /// Lowest second octet of the addresses of test sites.
    const FIRST: u32 = 20;
    const COUNT: u32 = 60;
    let process = FIRST + std::process::id() % COUNT;
    let site = SITES.fetch_add(1, Ordering::Relaxed);
    IpAddr::from([127, process as u8, site, 1])
}

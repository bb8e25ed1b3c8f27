//! The view of the site that the test coordinator sends to the gateway.

use crate::site::ZONE;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use wingshore_coordination::{
    ApiKey, AssignmentId, DurablePrefix, FingerprintKey, IngressLimits, InstanceId, ItemAssignment,
    ItemId, ItemKey, ItemText, JobId, Route, RouteKind, RouteTarget, Scorer, ServerRecord,
    ServiceName, SiteConfiguration, SiteView, Tenant, TenantName, ViewContent, ViewUpdate,
};
use wingshore_types::LogIndex;

pub(crate) const ONE: &str = "one-1";
pub(crate) const PAIR_1: &str = "pair-1";
pub(crate) const PAIR_2: &str = "pair-2";
pub(crate) const ENGINE: &str = "engine-1";

fn route(name: &str, kind: RouteKind, service: Option<&str>) -> Route {
    let target = |service: &str| RouteTarget {
        service: ServiceName::from(service),
        weight: 1,
    };
    Route {
        name: name.to_owned(),
        host: "open.test".to_owned(),
        path_prefix: format!("/{name}/"),
        kind,
        timeout: Duration::from_millis(1500),
        target_latency: Duration::from_millis(400),
        priority: 0,
        targets: service.map(target).into_iter().collect(),
        max_attempts: 2,
        max_queue: None,
        due: None,
        single_version: false,
        resumable: kind == RouteKind::Streaming,
        public: true,
    }
}

fn server(name: &str, service: &str, address: SocketAddr) -> ServerRecord {
    ServerRecord {
        instance: InstanceId::from(name),
        service: ServiceName::from(service),
        address,
        zone: ZONE.to_owned(),
        slots: 4,
        draining: false,
        reclaimable: false,
        models: Vec::new(),
    }
}

/// Returns a view with the server of the service `one` and up to two servers of the service `pair`.
pub(crate) fn view(one: SocketAddr, pair: Vec<SocketAddr>) -> ViewUpdate {
    let mut short = route("short", RouteKind::Unsafe, Some("one"));
    short.timeout = Duration::from_millis(300);
    let keyed = Route {
        host: "keyed.test".to_owned(),
        public: false,
        ..route("live", RouteKind::Unsafe, Some("one"))
    };
    let configuration = SiteConfiguration {
        version: 5,
        routes: vec![
            route("live", RouteKind::Unsafe, Some("one")),
            route("stream", RouteKind::Streaming, Some("pair")),
            route("none", RouteKind::Safe, None),
            route("empty", RouteKind::Safe, Some("empty")),
            route("batch", RouteKind::Batch, Some("engines")),
            short,
            keyed,
        ],
        services: Vec::new(),
        limits: IngressLimits {
            head_timeout: Duration::from_millis(300),
            ..IngressLimits::default()
        },
        tenants: vec![Tenant {
            name: TenantName::from("tenant-1"),
            keys: vec![ApiKey::from("key-1")],
            priority: None,
        }],
        document: Vec::new(),
    };
    let mut servers = vec![server(ONE, "one", one)];
    let names = [PAIR_1, PAIR_2];
    let pair = names.iter().zip(pair);
    servers.extend(pair.map(|(name, address)| server(name, "pair", address)));
    ViewUpdate {
        revision: LogIndex(1),
        content: ViewContent::Whole(SiteView {
            configuration: Some(Arc::new(configuration)),
            servers,
            fingerprint_key: Some(FingerprintKey::new([1; 16])),
            suspects: Vec::new(),
        }),
    }
}

/// Returns the view of [`view`] with the engine of [`item`]. A gateway closes idle connections to
/// servers that are not in its view.
pub(crate) fn view_with_engine(one: SocketAddr, engine: SocketAddr) -> ViewUpdate {
    let mut update = view(one, Vec::new());
    let ViewContent::Whole(whole) = &mut update.content else {
        panic!("the view is whole");
    };
    whole.servers.push(server(ENGINE, "engines", engine));
    update
}

pub(crate) fn item(
    assignment: AssignmentId,
    address: SocketAddr,
    scorer: Option<Scorer>,
) -> ItemAssignment {
    let job = JobId::from("j").of_tenant(Some(TenantName::from("tenant-1")));
    ItemAssignment {
        assignment,
        item: ItemKey { job, index: 0 },
        request: ItemId::from("item-1"),
        instance: InstanceId::from(ENGINE),
        address,
        host: "items.test".to_owned(),
        path: "/generate".to_owned(),
        headers: vec![
            ("Other".to_owned(), "c".to_owned()),
            ("Authorization".to_owned(), "key-1".to_owned()),
            ("priority".to_owned(), "0".to_owned()),
            ("Connection".to_owned(), "close".to_owned()),
        ],
        body: b"body".to_vec(),
        kept: ItemText {
            text: "one".to_owned(),
            events: 1,
            last_event: Some(11),
            versions: vec![2],
        },
        durable: DurablePrefix::default(),
        expected_version: Some(3),
        priority: 4,
        scorer,
        is_long: false,
    }
}

pub(crate) fn scorer(host: &str, path: &str) -> Scorer {
    Scorer {
        request: ItemId::from("score-1"),
        host: host.to_owned(),
        path: path.to_owned(),
        body: b"text".to_vec(),
    }
}

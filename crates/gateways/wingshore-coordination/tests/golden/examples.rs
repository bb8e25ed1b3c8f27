//! Values that the examples share. Each field has a distinct value if its type allows it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use wingshore_coordination::{
    ApiKey, AssignmentId, CrashEvidence, DurablePrefix, EngineProfile, FingerprintKey,
    FinishedText, GatewayId, GatewayStatus, Heartbeat, IngressLimits, InstanceId, ItemId, ItemKey,
    ItemText, JobId, JobItem, JobSubmission, LoggedPrefix, ModelName, ModelVersion, RequestContent,
    RequestFingerprint, ResultText, Route, RouteKind, RouteTarget, RunningScoring, Scaling, Scorer,
    ServerName, ServerRecord, Service, ServiceName, SiteConfiguration, StartTime, Suspect, Tenant,
    TenantName, UsageCounts, UsageWindow, WindowUsage,
};
use wingshore_types::Epoch;

pub fn address(host: u8, port: u16) -> SocketAddr {
    ([10, 2, 3, host], port).into()
}

pub fn assignment(number: u64) -> AssignmentId {
    AssignmentId {
        epoch: Epoch(3),
        number,
    }
}

pub fn instance() -> InstanceId {
    InstanceId::new(
        ServerName::from("engine-1"),
        Some(StartTime(1_700_000_000_000)),
    )
}

/// A server that does not report its start time.
pub fn instance_without_start_time() -> InstanceId {
    InstanceId::from("engine-2")
}

pub fn job_id() -> JobId {
    JobId::from("job-1").of_tenant(Some(TenantName::from("tenant-a")))
}

pub fn item_key() -> ItemKey {
    ItemKey {
        job: job_id(),
        index: 2,
    }
}

pub fn fingerprint(body: u8) -> RequestFingerprint {
    let content = RequestContent {
        method: "POST",
        host: "site.example",
        target: "/rollouts/x",
        caller: b"tenant-a",
        body: &[body],
    };
    content.fingerprint(fingerprint_key())
}

pub fn fingerprint_key() -> FingerprintKey {
    FingerprintKey::new([7; 16])
}

pub fn crash() -> CrashEvidence {
    CrashEvidence {
        fingerprint: fingerprint(1),
        instance: instance(),
    }
}

pub fn suspect() -> Suspect {
    Suspect {
        fingerprint: fingerprint(1),
        ended: vec![instance(), instance_without_start_time()],
        rejected: true,
    }
}

pub fn item_text() -> ItemText {
    ItemText {
        text: "one\ntwo".to_owned(),
        events: 2,
        last_event: Some(9),
        versions: vec![4, 5],
    }
}

pub fn finished_text() -> FinishedText {
    FinishedText {
        text: ResultText::pack("whole text"),
        versions: vec![4, 5],
    }
}

pub fn logged_prefix() -> LoggedPrefix {
    LoggedPrefix {
        extent: DurablePrefix {
            events: 2,
            bytes: 300,
        },
        checksum: 0x1234_5678,
    }
}

pub fn gateway_status() -> GatewayStatus {
    GatewayStatus {
        ready: true,
        takes_items: false,
        configuration: 12,
    }
}

pub fn running_scoring() -> RunningScoring {
    RunningScoring {
        scoring: assignment(8),
        item: item_key(),
        made_by: assignment(7),
    }
}

pub fn scorer() -> Scorer {
    Scorer {
        request: ItemId::from("score-1"),
        host: "score.example".to_owned(),
        path: "/score/1".to_owned(),
        body: vec![6, 7],
    }
}

pub fn usage_counts() -> UsageCounts {
    let counts = [("tenant-a", 5), ("tenant-b", 300)];
    let counts = counts.map(|(tenant, count)| (TenantName::from(tenant), count));
    UsageCounts(counts.into())
}

pub fn window_usage() -> WindowUsage {
    WindowUsage {
        window: UsageWindow(340_000_000),
        counts: usage_counts(),
    }
}

pub fn gateway_id() -> GatewayId {
    GatewayId(0x0123_4567_89ab_cdef)
}

pub fn server(instance: InstanceId) -> ServerRecord {
    ServerRecord {
        instance,
        service: ServiceName::from("llm"),
        address: address(1, 9000),
        zone: "zone-a".to_owned(),
        slots: 4,
        draining: true,
        reclaimable: true,
        models: vec![ModelVersion {
            model: ModelName::from("model-1"),
            version: 130,
        }],
    }
}

pub fn heartbeat() -> Heartbeat {
    Heartbeat {
        server: server(instance()),
        sequence: 77,
    }
}

fn route(kind: RouteKind) -> Route {
    let is_batch = kind == RouteKind::Batch;
    Route {
        name: "rollouts".to_owned(),
        host: "site.example".to_owned(),
        path_prefix: format!("/{kind:?}/"),
        kind,
        timeout: Duration::from_millis(10_500),
        target_latency: Duration::from_millis(400),
        priority: 1,
        targets: vec![RouteTarget {
            service: ServiceName::from("llm"),
            weight: 3,
        }],
        max_attempts: 2,
        max_queue: is_batch.then_some(Duration::from_secs(40)),
        due: is_batch.then_some(Duration::from_millis(7500)),
        single_version: false,
        resumable: true,
        public: is_batch,
    }
}

pub fn configuration() -> SiteConfiguration {
    SiteConfiguration {
        version: 12,
        routes: vec![
            route(RouteKind::Safe),
            route(RouteKind::Unsafe),
            route(RouteKind::Streaming),
            route(RouteKind::Batch),
        ],
        services: vec![
            Service {
                name: ServiceName::from("llm"),
                health_path: "/health".to_owned(),
                max_connections: 100,
                engine: Some(EngineProfile {
                    slots: 4,
                    cache_tokens: 50_000,
                    models: vec![ModelName::from("model-1")],
                }),
                scaling: Some(Scaling {
                    min: 1,
                    max: 6,
                    boot: Duration::from_secs(30),
                    reclaimable_price: Some(0.25),
                    zone_prices: [("zone-a".to_owned(), 1.5)].into(),
                }),
            },
            Service {
                name: ServiceName::from("live"),
                health_path: "/up".to_owned(),
                max_connections: 20,
                engine: None,
                scaling: None,
            },
        ],
        limits: IngressLimits {
            head_bytes: 16_384,
            body_bytes: 1_000_000,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
        tenants: vec![Tenant {
            name: TenantName::from("tenant-a"),
            keys: vec![ApiKey::from("key-1"), ApiKey::from("key-2")],
            priority: Some(2),
        }],
        document: b"{}".to_vec(),
    }
}

pub fn submission(id: JobId) -> Arc<JobSubmission> {
    let item = |number: u32, scorer: Option<Box<Scorer>>| JobItem {
        id: ItemId::from(format!("item-{number}")),
        path: "/rollouts/x".to_owned(),
        headers: vec![("content-type".to_owned(), "text/plain".to_owned())],
        body: vec![1, 2, 3],
        tokens: 100,
        expected_output: (number > 0).then_some(40),
        group: "group-1".to_owned(),
        scorer,
    };
    Arc::new(JobSubmission {
        id,
        host: "site.example".to_owned(),
        step: 5,
        model: Some(ModelName::from("model-1")),
        min_version: 3,
        desired: 2,
        items: vec![
            item(0, None),
            item(1, Some(Box::new(scorer()))),
            item(2, None),
        ],
    })
}

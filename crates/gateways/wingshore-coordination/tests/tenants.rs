//! Tenants: validation of their configuration, lookup of keys, and ownership of jobs.
//!
//! These tests guard against failures of a version without tenants and keys: keys were forwarded to
//! servers (4,779 to 11,242 times a day), a key that a configuration had removed was still
//! accepted, and any caller that knew a job's name could read and end it.

mod support;

use googletest::prelude::*;
use std::sync::Arc;
use std::time::Duration;
use support::{Group, configuration, engine, job};
use wingshore_coordination::{
    ApiKey, Effect, Event, GatewayId, ItemId, JobId, JobSubmission, KeyTable, LeaderSettings,
    Reply, Request, RouteKind, SiteConfiguration, Tenant, TenantName,
};

fn tenant(name: &str, keys: &[&str], priority: Option<u8>) -> Tenant {
    Tenant {
        name: TenantName::from(name),
        keys: keys.iter().map(|key| ApiKey::from(*key)).collect(),
        priority,
    }
}

fn with_tenants(version: u64, tenants: Vec<Tenant>) -> SiteConfiguration {
    SiteConfiguration {
        tenants,
        ..configuration(version)
    }
}

fn of_tenant(id: &str, tenant: Option<&str>) -> JobId {
    JobId::from(id).of_tenant(tenant.map(TenantName::from))
}

fn job_of(id: &str, tenant: Option<&str>, items: u32) -> Arc<JobSubmission> {
    let mut submission = JobSubmission::clone(&job(id, items));
    submission.id = of_tenant(id, tenant);
    Arc::new(submission)
}

#[gtest]
fn a_shared_key_is_refused_without_printing_it() {
    let tenants = vec![
        tenant("a", &["one", "secret-key"], None),
        tenant("b", &["secret-key"], None),
    ];
    let error = with_tenants(2, tenants).check().unwrap_err().to_string();
    expect_that!(error, contains_substring("`a` and `b` share a key"));
    expect_that!(error, not(contains_substring("secret")));
}

#[gtest]
fn a_key_listed_twice_by_one_tenant_is_accepted() {
    let tenants = vec![tenant("a", &["one", "one"], None)];
    expect_that!(with_tenants(2, tenants).check(), ok(anything()));
}

#[gtest]
fn invalid_names_and_keys_are_refused() {
    for (tenants, reason) in [
        (vec![tenant("a", &[""], None)], "an empty key"),
        (vec![tenant("", &["one"], None)], "its name"),
        (vec![tenant("a\r\nX: y", &["one"], None)], "its name"),
        (
            vec![tenant("a", &["one"], None), tenant("a", &["two"], None)],
            "stands twice",
        ),
    ] {
        let error = with_tenants(2, tenants).check().unwrap_err().to_string();
        expect_that!(error, contains_substring(reason));
    }
}

#[gtest]
fn debug_output_hides_keys() {
    let printed = format!("{:?}", tenant("a", &["secret-key"], None));
    expect_that!(printed, not(contains_substring("secret")));
}

#[gtest]
fn each_key_identifies_its_tenant_only() {
    let keys = KeyTable::new(&[
        tenant("a", &["one", "two"], Some(0)),
        tenant("b", &["three"], None),
        tenant("shut-out", &[], None),
    ]);
    let name = |key: &str| {
        let caller = keys.find(&ApiKey::from(key));
        caller.map(|caller| caller.tenant.as_str().to_owned())
    };
    expect_that!(name("one"), some(eq("a")));
    expect_that!(name("two"), some(eq("a")));
    expect_that!(name("three"), some(eq("b")));
    expect_that!(name("four"), none());
    expect_that!(name(""), none());
}

#[gtest]
fn only_non_public_routes_require_a_key_where_there_are_tenants() {
    let mut site = with_tenants(2, vec![tenant("a", &["one"], None)]);
    let mut public = site.routes[0].clone();
    public.public = true;
    site.routes.push(public);
    expect_that!(site.requires_key(&site.routes[0]), eq(true));
    expect_that!(site.requires_key(&site.routes[1]), eq(false));
    site.tenants.clear();
    expect_that!(site.requires_key(&site.routes[0]), eq(false));
}

fn read(group: &mut Group, id: JobId) -> Option<Reply> {
    group.ask(Request::ReadJob {
        job: id,
        from: 0,
        wait: Duration::ZERO,
    })
}

#[gtest]
fn jobs_of_other_tenants_are_not_visible() {
    let mut group = Group::new();
    let submitted = group.ask(Request::SubmitJob(job_of("j", Some("a"), 2)));
    expect_that!(submitted, some(eq(&Reply::Done)));
    for other in [Some("b"), None] {
        let id = of_tenant("j", other);
        expect_that!(read(&mut group, id.clone()), some(eq(&Reply::Unknown)));
        let item = ItemId::from("j-0");
        let job = id.clone();
        let read_item = group.ask(Request::ReadItem { job, item });
        expect_that!(read_item, some(eq(&Reply::Unknown)));
        expect_that!(group.ask(Request::EndJob(id)), some(eq(&Reply::Unknown)));
    }
    let own = of_tenant("j", Some("a"));
    let page = read(&mut group, own.clone());
    expect_that!(page, some(matches_pattern!(Reply::Page(_))));
    expect_that!(group.ask(Request::EndJob(own)), some(eq(&Reply::Done)));
}

#[gtest]
fn job_names_are_scoped_to_the_tenant() {
    let mut group = Group::new();
    for (tenant, items) in [("a", 2), ("b", 3), ("a", 2)] {
        let submission = job_of("j", Some(tenant), items);
        let answer = group.ask(Request::SubmitJob(submission));
        expect_that!(answer, some(eq(&Reply::Done)));
    }
    expect_that!(group.state.jobs(), len(eq(2)));
    group.ask(Request::EndJob(of_tenant("j", Some("a"))));
    expect_that!(
        group.state.jobs()[&of_tenant("j", Some("b"))].ended,
        eq(false)
    );
}

#[gtest]
fn a_job_without_a_tenant_stays_accessible() {
    let mut group = Group::new();
    group.ask(Request::SubmitJob(job_of("j", None, 2)));
    let of_a = of_tenant("j", Some("a"));
    let page = read(&mut group, of_a.clone());
    expect_that!(page, some(matches_pattern!(Reply::Page(_))));
    let again = group.ask(Request::SubmitJob(job_of("j", Some("a"), 2)));
    expect_that!(again, some(eq(&Reply::Done)));
    expect_that!(group.state.jobs(), len(eq(1)));
    expect_that!(group.ask(Request::EndJob(of_a)), some(eq(&Reply::Done)));
}

/// Each assignment contains the tenant, even from a leader elected later.
#[gtest]
fn items_name_their_tenant_after_a_change_of_leader() {
    let mut group = Group::new();
    group.ask(Request::SubmitJob(job_of("j", Some("a"), 1)));
    group.change_leader("coordinator-b");
    group.add_gateway(1);
    group.heartbeat(engine("e1", 1));
    let items = group.assignments();
    let tenants: Vec<_> = items
        .iter()
        .map(|item| item.item.job.tenant().cloned())
        .collect();
    expect_that!(tenants, elements_are![eq(&Some(TenantName::from("a")))]);
}

/// Two jobs compete for four slots: the job of the more urgent tenant gets them although it was
/// submitted later, because the tenant's priority replaces that of the route.
#[gtest]
fn the_priority_of_a_tenant_overrides_that_of_the_route() {
    let mut group = Group::new();
    let tenants = vec![
        tenant("usual", &["one"], None),
        tenant("urgent", &["two"], Some(0)),
    ];
    let next = with_tenants(2, tenants);
    expect_that!(next.routes[0].kind, eq(RouteKind::Batch));
    expect_that!(next.routes[0].priority, eq(1));
    group.ask(Request::PutConfiguration(Arc::new(next)));
    group.ask(Request::SubmitJob(job_of("first", Some("usual"), 4)));
    group.ask(Request::SubmitJob(job_of("second", Some("urgent"), 4)));
    group.add_gateway(1);
    group.heartbeat(engine("e1", 1));
    let items = group.assignments();
    let urgent = of_tenant("second", Some("urgent"));
    expect_that!(items, len(eq(4)));
    expect_that!(items.iter().all(|item| item.item.job == urgent), eq(true));
    expect_that!(items.iter().all(|item| item.priority == 0), eq(true));
}

/// A job identifier keeps its tenant when it is encoded. Jobs belong to tenants rather than to
/// keys, since keys outlive jobs and jobs outlive keys: any caller with a current key of the tenant
/// may access the job.
#[gtest]
fn job_ids_survive_the_codec() {
    for id in [of_tenant("j", None), of_tenant("j", Some("a"))] {
        let bytes = postcard::to_allocvec(&id).unwrap();
        expect_that!(postcard::from_bytes::<JobId>(&bytes), ok(eq(&id)));
    }
}

/// Usage is counted per tenant: without tenants, no window is closed and nothing is sent.
#[gtest]
fn a_site_without_tenants_reports_no_usage() {
    let mut group = Group::with_settings(LeaderSettings {
        usage: Some(wingshore_coordination::UsageDuty {
            window: Duration::from_secs(5),
            due: Duration::from_secs(10),
        }),
        ..LeaderSettings::default()
    });
    group.event(Event::TimeAgreed(wingshore_coordination::WallTime(
        1_000_000,
    )));
    group.event(Event::UsageReported {
        gateway: GatewayId(1),
        usage: Vec::new(),
    });
    group.wait(Duration::from_secs(30));
    let reports = group.effects.iter();
    let reports = reports.filter(|effect| matches!(effect, Effect::ReportUsage(_)));
    expect_that!(reports.count(), eq(0));
}

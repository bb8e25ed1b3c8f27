//! Calls to IP addresses, and the distribution of servers over agents.

use googletest::prelude::*;
use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;
use ureq::unversioned::transport::DefaultConnector;
use ureq::{Agent, Error};
use wingshore_http::{AgentPool, IpResolver};

fn agent() -> Agent {
    let config = Agent::config_builder().build();
    Agent::with_parts(config, DefaultConnector::default(), IpResolver)
}

/// Starts a server that answers one request without content.
fn serve_once() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listener is bound");
    let address = listener.local_addr().expect("local address is known");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("connection is accepted");
        let mut request = [0; 1024];
        let length = stream.read(&mut request).expect("request is read");
        assert!(length > 0, "the caller closed the connection");
        stream
            .write_all(b"HTTP/1.1 204 No Content\r\n\r\n")
            .expect("answer is written");
    });
    address
}

#[gtest]
fn ip_addresses_are_resolved_and_host_names_are_not() {
    let address = serve_once();
    let answer = agent().get(format!("http://{address}/")).call();
    expect_that!(answer.expect("call is answered").status().as_u16(), eq(204));
    for address in ["localhost:1", "127.0.0.1", "example.org"] {
        let answer = agent().get(format!("http://{address}/")).call();
        expect_that!(answer, err(matches_pattern!(Error::HostNotFound)));
    }
}

#[gtest]
fn servers_are_spread_over_agents_and_keep_their_agent() {
    let pool = AgentPool::new(agent);
    let address_of = |agent: &Agent| std::ptr::from_ref(agent) as usize;
    let servers: Vec<SocketAddr> = (1..=1000)
        .map(|port| SocketAddr::from(([127, 0, 0, 1], port)))
        .collect();
    let chosen: Vec<usize> = servers
        .iter()
        .map(|server| address_of(pool.agent(*server)))
        .collect();
    let again: Vec<usize> = servers
        .iter()
        .map(|server| address_of(pool.clone().agent(*server)))
        .collect();
    expect_that!(chosen, eq(&again));
    let different: BTreeSet<usize> = chosen.into_iter().collect();
    expect_that!(different.len(), gt(100));
}

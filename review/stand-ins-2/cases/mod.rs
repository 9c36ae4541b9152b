//! The cases, and what they share.

mod deadly_query;
mod many_pieces;
mod one_page;
mod slow_reader;

use std::{path::PathBuf, thread, time::Duration};

use crate::{
    gateway::{self, Machine, Plan},
    record::Record,
    store::Store,
};

/// Result of a case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

/// Surroundings of a case.
pub struct Case {
    pub record: Record,
    pub folder: PathBuf,
    pub binary: PathBuf,
    /// Whether the disruption is played.
    pub trouble: bool,
}

/// Plays a case by its name.
pub fn play(name: &str, case: &Case) -> Verdict {
    match name {
        "many-pieces" => many_pieces::play(case),
        "deadly-query" => deadly_query::play(case),
        "one-page" => one_page::play(case),
        "slow-reader" => slow_reader::play(case),
        _ => Verdict::NotRun,
    }
}

impl Case {
    /// Starts the machines of a plan; `None` if one does not become ready.
    pub fn start(&self, plan: &Plan, store: &Store) -> Option<Vec<Machine>> {
        let ports = gateway::ports(plan);
        let mut machines: Vec<Machine> = (0..plan.machines)
            .map(|number| {
                Machine::new(
                    plan,
                    ports,
                    number,
                    store.address,
                    &self.folder,
                    &self.binary,
                )
            })
            .collect();
        for machine in &mut machines {
            machine.start();
        }
        for machine in &mut machines {
            if !machine.wait_until_ready() {
                self.record
                    .line(&format!("{} does not become ready", machine.name));
                return None;
            }
        }
        // Members find each other, and followers of the store their source.
        thread::sleep(Duration::from_secs(2));
        self.record
            .line(&format!("{} machines are ready", machines.len()));
        Some(machines)
    }
}

/// Tenants of every configuration.
pub const TENANTS: usize = 4;

/// Returns a plan of a small deployment.
pub fn plan(machines: usize) -> Plan {
    Plan {
        net: gateway::loopback_net(),
        machines,
        grace_s: 8,
        memory_mb: 260,
    }
}

/// Returns a configuration with these routes and services, as `config/main` holds it.
pub fn config(version: u64, routes: &[String], services: &[String]) -> String {
    let tenants = (1..=TENANTS)
        .map(|n| format!(r#"{{"name":"tenant-{n}","api_keys":["key-of-tenant-{n}"]}}"#));
    let tenants: Vec<String> = tenants.collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{}],"limits":{{"header_bytes":16384,"body_bytes":1048576,"header_timeout_ms":5000,"idle_timeout_ms":10000}},"tenants":[{}]}}"#,
        routes.join(","),
        services.join(","),
        tenants.join(",")
    )
}

/// Returns a route of a kind to a service; `more` holds further members.
pub fn route(name: &str, kind: &str, service: &str, timeout_ms: u32, more: &str) -> String {
    format!(
        r#"{{"name":"{name}","host_name":"pule25.example","path_prefix":"/{name}/","route_kind":"{kind}","service":"{service}","timeout_ms":{timeout_ms},"aim_ms":300,"priority":1{more}}}"#
    )
}

/// Returns a plain service.
pub fn service(name: &str) -> String {
    format!(r#"{{"name":"{name}","health_path":"/health","max_conns":110}}"#)
}

/// Returns the entry of a server in the store.
pub fn server(service: &str, address: std::net::SocketAddr, slots: u32) -> String {
    format!(
        r#"{{"service":"{service}","address":"{address}","zone_name":"z-a","version":"1","slot_count":{slots},"lifecycle":"ready","cold_left_ms":0,"call_seq":0}}"#
    )
}

/// Returns the text of a request of the first tenant.
pub fn request(
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u32,
    headers: &str,
    body: &str,
) -> Vec<u8> {
    request_of(1, method, path, id, deadline_ms, headers, body)
}

/// Returns the text of a tenant's request.
pub fn request_of(
    tenant: usize,
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u32,
    headers: &str,
    body: &str,
) -> Vec<u8> {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: pule25.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\n\
         Authorization: Bearer key-of-tenant-{tenant}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

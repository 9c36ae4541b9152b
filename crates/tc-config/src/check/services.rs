//! Validation of services, their upstreams and their models.

use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
};

use tc_protocol::{FleetConfig, Service, ServiceKind, ServiceName, UpstreamId};

use super::Context;
use crate::FaultKind;

pub(super) fn check(config: &FleetConfig, cx: &mut Context<'_>) {
    let mut services_by_id = BTreeMap::new();
    for (name, service) in &config.services {
        check_model(name.as_str(), service, cx);
        cx.check_positive(
            &["services", name.as_str(), "slots"],
            f64::from(service.slots),
        );
        check_upstreams(name, service, &mut services_by_id, cx);
    }
    for (name, model) in &config.models {
        if model.version.is_empty() {
            let path = ["models", name, "version"];
            cx.check_name(&path, &model.version);
        }
    }
}

fn check_model(name: &str, service: &Service, cx: &mut Context<'_>) {
    let path = ["services", name, "model"];
    match (&service.model, service.kind) {
        (None, ServiceKind::Engine) => cx.add_fault(&path, FaultKind::EngineWithoutModel),
        (Some(model), ServiceKind::Engine) => {
            cx.check_reference(&path, "models", model, |nearest, known| {
                FaultKind::UnknownModel {
                    name: model.clone(),
                    nearest,
                    known,
                }
            });
        }
        (Some(_), _) => cx.add_fault(&path, FaultKind::ModelWithoutEngine),
        (None, _) => {}
    }
}

fn check_upstreams<'a>(
    name: &'a ServiceName,
    service: &'a Service,
    services_by_id: &mut BTreeMap<&'a UpstreamId, &'a ServiceName>,
    cx: &mut Context<'_>,
) {
    let mut ids_by_address = BTreeMap::new();
    for (index, upstream) in service.upstreams.iter().enumerate() {
        let index = index.to_string();
        let path_to = |key| ["services", name.as_str(), "upstreams", &index, key];
        let id = &upstream.id;
        cx.check_name(&path_to("id"), id.as_str());
        cx.check_name(&path_to("failure_domain"), upstream.failure_domain.as_str());
        cx.check_name(&path_to("region"), upstream.region.as_str());
        if let Some(other) = services_by_id.insert(id, name) {
            let kind = FaultKind::DuplicateUpstream {
                id: id.to_string(),
                other: other.to_string(),
            };
            cx.add_fault(&path_to("id"), kind);
        }
        let address = upstream.address;
        if !is_usable(address) {
            let address = address.to_string();
            cx.add_fault(&path_to("address"), FaultKind::UnusableAddress { address });
        }
        if let Some(other) = ids_by_address.insert(address, id) {
            let kind = FaultKind::DuplicateAddress {
                address: address.to_string(),
                other: other.to_string(),
            };
            cx.add_fault(&path_to("address"), kind);
        }
    }
}

fn is_usable(address: SocketAddr) -> bool {
    let host_is_usable = match address.ip() {
        IpAddr::V4(ip) => !ip.is_unspecified() && !ip.is_multicast() && !ip.is_broadcast(),
        IpAddr::V6(ip) => !ip.is_unspecified() && !ip.is_multicast(),
    };
    host_is_usable && address.port() != 0
}

//! The configuration as an edge looks it up: routes by host and prefix, services by name.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::items::Configuration;
use crate::resources::{Limits, Route, Service};
use crate::rollouts::{ServiceRollouts, VersionAccess};

/// Routes and services by what a request is matched with.
#[derive(Clone, Debug, Default)]
pub struct RoutingTable {
    hosts: BTreeMap<String, Vec<Arc<Route>>>,
    services: BTreeMap<String, Arc<Service>>,
    /// What clients may send.
    pub limits: Limits,
    evacuated: Vec<String>,
    /// Rollouts by service, with the versions of their items.
    rollouts: BTreeMap<String, (u64, ServiceRollouts)>,
}

/// The route of a request.
pub type MatchedRoute = Arc<Route>;

impl RoutingTable {
    /// Builds the table of a configuration.
    pub fn new(of: &Configuration) -> Self {
        let mut hosts: BTreeMap<String, Vec<Arc<Route>>> = BTreeMap::new();
        for route in of.routes() {
            hosts
                .entry(route.host.to_ascii_lowercase())
                .or_default()
                .push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        RoutingTable {
            hosts,
            services: of
                .services()
                .map(|s| (s.name.clone(), Arc::new(s)))
                .collect(),
            limits: of.limits(),
            evacuated: of.evacuated().map(str::to_owned).collect(),
            rollouts: of
                .all_rollouts()
                .map(|(service, version, rollouts)| (service.to_owned(), (version, rollouts)))
                .collect(),
        }
    }

    /// The route with the longest prefix of the path among those of the host.
    pub fn match_route(&self, host: &str, path: &str) -> Option<MatchedRoute> {
        let host = host
            .rsplit_once(':')
            .map_or(host, |(name, _)| name)
            .to_ascii_lowercase();
        let routes = self.hosts.get(&host)?;
        routes
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
            .cloned()
    }

    /// A service by name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &MatchedRoute> {
        self.hosts.values().flatten()
    }

    /// Services with rollouts, the versions of their items, and the rollouts.
    pub fn rollouts(&self) -> impl Iterator<Item = (&str, u64, &ServiceRollouts)> {
        let all = self.rollouts.iter();
        all.map(|(service, (version, rollouts))| (service.as_str(), *version, rollouts))
    }

    /// What a version of a service may be sent.
    pub fn version_access(&self, service: &str, version: &str) -> VersionAccess {
        let rollouts = self.rollouts.get(service);
        rollouts.map_or(VersionAccess::Released, |(_, all)| all.access(version))
    }

    /// Whether a zone is evacuated.
    pub fn evacuated(&self, zone: &str) -> bool {
        self.evacuated.iter().any(|z| z == zone)
    }

    /// The shortest latency target of the routes that send to a service, in seconds.
    pub fn latency_target(&self, service: &str) -> Option<f64> {
        let to = |r: &&MatchedRoute| r.services().iter().any(|(s, _)| *s == service);
        self.routes()
            .filter(to)
            .map(|r| r.target_s)
            .min_by(f64::total_cmp)
    }
}

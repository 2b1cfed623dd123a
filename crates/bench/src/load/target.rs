//! What is loaded: the instances, and what stands around them.

use std::time::Duration;

use http::Method;
use sedgewall_coordination::membership::{InstanceList, OWN_GROUP};
use sedgewall_protocol::{
    caller::ModelList,
    engine::{EngineReport, REPORT_PATH},
};
use sedgewall_transport::{
    CallError, HttpClient, PlatformClient, client::Call,
    platform_client::WatchOutcome,
};
use serde::de::DeserializeOwned;

use crate::{engine::Run, plain_service::ServiceStats};

const ASK_TIME: Duration = Duration::from_secs(10);

/// Running instances and stand-ins.
#[derive(Clone, Debug)]
pub struct Target {
    /// The client that everything is sent with.
    pub http: HttpClient,
    /// Callers' addresses of the instances.
    pub entries: Vec<String>,
    /// Operators' addresses of the instances.
    pub operators: Vec<String>,
    /// Engines' addresses.
    pub engines: Vec<String>,
    /// Plain services' addresses.
    pub services: Vec<String>,
}

/// Sums of an instance's metrics.
#[derive(Clone, Copy, Debug, Default)]
pub struct MetricSums {
    /// The load stalls of all grants, in seconds.
    pub load_stall_s: f64,
    /// Grants that waited for a load.
    pub stalled: f64,
    /// Load orders.
    pub loads: f64,
}

impl Target {
    /// Finds engines and services in the platform's list.
    ///
    /// # Errors
    ///
    /// When the platform does not answer.
    pub async fn find(
        platform: &str,
        entries: Vec<String>,
    ) -> Result<Target, CallError> {
        let http = HttpClient::new()?;
        let client = PlatformClient::new(http.clone(), platform);
        let listed = client
            .watch_instances(0, Duration::ZERO)
            .await
            .map_err(|err| CallError::Unreadable(err.to_string()))?;
        let list = match listed {
            WatchOutcome::Changed(list) => list,
            WatchOutcome::Unchanged => InstanceList::default(),
        };
        let of = |prefix: &str| {
            list.instances
                .iter()
                .filter(|i| i.id.starts_with(prefix))
                .map(|i| i.address.clone())
                .collect()
        };
        let operators = list
            .instances
            .iter()
            .filter(|i| i.group == OWN_GROUP)
            .filter_map(|i| i.operator_address.clone())
            .collect();
        Ok(Target {
            http,
            entries,
            operators,
            engines: of("engine-"),
            services: of("service-"),
        })
    }

    /// Returns all models, one version of each adapter.
    ///
    /// # Errors
    ///
    /// When the first instance does not answer.
    pub async fn models(&self) -> Result<Vec<String>, CallError> {
        let entry = self.entries.first().map_or("", String::as_str);
        let list: ModelList = self.get(entry, "/v1/models").await?;
        let mut ids: Vec<String> =
            list.data.into_iter().map(|model| model.id).collect();
        ids.retain(|id| id.ends_with("@1"));
        Ok(ids)
    }

    /// Returns the reports of all engines that answer.
    pub async fn reports(&self) -> Vec<EngineReport> {
        let mut reports = Vec::new();
        for engine in &self.engines {
            if let Ok(report) = self.get(engine, REPORT_PATH).await {
                reports.push(report);
            }
        }
        reports
    }

    /// Returns everything that ran on all engines that answer.
    pub async fn runs(&self) -> Vec<Run> {
        let mut runs = Vec::new();
        for engine in self.engines.iter().chain(&self.services) {
            if let Ok(list) = self.get::<Vec<Run>>(engine, "/runs").await {
                runs.extend(list);
            }
        }
        runs
    }

    /// Returns the counts of all plain services that answer.
    pub async fn service_stats(&self) -> Vec<ServiceStats> {
        let mut all = Vec::new();
        for service in &self.services {
            if let Ok(stats) = self.get(service, "/stats").await {
                all.push(stats);
            }
        }
        all
    }

    /// Returns the sums of the metrics of all instances that answer.
    pub async fn metric_sums(&self) -> MetricSums {
        let mut sums = MetricSums::default();
        for operator in &self.operators {
            let url = format!("http://{operator}/metrics");
            let call = Call::new(Method::GET, url);
            let Ok(answer) = self.http.call(call, ASK_TIME).await else {
                continue;
            };
            let text = String::from_utf8_lossy(&answer.body);
            let sum = |name: &str| metric(&text, name);
            sums.load_stall_s += sum("sedgewall_load_stall_seconds_sum");
            sums.stalled += sum("sedgewall_load_stall_seconds_count");
            sums.loads += sum("sedgewall_loads_total");
        }
        sums
    }

    async fn get<T: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
    ) -> Result<T, CallError> {
        let call = Call::new(Method::GET, format!("http://{address}{path}"));
        let answer = self.http.call(call, ASK_TIME).await?;
        serde_json::from_slice(&answer.body)
            .map_err(|err| CallError::Unreadable(err.to_string()))
    }
}

/// Returns a metric's value from the Prometheus text format; 0 if missing.
pub fn metric(text: &str, name: &str) -> f64 {
    text.lines()
        .filter_map(|line| line.split_once(' '))
        .filter(|(key, _)| {
            key.split('{').next().is_some_and(|bare| bare == name)
        })
        .filter_map(|(_, value)| value.trim().parse::<f64>().ok())
        .sum()
}

//! The interface to the platform: list, start, stop, report usage. [`PlatformApi`] is what the program needs
//! of any platform; [`PlatformClient`] implements it over vanelane's own HTTP API (`docs/design.md`).

use awc::Client;
use awc::http::StatusCode;
use function_scheduler::{ListedInstance, ListedWorker};
use futures_util::future::LocalBoxFuture;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Maximum size of a list response, in bytes.
const LIST_LIMIT: usize = 8 * 1024 * 1024;
/// Maximum size of any other response, in bytes.
const RESPONSE_LIMIT: usize = 64 * 1024;

macro_rules! platform_documents {
    ($($(#[$note:meta])* $name:ident { $($(#[$field_note:meta])* $field:ident: $type:ty,)* })*) => {
        $(#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
        $(#[$note])*
        pub struct $name { $($(#[$field_note])* pub $field: $type,)* })*
    };
}

platform_documents! {
    /// A worker in the list; `state` is `ready` or `draining`, `zone` may be left out.
    WorkerDocument { id: String, memory_mb: u64, state: String, #[serde(default)] zone: String, }
    /// An instance in the list; `state` is `running` or `leaving` (draining). Booting instances count as
    /// running.
    #[serde(rename = "CellDocument")]
    InstanceDocument {
        id: String, function: String, worker: String, address: SocketAddr, memory_mb: u64, state: String,
    }
    /// The response to `GET /cells`.
    ListDocument { workers: Vec<WorkerDocument>, #[serde(rename = "cells")] instances: Vec<InstanceDocument>, }
    /// The body of `POST /cells`; a start with a repeated start id has no further effect. The start id has at
    /// most [`function_scheduler::START_ID_LIMIT`] bytes.
    StartDocument { start_id: String, function: String, worker: String, memory_mb: u64, }
    /// The response to `POST /cells`.
    StartedDocument { #[serde(rename = "cell")] instance: String, address: SocketAddr, }
    /// The usage of one window: the number of calls of each tenant that began in it.
    UsageDocument { window: u64, counts: BTreeMap<String, u64>, }
    /// The body of `POST /usage`. For each window the first report counts; fences only rise from one
    /// holder to the next.
    UsageReportDocument { holder: String, fence: u64, #[serde(flatten)] usage: UsageDocument, }
}

/// The platform's response to a start. Example: `StartResponse::NoRoom` for 409.
#[derive(Clone, Debug, PartialEq)]
pub enum StartResponse {
    /// 201.
    Started(StartedDocument),
    /// 409: no room, or the worker is draining or unknown.
    NoRoom,
    /// 429.
    Throttled,
    /// No response, or one that leaves the result unknown.
    Unknown,
}

/// The platform's response to a stop. Example: `StopResponse::Stopped` for 200, 202, 204 and 404.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopResponse {
    /// The instance is stopping or gone.
    Stopped,
    /// 429.
    Throttled,
    /// No response, or one that leaves the result unknown.
    Unknown,
}

/// The platform's response to a usage report. Example: `UsageResponse::Fenced` for 409.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UsageResponse {
    /// 200: accepted, now or before.
    Accepted,
    /// 409: the platform has seen a higher fence.
    Fenced,
    /// 429.
    Throttled,
    /// No response, or one that leaves the result unknown.
    Unknown,
}

impl From<StatusCode> for UsageResponse {
    fn from(status: StatusCode) -> UsageResponse {
        match status {
            StatusCode::CONFLICT => UsageResponse::Fenced,
            StatusCode::TOO_MANY_REQUESTS => UsageResponse::Throttled,
            status if status.is_success() => UsageResponse::Accepted,
            _ => UsageResponse::Unknown,
        }
    }
}

/// The node that requests a platform operation, and its leader epoch.
/// Example: `OperationStamp { fence: 12, .. }`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperationStamp {
    /// The node's name.
    pub holder: String,
    /// The leader epoch; it increases with each new leader of a function.
    pub fence: u64,
}

/// Workers and instances as the platform lists them, possibly outdated.
pub type PlatformList = (Vec<ListedWorker>, Vec<ListedInstance>);

/// The operations of any platform. Example: `platform.list().await`.
pub trait PlatformApi {
    /// Lists workers and instances; `None` without a valid response.
    /// Example: `platform.list().await.is_some()`.
    fn list(&self) -> LocalBoxFuture<'static, Option<PlatformList>>;
    /// Starts an instance; a repeated start id has no further effect.
    /// Example: `platform.start(stamp, start)`.
    fn start(&self, stamp: OperationStamp, start: StartDocument) -> LocalBoxFuture<'static, StartResponse>;
    /// Stops an instance; stopping one that is gone is no error.
    /// Example: `platform.stop(stamp, "c1".into())`.
    fn stop(&self, stamp: OperationStamp, instance: String) -> LocalBoxFuture<'static, StopResponse>;
    /// Reports a window's usage; an exact repeat has no effect.
    /// Example: `platform.report_usage(stamp, usage)`.
    fn report_usage(
        &self,
        stamp: OperationStamp,
        usage: UsageDocument,
    ) -> LocalBoxFuture<'static, UsageResponse>;
    /// The same platform at another address. Example: after a reload of the settings.
    fn with_address(&self, address: SocketAddr) -> Rc<dyn PlatformApi>;
}

impl PlatformApi for PlatformClient {
    fn list(&self) -> LocalBoxFuture<'static, Option<PlatformList>> {
        let client = self.clone();
        Box::pin(async move { PlatformClient::list(&client).await })
    }

    fn start(&self, _: OperationStamp, start: StartDocument) -> LocalBoxFuture<'static, StartResponse> {
        let client = self.clone();
        Box::pin(async move { PlatformClient::start(&client, &start).await })
    }

    fn stop(&self, _: OperationStamp, instance: String) -> LocalBoxFuture<'static, StopResponse> {
        let client = self.clone();
        Box::pin(async move { PlatformClient::stop(&client, &instance).await })
    }

    fn report_usage(
        &self,
        stamp: OperationStamp,
        usage: UsageDocument,
    ) -> LocalBoxFuture<'static, UsageResponse> {
        let client = self.clone();
        let report = UsageReportDocument { holder: stamp.holder, fence: stamp.fence, usage };
        Box::pin(async move { PlatformClient::report_usage(&client, &report).await })
    }

    fn with_address(&self, address: SocketAddr) -> Rc<dyn PlatformApi> {
        Rc::new(PlatformClient::new(address))
    }
}

/// A client of one platform. Example: `PlatformClient::new("127.0.0.1:9000".parse().unwrap())`.
#[derive(Clone)]
pub struct PlatformClient {
    client: Client,
    base_url: String,
}

impl PlatformClient {
    /// A client that follows no redirects, with a timeout of two seconds per request.
    /// Example: `PlatformClient::new(address).list().await`.
    pub fn new(platform_address: SocketAddr) -> PlatformClient {
        let client = Client::builder().timeout(Duration::from_secs(2)).disable_redirects().finish();
        PlatformClient { client, base_url: format!("http://{platform_address}") }
    }

    /// Workers and instances as the platform lists them, possibly outdated; `None` without a valid response.
    /// Example: `let Some((workers, instances)) = client.list().await else { return };`.
    pub async fn list(&self) -> Option<(Vec<ListedWorker>, Vec<ListedInstance>)> {
        let mut response = self.client.get(format!("{}/cells", self.base_url)).send().await.ok()?;
        if response.status() != StatusCode::OK {
            return None;
        }
        let body = response.body().limit(LIST_LIMIT).await.ok()?;
        let list: ListDocument = serde_json::from_slice(&body).ok()?;
        let workers = list
            .workers
            .into_iter()
            .map(|worker| ListedWorker {
                draining: worker.state != "ready",
                id: worker.id,
                memory_mb: worker.memory_mb,
                free_mb: None,
                zone: worker.zone,
            })
            .collect();
        let instances = list
            .instances
            .into_iter()
            .map(|instance| ListedInstance {
                draining: instance.state != "running",
                started: false,
                id: instance.id,
                function: instance.function,
                worker: instance.worker,
                address: instance.address,
                memory_mb: instance.memory_mb,
            })
            .collect();
        Some((workers, instances))
    }

    /// Starts an instance. Example: `client.start(&StartDocument { .. }).await == StartResponse::Throttled`.
    pub async fn start(&self, start: &StartDocument) -> StartResponse {
        let sending = self.client.post(format!("{}/cells", self.base_url)).send_json(start);
        let Ok(mut response) = sending.await else { return StartResponse::Unknown };
        match response.status() {
            StatusCode::CREATED | StatusCode::OK => {
                let Ok(body) = response.body().limit(RESPONSE_LIMIT).await else {
                    return StartResponse::Unknown;
                };
                serde_json::from_slice(&body).map_or(StartResponse::Unknown, StartResponse::Started)
            }
            StatusCode::CONFLICT => StartResponse::NoRoom,
            StatusCode::TOO_MANY_REQUESTS => StartResponse::Throttled,
            _ => StartResponse::Unknown,
        }
    }

    /// Stops an instance; stopping one that is gone is no error.
    /// Example: `client.stop("c12").await == StopResponse::Stopped`.
    pub async fn stop(&self, instance: &str) -> StopResponse {
        let sending = self.client.delete(format!("{}/cells/{instance}", self.base_url)).send();
        let Ok(response) = sending.await else { return StopResponse::Unknown };
        match response.status() {
            StatusCode::OK | StatusCode::ACCEPTED | StatusCode::NO_CONTENT | StatusCode::NOT_FOUND => {
                StopResponse::Stopped
            }
            StatusCode::TOO_MANY_REQUESTS => StopResponse::Throttled,
            _ => StopResponse::Unknown,
        }
    }

    /// Reports a window's usage. Example: `client.report_usage(&report).await == UsageResponse::Accepted`.
    pub async fn report_usage(&self, report: &UsageReportDocument) -> UsageResponse {
        let sending = self.client.post(format!("{}/usage", self.base_url)).send_json(report);
        sending.await.map_or(UsageResponse::Unknown, |response| response.status().into())
    }
}

//! The narrow seam to the platform: list, start, stop, report usage. [`PlatformApi`] is what the program needs of any
//! platform; [`PlatformClient`] speaks vanelane's own form of it (`docs/design.md`).

use awc::Client;
use awc::http::StatusCode;
use function_scheduler::{ListedInstance, ListedWorker};
use futures_util::future::LocalBoxFuture;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

const LIST_LIMIT: usize = 8 * 1024 * 1024;
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
    /// A cell in the list; `state` is `running` or `leaving`. Booting cells count as running.
    #[serde(rename = "CellDocument")]
    InstanceDocument {
        id: String, function: String, worker: String, address: SocketAddr, memory_mb: u64, state: String,
    }
    /// The answer to `GET /cells`.
    ListDocument { workers: Vec<WorkerDocument>, #[serde(rename = "cells")] instances: Vec<InstanceDocument>, }
    /// The body of `POST /cells`; a repeated start id starts nothing twice.
    StartDocument { start_id: String, function: String, worker: String, memory_mb: u64, }
    /// The answer to `POST /cells`.
    StartedDocument { #[serde(rename = "cell")] instance: String, address: SocketAddr, }
    /// What is reported of a window of usage: how many calls of each tenant began in it.
    UsageDocument { window: u64, counts: BTreeMap<String, u64>, }
    /// The body of `POST /usage`; for a window the first report counts, the fences of holders only rise.
    UsageReportDocument { holder: String, fence: u64, #[serde(flatten)] usage: UsageDocument, }
}

/// The platform's answer to a start. Example: `StartResponse::NoRoom` for 409.
#[derive(Clone, Debug, PartialEq)]
pub enum StartResponse {
    /// 201.
    Started(StartedDocument),
    /// 409: no room, or the worker is draining or unknown.
    NoRoom,
    /// 429.
    Throttled,
    /// No answer, or one that says nothing.
    Unknown,
}

/// The platform's answer to a stop. Example: `StopResponse::Stopped` for 200, 202, 204 and 404.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopResponse {
    /// It is stopping or gone.
    Stopped,
    /// 429.
    Throttled,
    /// No answer, or one that says nothing.
    Unknown,
}

/// The platform's answer to a report of usage. Example: `UsageResponse::Fenced` for 409.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UsageResponse {
    /// 200: accepted, now or before.
    Accepted,
    /// 409: a higher fence was seen.
    Fenced,
    /// 429.
    Throttled,
    /// No answer, or one that says nothing.
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

/// Who acts at the platform, and under which steward epoch. Example: `OperationStamp { fence: 12, .. }`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperationStamp {
    /// The node.
    pub holder: String,
    /// The steward epoch; it rises with each steward of a function.
    pub fence: u64,
}

/// Workers and cells as the platform shows them, perhaps late.
pub type PlatformList = (Vec<ListedWorker>, Vec<ListedInstance>);

/// What any platform is asked. Example: `platform.list().await`.
pub trait PlatformApi {
    /// Workers and cells; `None` without a sound answer. Example: `platform.list().await.is_some()`.
    fn list(&self) -> LocalBoxFuture<'static, Option<PlatformList>>;
    /// Starts a cell; a repeated start id starts nothing twice. Example: `platform.start(stamp, start)`.
    fn start(&self, stamp: OperationStamp, start: StartDocument) -> LocalBoxFuture<'static, StartResponse>;
    /// Stops a cell; stopping one that is gone is no failure. Example: `platform.stop(stamp, "c1".into())`.
    fn stop(&self, stamp: OperationStamp, instance: String) -> LocalBoxFuture<'static, StopResponse>;
    /// Reports a window's usage; an exact repeat changes nothing. Example: `platform.report_usage(stamp, usage)`.
    fn report_usage(
        &self,
        stamp: OperationStamp,
        usage: UsageDocument,
    ) -> LocalBoxFuture<'static, UsageResponse>;
    /// The same platform at another address. Example: after a reload of the settings.
    fn moved(&self, address: SocketAddr) -> Rc<dyn PlatformApi>;
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

    fn moved(&self, address: SocketAddr) -> Rc<dyn PlatformApi> {
        Rc::new(PlatformClient::new(address))
    }
}

/// A client of one platform. Example: `PlatformClient::new("127.0.0.1:9000".parse().unwrap())`.
#[derive(Clone)]
pub struct PlatformClient {
    client: Client,
    base: String,
}

impl PlatformClient {
    /// A client without hidden redirects; each act has two seconds.
    /// Example: `PlatformClient::new(address).list().await`.
    pub fn new(platform_address: SocketAddr) -> PlatformClient {
        let client = Client::builder().timeout(Duration::from_secs(2)).disable_redirects().finish();
        PlatformClient { client, base: format!("http://{platform_address}") }
    }

    /// Workers and cells as the platform shows them, perhaps late; `None` without a sound answer.
    /// Example: `let Some((workers, instances)) = client.list().await else { return };`.
    pub async fn list(&self) -> Option<(Vec<ListedWorker>, Vec<ListedInstance>)> {
        let mut response = self.client.get(format!("{}/cells", self.base)).send().await.ok()?;
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

    /// Starts a cell. Example: `client.start(&StartDocument { .. }).await == StartResponse::Throttled`.
    pub async fn start(&self, start: &StartDocument) -> StartResponse {
        let sending = self.client.post(format!("{}/cells", self.base)).send_json(start);
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

    /// Stops a cell; stopping one that is gone is no failure.
    /// Example: `client.stop("c12").await == StopResponse::Stopped`.
    pub async fn stop(&self, instance: &str) -> StopResponse {
        let sending = self.client.delete(format!("{}/cells/{instance}", self.base)).send();
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
        let sending = self.client.post(format!("{}/usage", self.base)).send_json(report);
        sending.await.map_or(UsageResponse::Unknown, |response| response.status().into())
    }
}

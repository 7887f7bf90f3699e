//! The narrow seam to the platform: list, start, stop, report usage. [`PlatformApi`] is what the program needs of any
//! platform; [`PlatformClient`] speaks vanelane's own form of it (`docs/design.md`).

use awc::Client;
use awc::http::StatusCode;
use function_scheduler::{ListedCell, ListedWorker};
use futures_util::future::LocalBoxFuture;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

const LIST_LIMIT: usize = 8 * 1024 * 1024;
const ANSWER_LIMIT: usize = 64 * 1024;

macro_rules! platform_documents {
    ($($(#[$note:meta])* $name:ident { $($(#[$field_note:meta])* $field:ident: $type:ty,)* })*) => {
        $($(#[$note])*
        #[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
        pub struct $name { $($(#[$field_note])* pub $field: $type,)* })*
    };
}

platform_documents! {
    /// A worker in the list; `state` is `ready` or `draining`, `zone` may be left out.
    WorkerDocument { id: String, memory_mb: u64, state: String, #[serde(default)] zone: String, }
    /// A cell in the list; `state` is `running` or `leaving`. Booting cells count as running.
    CellDocument {
        id: String, function: String, worker: String, address: SocketAddr, memory_mb: u64, state: String,
    }
    /// The answer to `GET /cells`.
    ListDocument { workers: Vec<WorkerDocument>, cells: Vec<CellDocument>, }
    /// The body of `POST /cells`; a repeated start id starts nothing twice.
    StartDocument { start_id: String, function: String, worker: String, memory_mb: u64, }
    /// The answer to `POST /cells`.
    StartedDocument { cell: String, address: SocketAddr, }
    /// What is reported of a window of usage: how many calls of each tenant began in it.
    UsageDocument { window: u64, counts: BTreeMap<String, u64>, }
    /// The body of `POST /usage`; for a window the first report counts, the fences of holders only rise.
    UsageReportDocument { holder: String, fence: u64, #[serde(flatten)] usage: UsageDocument, }
}

/// The platform's answer to a start. Example: `StartAnswer::NoRoom` for 409.
#[derive(Clone, Debug, PartialEq)]
pub enum StartAnswer {
    /// 201.
    Started(StartedDocument),
    /// 409: no room, or the worker is draining or unknown.
    NoRoom,
    /// 429.
    Throttled,
    /// No answer, or one that says nothing.
    Unknown,
}

/// The platform's answer to a stop. Example: `StopAnswer::Stopped` for 200, 202, 204 and 404.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopAnswer {
    /// It is stopping or gone.
    Stopped,
    /// 429.
    Throttled,
    /// No answer, or one that says nothing.
    Unknown,
}

/// The platform's answer to a report of usage. Example: `UsageAnswer::Fenced` for 409.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UsageAnswer {
    /// 200: accepted, now or before.
    Accepted,
    /// 409: a higher fence was seen.
    Fenced,
    /// 429.
    Throttled,
    /// No answer, or one that says nothing.
    Unknown,
}

impl From<StatusCode> for UsageAnswer {
    fn from(status: StatusCode) -> UsageAnswer {
        match status {
            StatusCode::CONFLICT => UsageAnswer::Fenced,
            StatusCode::TOO_MANY_REQUESTS => UsageAnswer::Throttled,
            status if status.is_success() => UsageAnswer::Accepted,
            _ => UsageAnswer::Unknown,
        }
    }
}

/// Who acts at the platform, and under which steward epoch. Example: `ActStamp { fence: 12, .. }`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ActStamp {
    /// The node.
    pub holder: String,
    /// The steward epoch; it rises with each steward of a function.
    pub fence: u64,
}

/// Workers and cells as the platform shows them, perhaps late.
pub type PlatformList = (Vec<ListedWorker>, Vec<ListedCell>);

/// What any platform is asked. Example: `platform.list().await`.
pub trait PlatformApi {
    /// Workers and cells; `None` without a sound answer. Example: `platform.list().await.is_some()`.
    fn list(&self) -> LocalBoxFuture<'static, Option<PlatformList>>;
    /// Starts a cell; a repeated start id starts nothing twice. Example: `platform.start(stamp, start)`.
    fn start(&self, stamp: ActStamp, start: StartDocument) -> LocalBoxFuture<'static, StartAnswer>;
    /// Stops a cell; stopping one that is gone is no failure. Example: `platform.stop(stamp, "c1".into())`.
    fn stop(&self, stamp: ActStamp, cell: String) -> LocalBoxFuture<'static, StopAnswer>;
    /// Reports a window's usage; an exact repeat changes nothing. Example: `platform.report_usage(stamp, usage)`.
    fn report_usage(&self, stamp: ActStamp, usage: UsageDocument) -> LocalBoxFuture<'static, UsageAnswer>;
    /// The same platform at another address. Example: after a reload of the settings.
    fn moved(&self, address: SocketAddr) -> Rc<dyn PlatformApi>;
}

impl PlatformApi for PlatformClient {
    fn list(&self) -> LocalBoxFuture<'static, Option<PlatformList>> {
        let client = self.clone();
        Box::pin(async move { PlatformClient::list(&client).await })
    }

    fn start(&self, _: ActStamp, start: StartDocument) -> LocalBoxFuture<'static, StartAnswer> {
        let client = self.clone();
        Box::pin(async move { PlatformClient::start(&client, &start).await })
    }

    fn stop(&self, _: ActStamp, cell: String) -> LocalBoxFuture<'static, StopAnswer> {
        let client = self.clone();
        Box::pin(async move { PlatformClient::stop(&client, &cell).await })
    }

    fn report_usage(&self, stamp: ActStamp, usage: UsageDocument) -> LocalBoxFuture<'static, UsageAnswer> {
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
    /// Example: `let Some((workers, cells)) = client.list().await else { return };`.
    pub async fn list(&self) -> Option<(Vec<ListedWorker>, Vec<ListedCell>)> {
        let mut answer = self.client.get(format!("{}/cells", self.base)).send().await.ok()?;
        if answer.status() != StatusCode::OK {
            return None;
        }
        let body = answer.body().limit(LIST_LIMIT).await.ok()?;
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
        let cells = list
            .cells
            .into_iter()
            .map(|cell| ListedCell {
                leaving: cell.state != "running",
                started: false,
                id: cell.id,
                function: cell.function,
                worker: cell.worker,
                address: cell.address,
                memory_mb: cell.memory_mb,
            })
            .collect();
        Some((workers, cells))
    }

    /// Starts a cell. Example: `client.start(&StartDocument { .. }).await == StartAnswer::Throttled`.
    pub async fn start(&self, start: &StartDocument) -> StartAnswer {
        let sending = self.client.post(format!("{}/cells", self.base)).send_json(start);
        let Ok(mut answer) = sending.await else { return StartAnswer::Unknown };
        match answer.status() {
            StatusCode::CREATED | StatusCode::OK => {
                let Ok(body) = answer.body().limit(ANSWER_LIMIT).await else { return StartAnswer::Unknown };
                serde_json::from_slice(&body).map_or(StartAnswer::Unknown, StartAnswer::Started)
            }
            StatusCode::CONFLICT => StartAnswer::NoRoom,
            StatusCode::TOO_MANY_REQUESTS => StartAnswer::Throttled,
            _ => StartAnswer::Unknown,
        }
    }

    /// Stops a cell; stopping one that is gone is no failure.
    /// Example: `client.stop("c12").await == StopAnswer::Stopped`.
    pub async fn stop(&self, cell: &str) -> StopAnswer {
        let sending = self.client.delete(format!("{}/cells/{cell}", self.base)).send();
        let Ok(answer) = sending.await else { return StopAnswer::Unknown };
        match answer.status() {
            StatusCode::OK | StatusCode::ACCEPTED | StatusCode::NO_CONTENT | StatusCode::NOT_FOUND => {
                StopAnswer::Stopped
            }
            StatusCode::TOO_MANY_REQUESTS => StopAnswer::Throttled,
            _ => StopAnswer::Unknown,
        }
    }

    /// Reports a window's usage. Example: `client.report_usage(&report).await == UsageAnswer::Accepted`.
    pub async fn report_usage(&self, report: &UsageReportDocument) -> UsageAnswer {
        let sending = self.client.post(format!("{}/usage", self.base)).send_json(report);
        sending.await.map_or(UsageAnswer::Unknown, |answer| answer.status().into())
    }
}

//! A supervisor tree: each part of the program is a named child that is restarted a limited number of times
//! when it fails or panics. A child that exceeds the limit fails its supervisor, and so on up the tree.

use error_stack::Report;
use std::future::Future;
use std::pin::Pin;
use std::time::{Duration, Instant};

/// The name of a child that failed permanently. Example: `ChildError("colleague listener".into())`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChildError(pub String);

impl std::fmt::Display for ChildError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{} failed for good", self.0)
    }
}

impl std::error::Error for ChildError {}

type ChildFuture = Pin<Box<dyn Future<Output = Result<(), Report<ChildError>>>>>;

struct Child {
    name: String,
    make_work: Box<dyn Fn() -> ChildFuture>,
}

/// Limits on the restarts of a child. Example: `RestartPolicy::default().restarts == 5`.
#[derive(Clone, Copy, Debug)]
pub struct RestartPolicy {
    /// Restarts allowed within the span `within`. One more failure ends the supervisor.
    pub restarts: usize,
    /// The span over which failures are counted.
    pub within: Duration,
    /// Pause before a restart.
    pub pause: Duration,
}

impl Default for RestartPolicy {
    fn default() -> RestartPolicy {
        RestartPolicy { restarts: 5, within: Duration::from_secs(30), pause: Duration::from_millis(200) }
    }
}

/// A supervisor of children on one thread. It can itself be the child of another supervisor.
/// Example: `Supervisor::new("vanelane", RestartPolicy::default()).child("list", || async { Ok(()) })`.
pub struct Supervisor {
    name: String,
    restart_policy: RestartPolicy,
    children: Vec<Child>,
}

impl Supervisor {
    /// A supervisor without children. Example: `Supervisor::new("root", RestartPolicy::default())`.
    pub fn new(name: &str, restart_policy: RestartPolicy) -> Supervisor {
        Supervisor { name: name.to_owned(), restart_policy, children: Vec::new() }
    }

    /// Adds a child with the function that creates its future. A child that returns `Ok` is not restarted.
    /// Example: `supervisor.child("colleague listener", move || listen(port))`.
    pub fn child<Work>(mut self, name: &str, make_work: impl Fn() -> Work + 'static) -> Supervisor
    where
        Work: Future<Output = Result<(), Report<ChildError>>> + 'static,
    {
        let child_name = format!("{}/{name}", self.name);
        self.children.push(Child { name: child_name, make_work: Box::new(move || Box::pin(make_work())) });
        self
    }

    /// Runs the children until all have returned `Ok` or one has failed permanently, which aborts the others.
    /// Example: `supervisor.run().await?`.
    pub async fn run(self) -> Result<(), Report<ChildError>> {
        let restart_policy = self.restart_policy;
        let mut tasks = tokio::task::JoinSet::new();
        for child in self.children {
            tasks.spawn_local(run_with_restarts(child, restart_policy));
        }
        while let Some(ended) = tasks.join_next().await {
            match ended {
                Ok(Ok(())) => {}
                Ok(Err(failure)) => return Err(failure),
                Err(join_error) => return Err(Report::new(ChildError(join_error.to_string()))),
            }
        }
        Ok(())
    }
}

/// Aborts the child's task when the task that restarts it is aborted.
struct AbortOnDrop(tokio::task::AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

async fn run_with_restarts(child: Child, restart_policy: RestartPolicy) -> Result<(), Report<ChildError>> {
    let mut failed_at: Vec<Instant> = Vec::new();
    loop {
        let task = tokio::task::spawn_local((child.make_work)());
        let _abort_on_drop = AbortOnDrop(task.abort_handle());
        let reason = match task.await {
            Ok(Ok(())) => return Ok(()),
            Ok(Err(failure)) => format!("{failure:?}"),
            Err(join_error) => join_error.to_string(),
        };
        log::error!("supervised task {} failed: {reason}", child.name);
        failed_at.retain(|failed| failed.elapsed() < restart_policy.within);
        failed_at.push(Instant::now());
        if failed_at.len() > restart_policy.restarts {
            return Err(Report::new(ChildError(child.name)).attach(reason));
        }
        tokio::time::sleep(restart_policy.pause).await;
    }
}

#[cfg(test)]
mod tests;

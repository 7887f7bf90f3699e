//! A supervisor tree: each part of the program is a named child that is started anew when it fails
//! or panics, a few times; a child that goes on failing ends its supervisor, and so up the tree.

use error_stack::Report;
use std::future::Future;
use std::pin::Pin;
use std::time::{Duration, Instant};

/// A child that was given up. Example: `ChildError("colleague listener".into())`.
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
    make: Box<dyn Fn() -> ChildFuture>,
}

/// How often a child may be started anew. Example: `RestartPolicy::default().restarts == 5`.
#[derive(Clone, Copy, Debug)]
pub struct RestartPolicy {
    /// So many restarts...
    pub restarts: usize,
    /// ...within this span; one more ends the supervisor.
    pub within: Duration,
    /// Pause before a restart.
    pub pause: Duration,
}

impl Default for RestartPolicy {
    fn default() -> RestartPolicy {
        RestartPolicy { restarts: 5, within: Duration::from_secs(30), pause: Duration::from_millis(200) }
    }
}

/// A supervisor of children on one thread; it is itself a fit child of another.
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

    /// Adds a child by what makes its work. Work that ends well is not started again.
    /// Example: `supervisor.child("colleague listener", move || listen(port))`.
    pub fn child<Work>(mut self, name: &str, make: impl Fn() -> Work + 'static) -> Supervisor
    where
        Work: Future<Output = Result<(), Report<ChildError>>> + 'static,
    {
        let child_name = format!("{}/{name}", self.name);
        self.children.push(Child { name: child_name, make: Box::new(move || Box::pin(make())) });
        self
    }

    /// Runs all children until all ended well or one was given up; the others are then ended.
    /// Example: `supervisor.run().await?`.
    pub async fn run(self) -> Result<(), Report<ChildError>> {
        let restart_policy = self.restart_policy;
        let mut keepers = tokio::task::JoinSet::new();
        for child in self.children {
            keepers.spawn_local(keep(child, restart_policy));
        }
        while let Some(kept) = keepers.join_next().await {
            match kept {
                Ok(Ok(())) => {}
                Ok(Err(failure)) => return Err(failure),
                Err(broken) => return Err(Report::new(ChildError(broken.to_string()))),
            }
        }
        Ok(())
    }
}

/// Ends the child's work when its keeper is ended.
struct EndOnDrop(tokio::task::AbortHandle);

impl Drop for EndOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

async fn keep(child: Child, restart_policy: RestartPolicy) -> Result<(), Report<ChildError>> {
    let mut failed_at: Vec<Instant> = Vec::new();
    loop {
        let working = tokio::task::spawn_local((child.make)());
        let _ending = EndOnDrop(working.abort_handle());
        let reason = match working.await {
            Ok(Ok(())) => return Ok(()),
            Ok(Err(failure)) => format!("{failure:?}"),
            Err(broken) => broken.to_string(),
        };
        log::error!("{} failed: {reason}", child.name);
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

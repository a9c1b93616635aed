//! Start-time fair queueing of workspaces by cost in tokens.

use std::collections;

use crate::{grant, name, unit};

/// A waiting placement request with its latest start time.
#[derive(Clone, Debug)]
pub struct WaitingRequest {
    /// The placement request.
    pub request: grant::PlacementRequest,
    /// The latest start time at which the request is expected to meet its deadline.
    pub latest_start: unit::Timestamp,
}

/// The state of a workspace with waiting requests.
#[derive(Debug)]
struct Account {
    /// The virtual start time of the first waiting request.
    start: u64,
    /// The total cost of the waiting requests.
    cost: unit::Tokens,
    waiting: collections::VecDeque<WaitingRequest>,
}

/// A queue that serves workspaces in order of the cost that each has received, lowest first.
///
/// State is kept only for workspaces that have waiting requests or are ahead of the others. Push
/// and pop take logarithmic time in the number of workspaces.
#[derive(Debug, Default)]
pub struct FairQueue {
    accounts: collections::HashMap<name::WorkspaceName, Account>,
    /// The workspaces with waiting requests, by virtual start time.
    by_start: collections::BTreeSet<(u64, name::WorkspaceName)>,
    /// The virtual finish times of workspaces that have no waiting requests but are ahead of the
    /// others.
    finish_times: collections::HashMap<name::WorkspaceName, u64>,
    virtual_time: u64,
    sweep_threshold: usize,
    cost: unit::Tokens,
    len: usize,
}

/// The minimum number of finish times before outdated ones are removed.
const MIN_SWEEP_ENTRIES: usize = 1_024;

impl FairQueue {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns `true` if no requests are waiting.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the total cost of the waiting requests.
    pub fn cost(&self) -> unit::Tokens {
        self.cost
    }

    /// Estimates the cost that is served before a new request of the workspace, with fair shares.
    pub fn cost_ahead(&self, workspace: &name::WorkspaceName) -> unit::Tokens {
        let Some(account) = self.accounts.get(workspace) else {
            // A workspace without waiting requests waits for about one request of each other one.
            let mean_cost = self.cost.0 / (self.len.max(1) as u64);
            return unit::Tokens(mean_cost * self.accounts.len() as u64).min(self.cost);
        };
        let fair = account.cost.0.saturating_mul(self.accounts.len() as u64);
        unit::Tokens(fair).min(self.cost)
    }

    /// Adds a request after the others of its workspace.
    pub fn push(&mut self, waiting: WaitingRequest) {
        let cost = waiting.request.size.cost();
        let workspace = waiting.request.workspace.clone();
        self.cost += cost;
        self.len += 1;
        if let Some(account) = self.accounts.get_mut(&workspace) {
            account.cost += cost;
            account.waiting.push_back(waiting);
            return;
        }
        let finished = self.finish_times.remove(&workspace).unwrap_or(0);
        let start = finished.max(self.virtual_time);
        self.by_start.insert((start, workspace.clone()));
        let waiting = collections::VecDeque::from([waiting]);
        self.accounts.insert(
            workspace,
            Account {
                start,
                cost,
                waiting,
            },
        );
    }

    /// Returns the next request.
    pub fn peek(&self) -> Option<&WaitingRequest> {
        let (_, workspace) = self.by_start.first()?;
        self.accounts.get(workspace)?.waiting.front()
    }

    /// Removes the next request and charges its workspace for it.
    pub fn pop(&mut self) -> Option<WaitingRequest> {
        let (start, workspace) = self.by_start.pop_first()?;
        let account = self.accounts.get_mut(&workspace)?;
        let waiting = account.waiting.pop_front()?;
        self.virtual_time = self.virtual_time.max(start);
        let cost = waiting.request.size.cost();
        self.requeue(&workspace, start + cost.0, cost);
        Some(waiting)
    }

    /// Removes the next request without charging its workspace.
    pub fn discard(&mut self) -> Option<WaitingRequest> {
        let (start, workspace) = self.by_start.pop_first()?;
        let waiting = self.accounts.get_mut(&workspace)?.waiting.pop_front()?;
        self.requeue(&workspace, start, waiting.request.size.cost());
        Some(waiting)
    }

    /// Updates the counters after a removal and reinserts the workspace at its new start time.
    fn requeue(&mut self, workspace: &name::WorkspaceName, start: u64, cost: unit::Tokens) {
        self.cost = self.cost.saturating_sub(cost);
        self.len -= 1;
        let Some(account) = self.accounts.get_mut(workspace) else {
            return;
        };
        account.cost = account.cost.saturating_sub(cost);
        account.start = start;
        if !account.waiting.is_empty() {
            self.by_start.insert((start, workspace.clone()));
            return;
        }
        self.accounts.remove(workspace);
        self.record_finish(workspace.clone(), start);
    }

    /// Stores the finish time of a workspace without waiting requests if it is ahead of the others.
    fn record_finish(&mut self, workspace: name::WorkspaceName, finished: u64) {
        if finished <= self.virtual_time {
            return;
        }
        self.finish_times.insert(workspace, finished);
        if self.finish_times.len() >= self.sweep_threshold.max(MIN_SWEEP_ENTRIES) {
            let virtual_time = self.virtual_time;
            self.finish_times
                .retain(|_, finished| *finished > virtual_time);
            // Doubling the threshold keeps the amortized cost of an insertion constant.
            self.sweep_threshold = self.finish_times.len() * 2;
        }
    }

    /// Removes and returns all requests that match the predicate.
    pub fn remove_where(
        &mut self,
        mut matches: impl FnMut(&WaitingRequest) -> bool,
    ) -> Vec<WaitingRequest> {
        let mut removed = Vec::new();
        for account in self.accounts.values_mut() {
            let (taken, keep) = std::mem::take(&mut account.waiting)
                .into_iter()
                .partition(&mut matches);
            account.waiting = keep;
            let taken: collections::VecDeque<WaitingRequest> = taken;
            let cost = taken
                .iter()
                .map(|waiting| waiting.request.size.cost())
                .sum();
            account.cost = account.cost.saturating_sub(cost);
            self.cost = self.cost.saturating_sub(cost);
            self.len -= taken.len();
            removed.extend(taken);
        }
        let by_start = &mut self.by_start;
        self.accounts.retain(|workspace, account| {
            let keep = !account.waiting.is_empty();
            if !keep {
                by_start.remove(&(account.start, workspace.clone()));
            }
            keep
        });
        removed
    }
}

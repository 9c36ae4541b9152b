//! Streams of this instance that their callers may resume.

use std::{
    collections::{HashMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use tc_protocol::{RequestId, WorkspaceName};

use crate::{
    limits::{MAX_STREAM_BYTES_PER_WORKSPACE, MAX_STREAMS_PER_WORKSPACE},
    streams::StreamLog,
};

/// Streams by workspace, each workspace within its own bounds so that none can push out another's.
pub(crate) struct StreamRegistry {
    workspaces: Mutex<HashMap<WorkspaceName, VecDeque<Kept>>>,
}

struct Kept {
    request: RequestId,
    log: Arc<StreamLog>,
}

impl StreamRegistry {
    pub(crate) fn new() -> Self {
        Self {
            workspaces: Mutex::new(HashMap::new()),
        }
    }

    /// Keeps a stream until the guard is dropped, or the workspace's bounds push it out: finished ones first.
    ///
    /// A stream that is pushed out runs on for the reader it has; it can only no longer be resumed.
    pub(crate) fn keep(
        self: &Arc<Self>,
        workspace: WorkspaceName,
        request: RequestId,
        log: Arc<StreamLog>,
    ) -> Registration {
        let mut workspaces = self.lock();
        let kept = workspaces.entry(workspace.clone()).or_default();
        while is_full(kept) {
            let finished = kept.iter().position(|k| k.log.has_ended());
            kept.remove(finished.unwrap_or(0));
        }
        kept.push_back(Kept {
            request: request.clone(),
            log,
        });
        Registration {
            registry: self.clone(),
            workspace,
            request,
        }
    }

    pub(crate) fn find(
        &self,
        workspace: &WorkspaceName,
        request: &RequestId,
    ) -> Option<Arc<StreamLog>> {
        let workspaces = self.lock();
        let kept = workspaces.get(workspace)?;
        let found = kept.iter().find(|k| k.request == *request)?;
        Some(found.log.clone())
    }

    fn forget(&self, workspace: &WorkspaceName, request: &RequestId) {
        let mut workspaces = self.lock();
        if let Some(kept) = workspaces.get_mut(workspace) {
            kept.retain(|k| k.request != *request);
            if kept.is_empty() {
                workspaces.remove(workspace);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<WorkspaceName, VecDeque<Kept>>> {
        self.workspaces
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn is_full(kept: &VecDeque<Kept>) -> bool {
    if kept.is_empty() {
        return false;
    }
    let bytes: usize = kept.iter().map(|k| k.log.kept_bytes()).sum();
    kept.len() >= MAX_STREAMS_PER_WORKSPACE || bytes >= MAX_STREAM_BYTES_PER_WORKSPACE
}

/// Keeps a stream resumable.
pub(crate) struct Registration {
    registry: Arc<StreamRegistry>,
    workspace: WorkspaceName,
    request: RequestId,
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.registry.forget(&self.workspace, &self.request);
    }
}

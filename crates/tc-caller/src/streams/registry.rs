//! Registry of the streams on this instance that callers can resume.

use std::{
    collections::{HashMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use tc_protocol::{RequestId, WorkspaceName};

use crate::{
    limits::{MAX_STREAM_BYTES_PER_WORKSPACE, MAX_STREAMS_PER_WORKSPACE},
    streams::StreamLog,
};

/// Resumable streams by workspace. The limits apply to each workspace, so no workspace can evict streams of another.
pub(crate) struct StreamRegistry {
    workspaces: Mutex<HashMap<WorkspaceName, VecDeque<RetainedStream>>>,
}

struct RetainedStream {
    request: RequestId,
    log: Arc<StreamLog>,
}

impl StreamRegistry {
    pub(crate) fn new() -> Self {
        Self {
            workspaces: Mutex::new(HashMap::new()),
        }
    }

    /// Registers a stream until the returned guard is dropped. If the workspace is at its limits, this evicts its
    /// oldest ended stream, or its oldest stream if none has ended.
    ///
    /// An evicted stream continues for its current reader but can no longer be resumed.
    pub(crate) fn register(
        self: &Arc<Self>,
        workspace: WorkspaceName,
        request: RequestId,
        log: Arc<StreamLog>,
    ) -> Registration {
        let mut workspaces = self.lock();
        let retained = workspaces.entry(workspace.clone()).or_default();
        while is_full(retained) {
            let ended = retained.iter().position(|stream| stream.log.has_ended());
            retained.remove(ended.unwrap_or(0));
        }
        retained.push_back(RetainedStream {
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
        let retained = workspaces.get(workspace)?;
        let found = retained.iter().find(|stream| stream.request == *request)?;
        Some(found.log.clone())
    }

    fn remove(&self, workspace: &WorkspaceName, request: &RequestId) {
        let mut workspaces = self.lock();
        if let Some(retained) = workspaces.get_mut(workspace) {
            retained.retain(|stream| stream.request != *request);
            if retained.is_empty() {
                workspaces.remove(workspace);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<WorkspaceName, VecDeque<RetainedStream>>> {
        self.workspaces
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn is_full(retained: &VecDeque<RetainedStream>) -> bool {
    if retained.is_empty() {
        return false;
    }
    let bytes: usize = retained
        .iter()
        .map(|stream| stream.log.retained_bytes())
        .sum();
    retained.len() >= MAX_STREAMS_PER_WORKSPACE || bytes >= MAX_STREAM_BYTES_PER_WORKSPACE
}

/// Guard of a registered stream, which removes it from the registry on drop.
pub(crate) struct Registration {
    registry: Arc<StreamRegistry>,
    workspace: WorkspaceName,
    request: RequestId,
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.registry.remove(&self.workspace, &self.request);
    }
}

//! Authentication: finds the workspace of a bearer token.

use std::{collections::HashMap, fmt::Write, sync::Arc};

use arc_swap::ArcSwap;
use http::{HeaderMap, header::AUTHORIZATION};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;
use tc_protocol::{FleetConfig, ProblemKind, WorkspaceName};

use crate::http::Failure;

/// Workspaces by the hash of their token. Rebuilt when the configuration changes.
pub(crate) struct TokenIndex {
    current: ArcSwap<Index>,
}

#[derive(Default)]
struct Index {
    config: Arc<FleetConfig>,
    by_hash: HashMap<Arc<str>, WorkspaceName>,
}

impl Index {
    fn of(config: Arc<FleetConfig>) -> Self {
        let by_hash = config
            .workspaces
            .iter()
            .map(|(name, workspace)| (workspace.token_sha256.clone(), name.clone()))
            .collect();
        Self { config, by_hash }
    }
}

impl TokenIndex {
    pub(crate) fn new() -> Self {
        Self {
            current: ArcSwap::default(),
        }
    }

    /// Returns the workspace of the request's bearer token.
    pub(crate) fn workspace_of(
        &self,
        config: &Arc<FleetConfig>,
        headers: &HeaderMap,
    ) -> Result<WorkspaceName, Failure> {
        let unauthorized = |detail: &str| Failure::not_run(ProblemKind::Unauthorized, detail);
        let value = headers
            .get(AUTHORIZATION)
            .ok_or_else(|| unauthorized("no Authorization header; send Bearer and the token"))?;
        let token = value
            .to_str()
            .ok()
            .and_then(|text| text.split_once(' '))
            .filter(|(scheme, _)| scheme.eq_ignore_ascii_case("bearer"))
            .map(|(_, token)| token.trim())
            .ok_or_else(|| unauthorized("Authorization must be Bearer and the token"))?;
        self.find_workspace(config, &hash_token(token))
            .ok_or_else(|| unauthorized("no workspace has this token"))
    }

    fn find_workspace(&self, config: &Arc<FleetConfig>, hash: &str) -> Option<WorkspaceName> {
        if !Arc::ptr_eq(&self.current.load().config, config) {
            self.current.store(Arc::new(Index::of(config.clone())));
        }
        let index = self.current.load();
        let (known, workspace) = index.by_hash.get_key_value(hash)?;
        bool::from(known.as_bytes().ct_eq(hash.as_bytes())).then(|| workspace.clone())
    }
}

fn hash_token(token: &str) -> String {
    let digest = Sha256::digest(token.as_bytes());
    digest.iter().fold(String::with_capacity(64), |mut hex, b| {
        let _ = write!(hex, "{b:02x}");
        hex
    })
}

//! The sockets on which an instance listens.

use std::net::SocketAddr;

use tokio::net::TcpListener;

use crate::{settings::GatewaySettings, start::GatewayError};

/// The listening sockets of one instance.
pub(crate) struct Listeners {
    pub(crate) callers: TcpListener,
    pub(crate) ready: Option<TcpListener>,
    pub(crate) directory: Option<TcpListener>,
    pub(crate) metrics: Option<TcpListener>,
}

impl Listeners {
    pub(crate) async fn bind(settings: &GatewaySettings) -> Result<Self, GatewayError> {
        Ok(Self {
            callers: bind(settings.listen).await?,
            ready: bind_optional(settings.ready_listen).await?,
            directory: bind_optional(settings.directory_listen).await?,
            metrics: bind_optional(settings.metrics_listen).await?,
        })
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, GatewayError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| GatewayError::Listen { address, source })
}

async fn bind_optional(address: Option<SocketAddr>) -> Result<Option<TcpListener>, GatewayError> {
    match address {
        Some(address) => bind(address).await.map(Some),
        None => Ok(None),
    }
}

/// Registers a listener with the runtime whose context is entered.
pub(crate) fn into_runtime(listener: TcpListener) -> Result<TcpListener, GatewayError> {
    Ok(TcpListener::from_std(listener.into_std()?)?)
}

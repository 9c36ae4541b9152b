//! The HTTP server of the admin interface.

use std::{convert::Infallible, sync::Arc, time::Duration};

use hyper::service::service_fn;
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::{conn::auto, graceful::GracefulShutdown},
};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use super::{AdminPorts, routes};
use crate::Secret;

/// Longest time a client may take over its request's head: without it, idle connections would pile up.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest time open requests get at a shutdown.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a failed accept, which mostly means that no file descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Serves the admin interface until `shutdown`, then lets open requests end.
pub async fn serve_admin(
    listener: TcpListener,
    ports: Arc<AdminPorts>,
    token: Secret,
    shutdown: CancellationToken,
) {
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shutdown.cancelled() => break,
        };
        match accepted {
            Ok((stream, _)) => serve_connection(stream, &ports, &token, &graceful),
            Err(e) => {
                log::warn!("the admin interface cannot accept a connection: {e}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(listener);
    if tokio::time::timeout(SHUTDOWN_TIMEOUT, graceful.shutdown())
        .await
        .is_err()
    {
        log::warn!("admin requests were cut off at the shutdown");
    }
}

fn serve_connection(
    stream: TcpStream,
    ports: &Arc<AdminPorts>,
    token: &Secret,
    graceful: &GracefulShutdown,
) {
    let (ports, token) = (Arc::clone(ports), token.clone());
    let service = service_fn(move |req| {
        let (ports, token) = (Arc::clone(&ports), token.clone());
        async move {
            let answer = routes::answer(req, &ports, &token).await;
            metrics::counter!("tc_admin_requests_total", "status" => answer.status().as_str().to_owned())
                .increment(1);
            Ok::<_, Infallible>(answer)
        }
    });
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT);
    builder.http2().timer(TokioTimer::new());
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let connection = graceful.watch(connection.into_owned());
    tokio::spawn(async move {
        if let Err(e) = connection.await {
            log::debug!("an admin connection ended: {e}");
        }
    });
}

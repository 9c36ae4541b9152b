//! The weight store: engines fetch models from it, at a limited rate.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures::FutureExt;
use http::{HeaderValue, Method, Request, StatusCode, header};
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::Client,
    rt::{TokioExecutor, TokioTimer},
};

use crate::{
    answer::{Answer, empty, json, refusal},
    rate::TokenBucket,
    server::Server,
    sync::lock,
};

/// Pause of an engine before it asks again for a model.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
const PATH: &str = "/weights/";

/// A running weight store; dropping it stops it.
///
/// `GET /weights/{model}` answers 200, or 429 above its rate.
pub struct WeightStore {
    server: Server,
    state: Arc<State>,
}

struct State {
    rate: TokenBucket,
    served: Mutex<Vec<(Instant, String)>>,
}

impl WeightStore {
    /// Starts a weight store on `address` that serves `rate` models a second; port 0 takes a free one.
    pub async fn start(address: SocketAddr, rate: f64) -> io::Result<Self> {
        let (server, listener) = Server::bind(address).await?;
        let state = Arc::new(State {
            rate: TokenBucket::new(rate),
            served: Mutex::default(),
        });
        let handled = Arc::clone(&state);
        server.serve(
            listener,
            Arc::new(move |req| {
                let answer: Answer = Ok(handled.handle(&req));
                async move { answer }.boxed()
            }),
        );
        Ok(Self { server, state })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Models served, in order.
    #[must_use]
    pub fn served(&self) -> Vec<(Instant, String)> {
        lock(&self.state.served).clone()
    }
}

impl Drop for WeightStore {
    fn drop(&mut self) {
        self.server.close();
    }
}

impl State {
    fn handle(&self, req: &Request<Incoming>) -> http::Response<crate::answer::Body> {
        let Some(model) = req.uri().path().strip_prefix(PATH) else {
            return refusal(StatusCode::NOT_FOUND, "no such path");
        };
        if req.method() != Method::GET {
            return empty(StatusCode::METHOD_NOT_ALLOWED);
        }
        match self.rate.take() {
            Ok(()) => {
                lock(&self.served).push((Instant::now(), model.to_owned()));
                json(&serde_json::json!({ "model": model }))
            }
            Err(wait) => {
                let mut resp = empty(StatusCode::TOO_MANY_REQUESTS);
                let seconds = wait.as_secs_f64().ceil() as u64;
                resp.headers_mut()
                    .insert(header::RETRY_AFTER, HeaderValue::from(seconds));
                resp
            }
        }
    }
}

/// Fetches a model, asking again until the store serves it.
pub(crate) async fn fetch(store: SocketAddr, model: &str) {
    let Ok(uri) = format!("http://{store}{PATH}{model}").parse::<http::Uri>() else {
        log::error!("engine was ordered a model whose name is no path: {model:?}");
        return std::future::pending().await;
    };
    let client: Client<_, Empty<Bytes>> = Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .build_http();
    loop {
        let served = client.get(uri.clone()).await;
        if served.is_ok_and(|resp| resp.status().is_success()) {
            return;
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

//! Tests of the trace context with and without export.

use std::{io::Read, net::TcpListener, time::Duration};

use bolero::generator::produce;
use tc_telemetry::{
    TelemetryError, TraceContext, init_traces, set_parent, traceparent_of_current_span,
};

const PARENT: &str = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";

#[test]
fn headers_that_are_not_valid_are_refused() {
    for header in [
        "",
        "00",
        "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7",
        "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-x",
        "ff-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
        "00-00000000000000000000000000000000-00f067aa0ba902b7-01",
        "00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01",
        "00-4BF92F3577B34DA6A3CE929D0E0E4736-00f067aa0ba902b7-01",
        "00-+bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
        "00-é4bf92f3577b34da6a3ce929d0e0e473-00f067aa0ba902b7-01",
    ] {
        assert_eq!(TraceContext::parse(header), None, "{header:?}");
    }
    let newer = format!("01{}-more", &PARENT[2..]);
    assert_eq!(TraceContext::parse(&newer), TraceContext::parse(PARENT));
    assert!(
        !TraceContext::parse(&PARENT.replace("-01", "-00"))
            .unwrap()
            .sampled
    );
}

#[test]
fn any_context_round_trips_through_its_header() {
    tc_fuzz::check(
        1_000,
        produce::<(u128, u64, u64, bool)>(),
        |(trace, span, child, sampled)| {
            let cx = TraceContext::root(*trace, *span, *sampled);
            assert_eq!(TraceContext::parse(&cx.to_header()), Some(cx));
            let child = cx.child(*child);
            assert_eq!(
                (child.trace_id, child.sampled),
                (cx.trace_id, sampled.to_owned())
            );
            assert_eq!(TraceContext::parse(&child.to_header()), Some(child));
        },
    );
    tc_fuzz::check(1_000, produce::<String>(), |text| {
        if let Some(cx) = TraceContext::parse(text) {
            assert!(cx.trace_id != 0 && cx.span_id != 0);
        }
    });
}

/// A single test, because the exporter can be installed only once per process.
#[test]
fn spans_propagate_the_context_and_are_exported() {
    assert!(matches!(
        init_traces(Some("http://127.0.0.1:1"), &"kl-a-1".into()),
        Err(TelemetryError::Traces { .. })
    ));
    drop(init_traces(None, &"kl-a-1".into()).unwrap());
    assert_eq!(traceparent_of_current_span(), None);

    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap();
    let _entered = runtime.enter();
    let collector = TcpListener::bind("127.0.0.1:0").unwrap();
    let endpoint = format!("http://{}", collector.local_addr().unwrap());
    let guard = init_traces(Some(&endpoint), &"kl-a-1".into()).unwrap();
    assert!(matches!(
        init_traces(Some(&endpoint), &"kl-a-1".into()),
        Err(TelemetryError::AlreadyInitialized { .. })
    ));

    let span = tracing::info_span!(target: "tc_caller", "request");
    set_parent(&span, PARENT);
    span.in_scope(|| {
        let parent = TraceContext::parse(PARENT).unwrap();
        let current = TraceContext::parse(&traceparent_of_current_span().unwrap()).unwrap();
        assert_eq!((current.trace_id, current.sampled), (parent.trace_id, true));
        assert_ne!(current.span_id, parent.span_id);
        let child = tracing::info_span!(target: "tc_upstream", "upstream_call");
        let child_context = child
            .in_scope(|| TraceContext::parse(&traceparent_of_current_span().unwrap()).unwrap());
        assert_eq!(child_context.trace_id, parent.trace_id);
        assert_ne!(child_context.span_id, current.span_id);
        let foreign = tracing::info_span!(target: "h2::client", "send");
        assert_eq!(
            foreign.in_scope(traceparent_of_current_span),
            traceparent_of_current_span()
        );
    });
    drop(span);

    let receiver = std::thread::spawn(move || {
        let (mut stream, _) = collector.accept().unwrap();
        let mut preface = [0; 14];
        stream.read_exact(&mut preface).unwrap();
        preface
    });
    let started = std::time::Instant::now();
    drop(guard);
    assert!(
        started.elapsed() < Duration::from_secs(20),
        "a collector that never responds must not delay shutdown"
    );
    assert_eq!(&receiver.join().unwrap(), b"PRI * HTTP/2.0");
}

//! HTTP towards callers: authentication, addresses, pipelines, streams and problem details.

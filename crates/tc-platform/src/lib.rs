//! Client of the platform: objects, claims, leases and the instance list.

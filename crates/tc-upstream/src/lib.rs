//! Calls to engines, pools and plain services.

//! Hop-by-hop headers, which apply to a single connection.

use http::{HeaderMap, HeaderName, header};

/// Headers that are always hop-by-hop (RFC 9110, section 7.6.1), and two that older software sends.
const HOP_BY_HOP: [HeaderName; 9] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Removes the headers that must not be forwarded, including those that the `Connection` header lists.
///
/// ```
/// use http::{HeaderMap, HeaderValue};
/// let mut headers = HeaderMap::new();
/// headers.insert("connection", HeaderValue::from_static("close, x-hop"));
/// headers.insert("x-hop", HeaderValue::from_static("1"));
/// headers.insert("x-own", HeaderValue::from_static("2"));
/// tc_upstream::remove_hop_by_hop(&mut headers);
/// assert_eq!(headers.len(), 1);
/// ```
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|names| names.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_BY_HOP.iter().chain(&named) {
        headers.remove(name);
    }
}

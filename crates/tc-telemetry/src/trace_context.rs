//! W3C trace context, propagated whether or not traces are exported.

const HEX_RADIX: u32 = 16;
const TRACE_ID_DIGITS: usize = 32;
const SPAN_ID_DIGITS: usize = 16;
const BYTE_DIGITS: usize = 2;
const SAMPLED_FLAG: u8 = 1;
const INVALID_VERSION: u8 = 0xff;

/// Decoded `traceparent` header.
///
/// ```
/// use tc_telemetry::TraceContext;
/// let header = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
/// let incoming = TraceContext::parse(header).unwrap();
/// assert_eq!(incoming.to_header(), header);
/// assert_eq!(
///     incoming.child(0x2a).to_header(),
///     "00-4bf92f3577b34da6a3ce929d0e0e4736-000000000000002a-01"
/// );
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TraceContext {
    /// Trace id; never zero.
    pub trace_id: u128,
    /// Id of the parent span for the receiver of the header; never zero.
    pub span_id: u64,
    /// Whether the trace is sampled.
    pub sampled: bool,
}

impl TraceContext {
    /// Parses a header. Returns `None` if it is invalid; the caller should then start a new trace.
    #[must_use]
    pub fn parse(header: &str) -> Option<Self> {
        let mut parts = header.split('-');
        let version = parse_hex(parts.next()?, BYTE_DIGITS)? as u8;
        let trace_id = parse_hex(parts.next()?, TRACE_ID_DIGITS)?;
        let span_id = parse_hex(parts.next()?, SPAN_ID_DIGITS)? as u64;
        let flags = parse_hex(parts.next()?, BYTE_DIGITS)? as u8;
        let has_extra_fields = parts.next().is_some();
        let valid = version != INVALID_VERSION && (version > 0 || !has_extra_fields);
        (valid && trace_id != 0 && span_id != 0).then_some(Self {
            trace_id,
            span_id,
            sampled: flags & SAMPLED_FLAG != 0,
        })
    }

    /// Creates the root span of a new trace from random numbers.
    #[must_use]
    pub fn root(random_trace: u128, random_span: u64, sampled: bool) -> Self {
        Self {
            trace_id: random_trace.max(1),
            span_id: random_span.max(1),
            sampled,
        }
    }

    /// Creates a new span of the same trace from a random number.
    #[must_use]
    pub fn child(&self, random: u64) -> Self {
        Self {
            span_id: random.max(1),
            ..*self
        }
    }

    /// Formats the `traceparent` header.
    #[must_use]
    pub fn to_header(&self) -> String {
        let flags = u8::from(self.sampled);
        format!(
            "00-{:032x}-{:016x}-{flags:02x}",
            self.trace_id, self.span_id
        )
    }
}

/// Parses exactly `count` lowercase hexadecimal digits.
fn parse_hex(text: &str, count: usize) -> Option<u128> {
    let valid = text.len() == count
        && text
            .bytes()
            .all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b));
    if valid {
        u128::from_str_radix(text, HEX_RADIX).ok()
    } else {
        None
    }
}

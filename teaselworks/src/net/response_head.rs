//! What a valid head of a response is, for everything that reads responses.
//!
//! The HTTP library rejects a status that is not three digits from 100 on, a field name that is not a
//! token, a field value with a control byte, a `Content-Length` that is not one number, and
//! `Transfer-Encoding` in HTTP/1.0; it skips interim responses other than 101. [`check`] rejects what
//! the library accepts.

use std::fmt;

use http::header::{HeaderMap, TRANSFER_ENCODING};
use http::{Response, StatusCode};

/// Why the head of a response is invalid.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponseHeadError {
    /// The status is beyond 599, or is 101 although no other protocol was requested.
    Status(StatusCode),
    /// The body has a transfer coding other than `chunked`, which alone is always accepted.
    TransferCoding,
}

impl fmt::Display for ResponseHeadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ResponseHeadError::Status(status) => {
                write!(f, "status {} is not that of a final response", status.as_u16())
            }
            ResponseHeadError::TransferCoding => {
                f.write_str("the transfer coding of the body is not \"chunked\"")
            }
        }
    }
}

impl std::error::Error for ResponseHeadError {}

/// Checks the head of the response to a request that asks for neither another protocol nor a transfer
/// coding (RFC 9110, section 15; RFC 9112, sections 6.1 and 7).
///
/// # Errors
///
/// Fails with the [`ResponseHeadError`] of the first fault. What follows such a head is not known to
/// be a body, so that the connection can't be used any more.
///
/// ```
/// use http::{Response, StatusCode};
/// use teaselworks::net::response_head::{ResponseHeadError, check};
///
/// let response = |status: u16, coding| {
///     let builder = Response::builder().status(status).header("transfer-encoding", coding);
///     builder.body(()).unwrap()
/// };
/// assert_eq!(check(&response(299, "Chunked")), Ok(()));
/// assert_eq!(check(&response(200, "gzip, chunked")), Err(ResponseHeadError::TransferCoding));
/// let switching = StatusCode::SWITCHING_PROTOCOLS;
/// assert_eq!(check(&response(101, "chunked")), Err(ResponseHeadError::Status(switching)));
/// ```
pub fn check<B>(response: &Response<B>) -> Result<(), ResponseHeadError> {
    let status = response.status();
    if !(200..=599).contains(&status.as_u16()) {
        return Err(ResponseHeadError::Status(status));
    }
    if !has_known_coding(response.headers()) {
        return Err(ResponseHeadError::TransferCoding);
    }
    Ok(())
}

/// Returns whether the body has no transfer coding, or is sent in chunks and nothing else.
fn has_known_coding(headers: &HeaderMap) -> bool {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let coding = codings.next();
    codings.next().is_none()
        && coding
            .is_none_or(|coding| coding.as_bytes().trim_ascii().eq_ignore_ascii_case(b"chunked"))
}

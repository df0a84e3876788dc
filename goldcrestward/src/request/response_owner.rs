//! Whose a response is, by the id that it bears.

use http::HeaderMap;

use crate::util::derive_value_traits;

const REQUEST_ID: &str = "x-request-id";

derive_value_traits! {
    /// Whose a response of a back end is.
    pub(crate) enum ResponseOwner {
        /// The request's.
        Request,
        /// Another request's.
        Other,
        /// It bears no id.
        Unknown,
    }
}

impl ResponseOwner {
    /// Compares the id in a response's head with that of the request.
    pub fn of(headers: &HeaderMap, id: &str) -> Self {
        let mut stated = headers.get_all(REQUEST_ID).iter();
        match (stated.next(), stated.next()) {
            (None, _) => Self::Unknown,
            (Some(stated), None) if stated.as_bytes() == id.as_bytes() => Self::Request,
            _ => Self::Other,
        }
    }
}

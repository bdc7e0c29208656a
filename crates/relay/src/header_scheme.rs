//! Names of the header fields that carry request metadata between callers, nodes and upstreams.

use lagoonshore_coordination::forwarding::rate_limiter::LimitNotice;

/// `HeaderScheme` holds the field names, all in lower case.
#[derive(Clone, Copy, Debug)]
pub struct HeaderScheme {
    /// Id of a request, set by its caller and echoed in the response.
    pub request_id: &'static str,
    /// Time for which the sender waits for a response, in milliseconds.
    pub time_limit: &'static str,
    /// Signature of an upstream in its response.
    pub signature: &'static str,
    /// Present in a response of an upstream that did not run the request.
    pub not_run: &'static str,
    /// Name of the only upstream that may run the request.
    pub expected_instance: &'static str,
    /// Name of the answering upstream, in its responses to health checks and misdirected requests.
    pub own_instance: &'static str,
    /// Present with the value `1` in all responses of an upstream that is leaving.
    pub departure: &'static str,
    /// Limit on the requests a second that an upstream takes, in its responses.
    pub rate_limit: &'static str,
    /// Decodes the values of all fields named [`Self::rate_limit`] in one response.
    pub decode_rate_limit: fn(&[&[u8]]) -> LimitNotice,
    /// Service of the instance on which the request originated.
    pub origin_service: &'static str,
    /// Credentials of a caller, which hold its key.
    pub credentials: &'static str,
    /// Word before the key in the credentials.
    pub key_scheme: &'static str,
    /// Name of the account that calls, for upstreams.
    pub account: &'static str,
    /// Character that separates the id of the parent request from the suffix in the id of a call.
    pub call_separator: char,
}

impl HeaderScheme {
    /// Returns whether the node sets or reads the field itself, so that the caller's value is not relayed
    /// with the others.
    #[must_use]
    pub fn is_set_by_system(&self, name: &str) -> bool {
        [
            self.request_id,
            self.time_limit,
            self.expected_instance,
            self.origin_service,
        ]
        .iter()
        .any(|own| name.eq_ignore_ascii_case(own))
            || self.is_about_accounts(name)
    }

    /// Returns whether the field says which account calls. In a fleet without accounts it is a matter
    /// between the caller and the upstream.
    #[must_use]
    pub fn is_about_accounts(&self, name: &str) -> bool {
        let fields = [self.credentials, self.account];
        fields.iter().any(|own| name.eq_ignore_ascii_case(own))
    }
}

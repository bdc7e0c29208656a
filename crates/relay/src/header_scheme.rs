//! The names of the header fields by which callers, nodes and upstreams tell each other of a
//! request.

/// `HeaderScheme` names the fields; all names are in lower case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeaderScheme {
    /// Id of a request, given by its caller and echoed in the answer.
    pub request_id: &'static str,
    /// Milliseconds for which the sender waits.
    pub time_limit: &'static str,
    /// Signature of an upstream under its answer.
    pub signature: &'static str,
    /// Marks an answer of an upstream that did not run the request.
    pub not_run: &'static str,
    /// Name of the upstream that alone may run the request.
    pub expected_instance: &'static str,
    /// Name of the upstream that answers, in answers about itself.
    pub own_instance: &'static str,
    /// Service on whose instance the request began.
    pub origin_service: &'static str,
    /// Character by which the id of a call continues the id of the request that it is made for.
    pub call_separator: char,
}

impl HeaderScheme {
    /// Tells whether the system sets the field itself, so that it is not relayed.
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
    }
}

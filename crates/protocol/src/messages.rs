//! Messages between nodes.

use crate::headers::HeaderField;

use bytes::Bytes;
use compact_str::CompactString;
use lagoonshore_coordination::request_life::CallRefusal;
use lagoonshore_state::{
    admission_level::AdmissionLevel,
    data_type,
    ids::{CallerHash, ServiceName},
    units::{RequestImportance, TokenCount},
};

data_type! {
    /// `CallRequest` asks a node to have its upstream serve a request.
    /// The deadline travels in the context of the call.
    pub struct CallRequest {
        /// Called service.
        pub service: ServiceName,
        /// HTTP method.
        pub method: CompactString,
        /// Path with query.
        pub path: CompactString,
        /// Header fields to relay.
        pub headers: Vec<HeaderField>,
        /// Body.
        pub body: Bytes,
        /// Importance given at the entry.
        pub importance: RequestImportance,
        /// Caller at the entry.
        pub caller: CallerHash,
        /// Retry tokens granted to the called side.
        pub tokens: TokenCount,
    }

    /// `WholeAnswer` is a complete answer of an upstream.
    pub struct WholeAnswer {
        /// HTTP status.
        pub status: u16,
        /// Header fields to relay.
        pub headers: Vec<HeaderField>,
        /// Body.
        pub body: Bytes,
    }

    /// `CallResult` is what became of a call.
    pub enum CallResult {
        /// The upstream answered.
        Answered(WholeAnswer),
        /// There is no answer of an upstream.
        Refused(CallRefusal),
    }

    /// `CallReply` answers a [`CallRequest`].
    pub struct CallReply {
        /// What became of the call.
        pub result: CallResult,
        /// Retry tokens that were not spent.
        pub tokens: TokenCount,
        /// Load of the node that answers.
        pub load: LoadReport,
    }

    /// `LoadReport` is the load of a node, carried by each of its replies.
    #[derive(Copy, Default)]
    pub struct LoadReport {
        /// Requests in progress.
        pub in_progress: u32,
        /// Limit on requests in progress.
        pub limit: u32,
        /// Requests that wait.
        pub queued: u32,
        /// Whether the node is leaving.
        pub draining: bool,
        /// Strictest admission level of the node and of what it calls for such requests.
        pub level: AdmissionLevel,
    }
}

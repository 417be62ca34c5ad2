//! What has been tried for one request.

use std::sync::Arc;

use smallvec::SmallVec;

use super::forward_request::ForwardRequest;
use super::reply::LocalReply;
use crate::errors::Code;

/// What has been tried for one request so far.
#[derive(Debug, Default)]
pub(super) struct Attempts {
    /// Servers that are not to be chosen again.
    pub(super) servers: SmallVec<[Arc<str>; 4]>,
    /// Number of servers that the request was sent to.
    pub(super) sends: u32,
    /// Number of servers that no connection could be opened to.
    pub(super) unreachable: u32,
    /// Number of servers that were chosen but found unfit; see [`super::send::SendResult::Unfit`].
    pub(super) unfit: u32,
    /// Whether an earlier attempt may have run, so that a refusal would be untrue.
    pub(super) may_have_run: bool,
    /// Whether the request is offered to a server or another instance whose answer is awaited.
    pub(super) awaits_answer: bool,
    /// Whether the request has been counted towards the retry budget.
    pub(super) counted: bool,
}

impl Attempts {
    /// The attempts made before the request arrived here.
    pub(super) fn of(request: &ForwardRequest) -> Self {
        let origin = request.origin;
        let (sends, counted) = (origin.earlier_sends(), origin.is_counted());
        Self { sends, counted, ..Self::default() }
    }

    /// The reply to a request that the end of this instance interrupts.
    pub(super) fn interrupted_by_stop(&self) -> LocalReply {
        if self.awaits_answer {
            return LocalReply::unknown(Code::StoppedAfterDispatch);
        }
        self.rejected(LocalReply::stopping())
    }

    /// Returns a reply of this instance, or an unknown outcome if an earlier attempt may have run.
    pub(super) fn rejected(&self, reply: LocalReply) -> LocalReply {
        if self.may_have_run { LocalReply::unknown(Code::AnswerLost) } else { reply }
    }

    /// A refusal, or an unknown outcome if an earlier attempt may have run: that the latest attempt
    /// did not run says nothing about the earlier one.
    pub(super) fn not_run(&self, code: Code, retry_after_ms: u64) -> LocalReply {
        self.rejected(LocalReply::not_run(code, retry_after_ms))
    }
}

//! The process that meets callers: identity, choice of upstream, retry, and the whole answer.

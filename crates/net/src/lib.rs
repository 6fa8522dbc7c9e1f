//! HTTP over monoio with limits, server-sent events, peer messages and the timer service.

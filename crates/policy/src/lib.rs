//! The decisions: choice of upstream, residency, load order, queueing and shares; pure code with time passed in.

//! Futures of object-safe traits.

use std::future::Future;
use std::pin::Pin;

/// Boxed future that stays on its thread.
pub type Local<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

//! Wakes every task that waits for the next change of something.

use std::cell::RefCell;
use std::convert::Infallible;

use async_channel::{Receiver, Sender};

type Line = (Sender<Infallible>, Receiver<Infallible>);

/// Changes of one thing.
pub(crate) struct Change {
    line: RefCell<Line>,
}

/// Wait for the next change.
pub(crate) struct Next(Receiver<Infallible>);

impl Default for Change {
    fn default() -> Self {
        Self {
            line: RefCell::new(async_channel::bounded(1)),
        }
    }
}

impl Change {
    /// Wakes all that wait now.
    pub(crate) fn notify(&self) {
        // The old sender is dropped, which ends every wait on its receivers.
        self.line.replace(async_channel::bounded(1));
    }

    /// Next change from now on.
    pub(crate) fn next(&self) -> Next {
        Next(self.line.borrow().1.clone())
    }
}

impl Next {
    /// Waits until the change.
    pub(crate) async fn wait(self) {
        // The channel never carries a value; its end is the signal.
        let _ = self.0.recv().await;
    }
}

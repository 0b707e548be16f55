//! The sending side of a connection.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use nanoserde::SerBin;
use tokio::sync::Notify;

use crate::frame;

/// Takes messages for one connection; clones feed the same one.
#[derive(Debug, Clone)]
pub struct Outbox {
    shared: Rc<Shared>,
}

#[derive(Debug)]
struct Shared {
    queued: RefCell<Vec<u8>>,
    limit: usize,
    closed: Cell<bool>,
    overflowed: Cell<bool>,
    wake: Notify,
}

impl Outbox {
    /// An outbox that holds so many bytes at most.
    pub fn new(limit: usize) -> Self {
        Self {
            shared: Rc::new(Shared {
                queued: RefCell::default(),
                limit,
                closed: Cell::new(false),
                overflowed: Cell::new(false),
                wake: Notify::new(),
            }),
        }
    }

    /// Queues a message. False if the connection has ended or its peer does not read; then nothing was queued, and the
    /// connection ends.
    pub fn send<T: SerBin>(&self, message: &T) -> bool {
        if self.shared.closed.get() {
            return false;
        }
        let mut queued = self.shared.queued.borrow_mut();
        if queued.len() > self.shared.limit {
            self.shared.overflowed.set(true);
            self.shared.closed.set(true);
            self.shared.wake.notify_one();
            return false;
        }
        let first = queued.is_empty();
        frame::encode(message, &mut queued);
        if first {
            self.shared.wake.notify_one();
        }
        true
    }

    /// Ends the connection once what is queued has gone out.
    pub fn close(&self) {
        self.shared.closed.set(true);
        self.shared.wake.notify_one();
    }

    /// Whether the connection has ended or is ending.
    pub fn is_closed(&self) -> bool {
        self.shared.closed.get()
    }

    /// Bytes that wait to be written.
    pub fn queued_bytes(&self) -> usize {
        self.shared.queued.borrow().len()
    }

    pub(crate) fn limit(&self) -> usize {
        self.shared.limit
    }

    pub(crate) fn overflowed(&self) -> bool {
        self.shared.overflowed.get()
    }

    /// Waits until something is queued and moves it to `output`, or returns false once the outbox is closed and empty.
    pub(crate) async fn next(&self, output: &mut Vec<u8>) -> bool {
        loop {
            if self.overflowed() {
                return false;
            }
            if self.take(output) {
                return true;
            }
            if self.shared.closed.get() {
                return false;
            }
            self.shared.wake.notified().await;
        }
    }

    /// Moves what is queued to `output`; false if there is nothing.
    fn take(&self, output: &mut Vec<u8>) -> bool {
        let mut queued = self.shared.queued.borrow_mut();
        if queued.is_empty() {
            return false;
        }
        output.clear();
        std::mem::swap(&mut *queued, output);
        true
    }
}

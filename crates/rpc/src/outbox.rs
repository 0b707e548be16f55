//! The sending side of a connection.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use nanoserde::SerBin;
use tokio::sync::Notify;

use crate::{LinkSettings, frame};

/// Takes messages for one connection; clones feed the same one.
#[derive(Debug, Clone)]
pub struct Outbox {
    shared: Rc<Shared>,
}

#[derive(Debug)]
struct Shared {
    queued: RefCell<Vec<u8>>,
    /// Bytes that the writer has taken out of the queue and not yet written.
    in_writer: Cell<usize>,
    limit: usize,
    window: usize,
    /// Whether more than the window has waited since [`Outbox::room`] last returned.
    was_full: Cell<bool>,
    closed: Cell<bool>,
    overflowed: Cell<bool>,
    wake: Notify,
    drained: Notify,
}

impl Outbox {
    /// The outbox of a connection with these settings.
    pub fn new(settings: &LinkSettings) -> Self {
        Self {
            shared: Rc::new(Shared {
                queued: RefCell::default(),
                in_writer: Cell::new(0),
                limit: settings.max_queued_bytes,
                window: settings.window_bytes,
                was_full: Cell::new(false),
                closed: Cell::new(false),
                overflowed: Cell::new(false),
                wake: Notify::new(),
                drained: Notify::new(),
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
        drop(queued);
        if !self.has_room() {
            self.shared.was_full.set(true);
        }
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
        self.shared.queued.borrow().len() + self.shared.in_writer.get()
    }

    /// Whether less waits than the window of the connection: then another message of any size may be sent without danger
    /// that the connection ends for it.
    pub fn has_room(&self) -> bool {
        self.queued_bytes() < self.shared.window
    }

    /// Waits until there is room again after there was none.
    pub async fn room(&self) {
        loop {
            if self.has_room() && self.shared.was_full.replace(false) {
                return;
            }
            self.shared.drained.notified().await;
        }
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

    /// So many of the bytes that [`Outbox::next`] gave were written.
    pub(crate) fn written(&self, bytes: usize) {
        let left = self.shared.in_writer.get().saturating_sub(bytes);
        self.shared.in_writer.set(left);
        if self.shared.was_full.get() && self.has_room() {
            self.shared.drained.notify_one();
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
        self.shared.in_writer.set(output.len());
        true
    }
}

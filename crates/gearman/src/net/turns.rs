//! What follows from each event, and the one timer.

use std::rc::Rc;

use ruddervalve_broker::{LONGEST_WAIT, duration_from_ms};

use super::Gearman;
use crate::engine::SocketAction;

impl Gearman {
    /// Does all that follows from what has just happened, and writes what is to be written.
    pub(super) fn turn(&self) {
        let before = self.engine.open_jobs();
        for action in self.engine.turn() {
            match action {
                SocketAction::Write(connection) => {
                    let socket = self.sockets.borrow().get(&connection).cloned();
                    if let Some(socket) = socket.filter(|socket| !socket.blocked.get()) {
                        self.write(connection, &socket);
                    }
                }
                SocketAction::Close(connection, closing) => self.close(connection, closing),
                SocketAction::ShutDown => self.shut_down.notify_one(),
            }
        }
        if before > 0 && self.engine.open_jobs() == 0 {
            self.ended.notify_waiters();
        }
        let next = self.engine.next_wake().unwrap_or(u64::MAX);
        if next < self.timer_at.get() {
            self.timer_at.set(next);
            self.timer_moved.notify_one();
        }
    }

    /// Ticks the server and the pools when it is time.
    pub(super) async fn run_timer(self: Rc<Self>) {
        loop {
            let next = self.timer_at.get();
            let wait = if next == u64::MAX {
                LONGEST_WAIT
            } else {
                duration_from_ms(next as f64 / 1e3 - self.clock.now())
            };
            tokio::select! {
                () = self.timer_moved.notified() => continue,
                () = tokio::time::sleep(wait) => {}
            }
            self.timer_at.set(u64::MAX);
            self.engine.tick();
            self.turn();
        }
    }
}

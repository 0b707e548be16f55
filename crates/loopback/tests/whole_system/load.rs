//! Clients that send one message after the other, as many as they are allowed to.

use std::sync::Arc;

use ruddervalve_loopback::{Accepted, Client, ClientError, Message};
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinHandle;

use crate::stage::STEP;

/// More than any test sends: clients go on until they are stopped.
const WITHOUT_END: usize = 1_000_000;

/// What became of the messages of a client.
#[derive(Debug, Default)]
pub struct Sent {
    /// Accepted, in their order.
    pub accepted: Vec<Accepted>,
    /// It is unknown whether these were accepted, or they were refused.
    pub failed: Vec<ClientError>,
}

pub struct Load {
    allowed: Arc<Semaphore>,
    released: usize,
    count: watch::Receiver<usize>,
    clients: Vec<JoinHandle<Sent>>,
}

impl Load {
    /// One client for each of these messages. They wait for [`Load::release`].
    pub fn of(clients: Vec<(Client, Message)>) -> Self {
        let allowed = Arc::new(Semaphore::new(0));
        let (sender, count) = watch::channel(0);
        let start =
            |(client, message)| tokio::spawn(send(client, message, Arc::clone(&allowed), sender.clone()));
        let clients = clients.into_iter().map(start).collect();
        Self { allowed, released: 0, count, clients }
    }

    /// The same; they send until they are stopped.
    pub fn without_end(clients: Vec<(Client, Message)>) -> Self {
        let load = Self::of(clients);
        load.allowed.add_permits(WITHOUT_END);
        load
    }

    /// Lets all clients together send so many more messages.
    pub fn release(&mut self, count: usize) {
        self.released += count;
        self.allowed.add_permits(count);
    }

    /// Waits until all that were released have been answered.
    pub async fn settled(&self) {
        self.until(self.released).await;
    }

    /// Waits until so many more have been answered.
    pub async fn answered(&self, more: usize) {
        let until = *self.count.borrow() + more;
        self.until(until).await;
    }

    async fn until(&self, answered: usize) {
        let mut count = self.count.clone();
        let waited = tokio::time::timeout(STEP, count.wait_for(|count| *count >= answered)).await;
        waited.expect("messages are answered in time").expect("the clients run");
    }

    /// Stops all clients; what each of them sent.
    pub async fn stop(self) -> Vec<Sent> {
        self.allowed.close();
        let mut sent = Vec::new();
        for client in self.clients {
            sent.push(client.await.unwrap());
        }
        sent
    }
}

async fn send(
    client: Client,
    message: Message,
    allowed: Arc<Semaphore>,
    count: watch::Sender<usize>,
) -> Sent {
    let mut sent = Sent::default();
    while let Ok(permit) = allowed.acquire().await {
        permit.forget();
        match client.send(&message, STEP).await {
            Ok(accepted) => sent.accepted.push(accepted),
            Err(error) => sent.failed.push(error),
        }
        count.send_modify(|count| *count += 1);
    }
    sent
}

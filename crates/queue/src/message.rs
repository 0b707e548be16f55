//! A message that the log entry, the state and the leader share.

use std::ops::Deref;
use std::sync::Arc;

use nanoserde::{DeBin, DeBinErr, SerBin};
use ruddervalve_protocol::{Blob, NewMessage};

use crate::wire::{get_id, get_optional_text, get_text, put_id, put_optional_text, put_text};

/// A [`NewMessage`] that is shared, not copied.
#[derive(Debug, Clone, PartialEq)]
pub struct SharedMessage(Arc<NewMessage>);

impl From<NewMessage> for SharedMessage {
    fn from(message: NewMessage) -> Self {
        Self(Arc::new(message))
    }
}

impl Deref for SharedMessage {
    type Target = NewMessage;

    fn deref(&self) -> &NewMessage {
        &self.0
    }
}

impl SerBin for SharedMessage {
    fn ser_bin(&self, output: &mut Vec<u8>) {
        put_id(&self.id, output);
        put_text(&self.route, output);
        put_text(&self.service, output);
        put_text(&self.method, output);
        put_text(&self.host, output);
        put_text(&self.path, output);
        put_text(&self.content_type, output);
        put_optional_text(self.ordering_key.as_deref(), output);
        put_optional_text(self.callback_url.as_deref(), output);
        self.delay_ms.ser_bin(output);
        self.retention_ms.ser_bin(output);
        self.body.ser_bin(output);
    }
}

impl DeBin for SharedMessage {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<Self, DeBinErr> {
        let message = NewMessage {
            id: get_id(offset, bytes)?,
            route: get_text(offset, bytes)?,
            service: get_text(offset, bytes)?,
            method: get_text(offset, bytes)?,
            host: get_text(offset, bytes)?,
            path: get_text(offset, bytes)?,
            content_type: get_text(offset, bytes)?,
            ordering_key: get_optional_text(offset, bytes)?,
            callback_url: get_optional_text(offset, bytes)?,
            delay_ms: u64::de_bin(offset, bytes)?,
            retention_ms: u64::de_bin(offset, bytes)?,
            body: Blob::de_bin(offset, bytes)?,
        };
        Ok(message.into())
    }
}

//! Which packet means what.

use super::Server;
use super::submission::SubmissionKind;
use crate::codec::{Frame, Kind, Magic, Packet};
use crate::jobs::Priority;
use crate::workers::ConnectionId;

impl Server {
    /// A frame came on a connection.
    pub fn received(&mut self, connection: ConnectionId, frame: Frame, now_ms: f64) {
        let Some(from) = self.connections.get_mut(&connection).filter(|from| !from.closing) else { return };
        from.has_sent = true;
        match frame {
            Frame::Line(line) => self.line(connection, &line),
            Frame::Packet(packet) if packet.magic == Magic::Res => {
                self.error(
                    connection,
                    "bad_packets",
                    "BAD_MAGIC",
                    "a server is sent requests, not responses",
                );
            }
            Frame::Packet(packet) => self.packet(connection, &packet, now_ms),
        }
    }

    fn packet(&mut self, connection: ConnectionId, packet: &Packet, now_ms: f64) {
        let handled = match submission_kind(packet.kind) {
            Some(kind) => self.submit(connection, packet, kind, now_ms),
            None => self.other_packet(connection, packet, now_ms),
        };
        if handled.is_none() {
            let text = format!("packet {}: arguments missing or wrong", packet.kind.number());
            self.error(connection, "bad_packets", "BAD_ARGUMENTS", &text);
        }
    }

    /// None where arguments are missing or wrong.
    fn other_packet(&mut self, connection: ConnectionId, packet: &Packet, now_ms: f64) -> Option<()> {
        match packet.kind {
            Kind::GetStatus => self.status(connection, packet)?,
            Kind::GetStatusUnique => self.status_unique(connection, packet)?,
            Kind::OptionReq => self.option(connection, packet)?,
            Kind::EchoReq => self.send(connection, Kind::EchoRes, &[&packet.body]),
            Kind::CanDo => {
                let [function] = packet.split::<1>()?;
                self.can_do(connection, function, None);
            }
            Kind::CanDoTimeout => self.can_do_timeout(connection, packet)?,
            Kind::CantDo => {
                let [function] = packet.split::<1>()?;
                self.cant_do(connection, Some(&function));
            }
            Kind::ResetAbilities => self.cant_do(connection, None),
            Kind::SetClientId => {
                let [name] = packet.split::<1>()?;
                self.set_client_id(connection, &name)?;
            }
            Kind::AllYours => {}
            Kind::PreSleep => self.pre_sleep(connection, now_ms),
            Kind::GrabJob | Kind::GrabJobUniq | Kind::GrabJobAll => {
                self.grab(connection, packet.kind, now_ms);
            }
            Kind::WorkComplete => {
                let [handle, result] = packet.split::<2>()?;
                self.work_ended(connection, &handle, now_ms, |server, running| {
                    server.completed(running, result)
                });
            }
            Kind::WorkFail => {
                let [handle] = packet.split::<1>()?;
                self.work_ended(connection, &handle, now_ms, Self::failed);
            }
            Kind::WorkStatus | Kind::WorkData | Kind::WorkWarning | Kind::WorkException => {
                self.work_update(connection, packet)?;
            }
            kind => self.not_carried(connection, kind),
        }
        Some(())
    }

    fn can_do_timeout(&mut self, connection: ConnectionId, packet: &Packet) -> Option<()> {
        let [function, seconds] = packet.split::<2>()?;
        let seconds: u32 = str::from_utf8(&seconds).ok()?.trim().parse().ok()?;
        // 0 seconds: no time-out of its own, as with CAN_DO.
        let timeout_ms = (seconds > 0).then_some(f64::from(seconds) * 1e3);
        self.can_do(connection, function, timeout_ms);
        Some(())
    }

    fn not_carried(&mut self, connection: ConnectionId, kind: Kind) {
        let text = format!("packet {}: this server does not carry it", kind.number());
        self.error(connection, "not_carried", "NOT_CARRIED", &text);
    }
}

/// What a packet that submits a job says of it; none for other packets.
fn submission_kind(kind: Kind) -> Option<SubmissionKind> {
    let (priority, background) = match kind {
        Kind::SubmitJob => (Priority::Normal, false),
        Kind::SubmitJobHigh => (Priority::High, false),
        Kind::SubmitJobLow => (Priority::Low, false),
        Kind::SubmitJobBg => (Priority::Normal, true),
        Kind::SubmitJobHighBg => (Priority::High, true),
        Kind::SubmitJobLowBg => (Priority::Low, true),
        _ => return None,
    };
    Some(SubmissionKind { priority, background })
}

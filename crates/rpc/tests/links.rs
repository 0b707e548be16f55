//! Connections over loopback: greeting, frames, and every way to be cut off.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use ruddervalve_protocol::{Blob, Channel, Greeting, Incarnation, PROTOCOL_VERSION};
use ruddervalve_rpc::{
    Backoff, LinkEvent, LinkSettings, MAGIC, Outbox, Peer, RpcError, accept, connect, run, run_paced,
};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;

const SETTINGS: LinkSettings = LinkSettings {
    max_frame_bytes: 1 << 20,
    max_queued_bytes: 1 << 20,
    window_bytes: 1 << 19,
    silence_ms: 60_000,
    connect_timeout_ms: 5_000,
    user_timeout_ms: 5_000,
};

fn greeting(version: u32) -> Greeting {
    Greeting {
        version,
        channel: Channel::Delivery,
        node: "edge-1".to_owned(),
        zone: "north".to_owned(),
        incarnation: Incarnation(7),
    }
}

fn played<F: Future>(test: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(LocalSet::new().run_until(test))
}

async fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.unwrap()
}

/// What the accepting side says of a peer that sends these bytes and then waits.
async fn refusal(bytes: &[u8], settings: LinkSettings) -> RpcError {
    let listener = listener().await;
    let mut peer = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    peer.write_all(bytes).await.unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    accept(stream, &settings).await.unwrap_err()
}

#[test]
fn a_greeting_and_large_frames_pass_in_order() {
    played(async {
        let listener = listener().await;
        let address = listener.local_addr().unwrap();
        let received: Rc<RefCell<Vec<Blob>>> = Rc::default();
        let into = Rc::clone(&received);
        let serve = async move {
            let (stream, _) = listener.accept().await.unwrap();
            let (greeted, stream) = accept(stream, &SETTINGS).await.unwrap();
            assert_eq!(greeted, greeting(PROTOCOL_VERSION));
            run(stream, &SETTINGS, &Outbox::new(&SETTINGS), |blob: Blob| into.borrow_mut().push(blob)).await
        };
        let send = async {
            let stream = connect(address, &greeting(PROTOCOL_VERSION), &SETTINGS).await.unwrap();
            let outbox = Outbox::new(&SETTINGS);
            for size in [0_usize, 1, 70_000, 3] {
                assert!(outbox.send(&Blob::from(vec![9; size])));
            }
            outbox.close();
            run(stream, &SETTINGS, &outbox, |_: Blob| {}).await
        };
        let (served, _) = tokio::join!(serve, send);
        assert!(matches!(served, RpcError::Closed), "{served}");
        let sizes: Vec<usize> = received.borrow().iter().map(Blob::len).collect();
        assert_eq!(sizes, [0, 1, 70_000, 3]);
    });
}

#[test]
fn strangers_and_other_versions_are_dropped() {
    played(async {
        assert!(matches!(refusal(b"GET / HTTP/1.1\r\n\r\n", SETTINGS).await, RpcError::NotOurs));
        let mut long = MAGIC.to_vec();
        long.extend_from_slice(&[255; 8]);
        assert!(matches!(refusal(&long, SETTINGS).await, RpcError::TooLarge { .. }));
        let mut unreadable = MAGIC.to_vec();
        unreadable.extend_from_slice(&[2, 0, 0, 0, 1, 2, 3, 4, 255, 255]);
        assert!(matches!(refusal(&unreadable, SETTINGS).await, RpcError::Unreadable(_)));

        let listener = listener().await;
        let address = listener.local_addr().unwrap();
        let (stream, accepted) =
            tokio::join!(async { connect(address, &greeting(99), &SETTINGS).await }, listener.accept());
        let error = accept(accepted.unwrap().0, &SETTINGS).await.unwrap_err();
        assert!(matches!(error, RpcError::Version { theirs: 99, ours: PROTOCOL_VERSION }), "{error}");
        drop(stream);
    });
}

#[test]
fn a_silent_peer_is_given_up() {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build().unwrap();
    runtime.block_on(LocalSet::new().run_until(async {
        let settings = LinkSettings { silence_ms: 50, ..SETTINGS };
        assert!(matches!(refusal(&[], settings).await, RpcError::Silent(50)));
    }));
}

#[test]
fn frames_over_the_limit_and_nonsense_end_the_connection() {
    played(async {
        for (bytes, too_large) in [(vec![255; 8], true), (vec![1, 0, 0, 0, 1, 2, 3, 4, 9], false)] {
            let listener = listener().await;
            let mut peer = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
            peer.write_all(&bytes).await.unwrap();
            let (stream, _) = listener.accept().await.unwrap();
            let error = run(stream, &SETTINGS, &Outbox::new(&SETTINGS), |_: Blob| {}).await;
            assert_eq!(matches!(error, RpcError::TooLarge { .. }), too_large, "{error}");
            assert_eq!(matches!(error, RpcError::Unreadable(_)), !too_large, "{error}");
        }
    });
}

#[test]
fn a_peer_that_does_not_read_is_cut_off() {
    played(async {
        let listener = listener().await;
        let peer = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        let (stream, _) = listener.accept().await.unwrap();
        let outbox = Outbox::new(&LinkSettings { max_queued_bytes: 1_000, ..SETTINGS });
        assert!(outbox.send(&Blob::from(vec![1; 2_000])));
        assert!(!outbox.send(&Blob::from(vec![2; 10])), "more than the limit is queued");
        assert!(outbox.is_closed());
        let error = run(stream, &SETTINGS, &outbox, |_: Blob| {}).await;
        assert!(matches!(error, RpcError::Overflow(1_000)), "{error}");
        drop(peer);
    });
}

#[test]
fn a_peer_is_connected_again_after_each_end() {
    played(async {
        let listener = listener().await;
        let address = listener.local_addr().unwrap();
        let (tell, mut told) = tokio::sync::mpsc::unbounded_channel();
        let sink = move |event: LinkEvent<Blob>| {
            let _ = tell.send(match event {
                LinkEvent::Up(_) => "up",
                LinkEvent::Message(_) => "message",
                LinkEvent::Room => "room",
                LinkEvent::Down(_) => "down",
            });
        };
        let backoff = Backoff { first_ms: 1, longest_ms: 2, seed: 1 };
        let peer = Peer::keep(address, greeting(PROTOCOL_VERSION), SETTINGS, backoff, sink);
        assert_eq!(peer.address(), address);
        for _ in 0..2 {
            let (stream, _) = listener.accept().await.unwrap();
            let (_, mut stream) = accept(stream, &SETTINGS).await.unwrap();
            // An empty blob: four bytes of length, whose checksum is 0x2144DF1C.
            stream.write_all(&[4, 0, 0, 0, 0x1C, 0xDF, 0x44, 0x21, 0, 0, 0, 0]).await.unwrap();
            assert_eq!(told.recv().await, Some("up"));
            assert_eq!(told.recv().await, Some("message"));
            drop(stream);
            assert_eq!(told.recv().await, Some("down"));
        }
        drop(peer);
        while let Some(event) = told.recv().await {
            assert_ne!(event, "message", "nothing came after the second connection");
        }
    });
}

#[test]
fn pauses_grow_to_the_longest_and_are_spread() {
    let backoff = Backoff { first_ms: 20, longest_ms: 400, seed: 3 };
    for failures in 0..40 {
        let span = (20_u128 << failures.min(16)).min(400);
        let pause = backoff.pause(failures).as_millis();
        assert!(pause >= span / 2 && pause <= span, "{failures}: {pause}");
    }
    let other = Backoff { seed: 4, ..backoff };
    assert!((0..8).any(|failures| other.pause(failures) != backoff.pause(failures)));
}

#[test]
fn there_is_room_again_once_what_waited_has_been_written() {
    played(async {
        let listener = listener().await;
        let peer = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        let (stream, _) = listener.accept().await.unwrap();
        let settings = LinkSettings { max_queued_bytes: 64 << 20, window_bytes: 1_000, ..SETTINGS };
        let outbox = Outbox::new(&settings);
        assert!(outbox.has_room());
        assert!(outbox.send(&Blob::from(vec![1; 999])));
        assert!(!outbox.has_room(), "the header of the frame counts, too");
        // More than the buffers of both ends take, so that it waits for the peer to read.
        assert!(outbox.send(&Blob::from(vec![2; 32 << 20])));
        let whole = outbox.queued_bytes();
        let room = Rc::new(Cell::new(0));
        let seen = Rc::clone(&room);
        let on_room = move || seen.set(seen.get() + 1);
        let carried = outbox.clone();
        let run = async move { run_paced(stream, &settings, &carried, |_: Blob| {}, on_room).await };
        let run = tokio::task::spawn_local(run);
        while outbox.queued_bytes() == whole {
            tokio::task::yield_now().await;
        }
        assert!(!outbox.has_room() && room.get() == 0, "what the writer holds still counts");
        let mut peer = peer;
        let mut read = vec![0; 1 << 16];
        while outbox.queued_bytes() > 0 {
            assert_ne!(peer.read(&mut read).await.unwrap(), 0);
        }
        while room.get() == 0 {
            tokio::task::yield_now().await;
        }
        assert!(outbox.has_room());
        assert!(!outbox.is_closed(), "the connection goes on");
        run.abort();
    });
}

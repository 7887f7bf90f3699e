use super::*;

/// arbtest runs a single case per seed: each case has its own fixed seed, so that all runs are the same.
const FOREIGN_CASES: u64 = 2_000;

fn example_envelope() -> Envelope {
    let own_address = Address::from(std::net::SocketAddr::from(([127, 0, 0, 1], 7000)));
    let member_update = MemberUpdate {
        node: 9,
        address: own_address,
        zone: "a".into(),
        incarnation: 3,
        state: 1,
        disk: 5,
        disk_state: 2,
        draining: 0,
        processor: 1_000,
    };
    Envelope {
        fleet: fleet_id("blue"),
        from: 9,
        from_address: own_address,
        to: 1,
        message: Message::Probe { sequence: 4, target: 1, members: List(vec![member_update]) },
    }
}

#[test]
fn frames_round_trip_and_any_damage_is_rejected() {
    let sent_envelope = example_envelope();
    let sent_frame = sent_envelope.frame().expect("an example frame is short");
    assert_eq!(decode_frame(&sent_frame), Ok(sent_envelope));
    for damaged_index in 0..sent_frame.len() {
        let mut damaged_frame = sent_frame.clone();
        damaged_frame[damaged_index] ^= 0x10;
        assert!(decode_frame(&damaged_frame).is_err(), "byte {damaged_index}");
    }
}

#[test]
fn no_payload_makes_the_decoder_panic_or_allocate_much() {
    for number in 0..FOREIGN_CASES {
        arbtest::arbtest(|source| {
            let payload_bytes: Vec<u8> = source.arbitrary()?;
            let mut head_bytes = [0u8; FRAME_HEAD];
            head_bytes[0..4].copy_from_slice(&FRAME_MAGIC.to_le_bytes());
            head_bytes[4..8].copy_from_slice(&(payload_bytes.len() as u32).to_le_bytes());
            head_bytes[8..12].copy_from_slice(&crc32fast::hash(&payload_bytes).to_le_bytes());
            if let Ok(envelope) = decode_payload(&head_bytes, &payload_bytes) {
                assert!(envelope.frame().is_some());
            }
            let _ = DemandUpdate::from_bytes((&payload_bytes, 0));
            let _ = ReadyInstancesUpdate::from_bytes((&payload_bytes, 0));
            LeaderRecord::decode(&Bytes(payload_bytes));
            Ok(())
        })
        .seed((0x5eed_0001 + number) << 32 | 0x40);
    }
}

#[test]
fn a_process_recognises_previous_incarnations_by_their_address() {
    let address = |port: u16| Address::from(std::net::SocketAddr::from(([10, 0, 0, 1], port)));
    let (own, previous, neighbour) = (node_id(address(1), 7), node_id(address(1), 8), node_id(address(2), 8));
    assert!(
        is_previous_incarnation(own, previous)
            && !is_previous_incarnation(own, own)
            && !is_previous_incarnation(own, neighbour)
    );
    assert!(
        !is_previous_incarnation(3, 4),
        "ids without an address hash are never incarnations of each other"
    );
}

#[test]
fn long_payloads_are_compressed_and_round_trip() {
    let mut sent_envelope = example_envelope();
    let body = Bytes(br#"{"name":"r-1","host":"a.example"}"#.repeat(12_000));
    sent_envelope.message = Message::ChangeForward { request_id: 1, change: body.clone() };
    let sent_frame = sent_envelope.frame().expect("a frame");
    assert!(sent_frame.len() < body.0.len() / 20, "{} bytes", sent_frame.len());
    assert_eq!(decode_frame(&sent_frame), Ok(sent_envelope.clone()));
    for damaged_index in (0..sent_frame.len()).step_by(97) {
        let mut damaged_frame = sent_frame.clone();
        damaged_frame[damaged_index] ^= 0x10;
        assert!(decode_frame(&damaged_frame).is_err(), "byte {damaged_index}");
    }
    // A payload that does not compress is sent uncompressed.
    let mut rng = fastrand::Rng::with_seed(1);
    let noise = Bytes((0..5_000).map(|_| rng.u8(..)).collect());
    sent_envelope.message = Message::ChangeForward { request_id: 1, change: noise };
    let plain_frame = sent_envelope.frame().expect("a frame");
    assert_eq!(plain_frame[0..4], FRAME_MAGIC.to_le_bytes());
    assert_eq!(decode_frame(&plain_frame), Ok(sent_envelope));
}

#[test]
fn no_compressed_payload_makes_the_decoder_panic_or_allocate_much() {
    for number in 0..FOREIGN_CASES {
        arbtest::arbtest(|source| {
            let payload_bytes: Vec<u8> = source.arbitrary()?;
            let mut head_bytes = [0u8; FRAME_HEAD];
            head_bytes[0..4].copy_from_slice(&PACKED_MAGIC.to_le_bytes());
            head_bytes[4..8].copy_from_slice(&(payload_bytes.len() as u32).to_le_bytes());
            head_bytes[8..12].copy_from_slice(&crc32fast::hash(&payload_bytes).to_le_bytes());
            let _ = decode_payload(&head_bytes, &payload_bytes);
            Ok(())
        })
        .seed((0x5eed_0001 + number) << 32 | 0x41);
    }
    assert_eq!(unpack(&[0xff, 0xff, 0xff, 0, 1, 2]), None, "a false length");
}

#[test]
fn an_address_is_encoded_by_its_family_and_a_mapped_one_as_ipv4() {
    let address = |text: &str| Address::from(text.parse::<std::net::SocketAddr>().expect("an address"));
    for (text, length) in [("10.1.0.20:7300", 7), ("[2001:db8::7]:7300", 19)] {
        let bytes = address(text).to_bytes().expect("bytes");
        assert_eq!(bytes.len(), length, "{text}");
        let (_, read) = Address::from_bytes((&bytes, 0)).expect("an address");
        assert_eq!((read, read.socket().to_string().as_str()), (address(text), text));
    }
    assert_eq!(address("[::ffff:10.1.0.20]:7300"), address("10.1.0.20:7300"));
    assert!(Address::from_bytes((&[5, 10, 1, 0, 20, 7, 7], 0)).is_err(), "no such family");
}

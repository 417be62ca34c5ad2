//! Parsers of external input neither panic nor allocate without bound.

use sorrelwick::command::read_declaration;
use sorrelwick::conf::parse_settings;
use sorrelwick::model::Service;
use sorrelwick::outcome::IdempotencyKey;
use sorrelwick::outcome::KEY_MAX_BYTES;
use sorrelwick::outcome::KeyPrefix;
use sorrelwick::peer::FRAME_MAX_BYTES;
use sorrelwick::peer::ForwardHead;
use sorrelwick::peer::ForwardReplyHead;
use sorrelwick::peer::PeerReply;
use sorrelwick::peer::PeerRequest;
use sorrelwick::peer::decode;
use sorrelwick::peer::encode;
use sorrelwick::store::Entry;

mod common;

use common::property;

/// Arbitrary bytes as a peer frame give an error or a message that survives a round trip.
#[test]
fn peer_frames() {
    property(2_000, |u| {
        let bytes = u.bytes(u.len())?;
        if let Ok(message) = decode::<PeerRequest>(bytes) {
            assert_eq!(decode::<PeerRequest>(&encode(&message)), Ok(message));
        }
        let _ = decode::<PeerReply>(bytes);
        let _ = decode::<ForwardHead>(bytes);
        let _ = decode::<ForwardReplyHead>(bytes);
        Ok(())
    });
}

/// A frame with a forged length above the maximum is rejected before memory is allocated for it.
#[test]
fn a_forged_length_allocates_nothing() {
    // Variant 4 (`Changes`), then a length of 2^60 in bincode's variable encoding.
    let mut bytes = vec![4, 253];
    bytes.extend_from_slice(&(1_u64 << 60).to_le_bytes());
    assert!(decode::<PeerRequest>(&bytes).is_err());
    assert!(decode::<PeerRequest>(&vec![0; FRAME_MAX_BYTES + 1]).is_err());
}

#[test]
fn idempotency_keys() {
    property(2_000, |u| {
        let text: String = u.arbitrary()?;
        if let Ok(key) = IdempotencyKey::parse(&text) {
            assert!(key.text.len() <= KEY_MAX_BYTES);
            if let Some(prefix) = key.prefix {
                assert!(key.text.starts_with(&format!("{:016x}-", prefix.incarnation)));
            }
        }
        let prefix =
            KeyPrefix { incarnation: u.arbitrary()?, epoch: u.int_in_range(0..=0xffff_ffff)? };
        let parsed = IdempotencyKey::parse(&format!("{prefix}-rest")).expect("a prefix and a rest");
        assert_eq!(parsed.prefix, Some(prefix));
        Ok(())
    });
}

/// Randomly mutated settings and declarations give an error or a value, never a panic.
#[test]
fn settings_and_declarations() {
    const DECLARATION: &str = r#"{ name: "orders", kinds: [{ name: "o", path_prefix: "/", idempotent: false }],
        backend_servers: [{ id: "b", address: "127.0.0.1:1", zone: "z", slots: 4, connections_max: 9 }] }"#;
    let dir = tempfile::tempdir().expect("a directory");
    let file = dir.path().join("fuzzed.json5");
    property(800, |u| {
        for text in [sorrelwick::conf::DEFAULTS, DECLARATION] {
            let mut bytes = text.as_bytes().to_vec();
            for _ in 0..u.int_in_range(0..=8)? {
                let at = u.choose_index(bytes.len())?;
                match u.int_in_range(0..=2)? {
                    0 => bytes[at] = u.arbitrary()?,
                    1 => drop(bytes.remove(at)),
                    _ => bytes.insert(at, u.arbitrary()?),
                }
            }
            let mutated = String::from_utf8_lossy(&bytes);
            if let Err(faults) = parse_settings("fuzzed", &mutated) {
                assert!(!faults.is_empty());
            }
            std::fs::write(&file, &bytes).expect("written");
            let _ = read_declaration(&file);
            let _ = json5::from_str::<Service>(&mutated);
        }
        Ok(())
    });
}

/// Arbitrary bytes as a value in the store cause no panic.
#[test]
fn rows_of_the_store() {
    property(1_000, |u| {
        let value = u.bytes(u.len())?.to_vec();
        let entry = Entry { key: "sorrelwick/services/x".into(), value, index: 1 };
        let _ = sorrelwick::catalog::decode_entry(&entry);
        Ok(())
    });
}

/// A message of some kilobytes that decompresses to gigabytes must not exhaust an instance's
/// memory.
#[test]
fn a_decompression_bomb_is_rejected() {
    use std::io::Write;
    let mut encoder = flate2::write::DeflateEncoder::new(vec![1], flate2::Compression::best());
    let zeros = vec![0; 1 << 20];
    for _ in 0..64 {
        encoder.write_all(&zeros).expect("memory");
    }
    let forged = encoder.finish().expect("memory");
    assert!(forged.len() < 200_000);
    let refused = decode::<PeerRequest>(&forged).expect_err("64 MB are too large");
    assert_eq!(refused.code, sorrelwick::errors::Code::PeerFrameTooLarge);
}

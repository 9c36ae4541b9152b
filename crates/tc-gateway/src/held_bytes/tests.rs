use http_body_util::BodyExt;

use super::*;

fn held(pool: &HeldBytes) -> usize {
    pool.held.load(Ordering::Acquire)
}

/// Guards against a limit that is exceeded by the sum of several holders, or that loses room
/// with each refused one.
#[test]
fn bytes_of_all_guards_together_stay_within_the_limit() {
    let pool = HeldBytes::new(100);
    let (mut first, mut second) = (pool.guard(), pool.guard());
    assert!(first.try_add(60));
    assert!(!second.try_add(41));
    assert!(second.try_add(40));
    assert!(!first.try_add(usize::MAX), "the sum must not overflow");
    drop(first);
    assert!(second.try_set(100));
    assert!(second.try_set(30));
    assert_eq!(held(&pool), 30);
    drop(second);
    assert_eq!(held(&pool), 0);
}

/// Guards against an answer without an end that leaves no room for others, or that counts as less than
/// it allocates.
#[test]
fn largest_answer_finds_no_room_before_small_ones() {
    let pool = HeldBytes::new(90_000);
    let mut endless = HeldBuffer::new(pool.guard());
    while endless.push(&[0; 1_000]) {}
    assert_eq!(endless.bytes.len(), 80_000);
    assert!(held(&pool) >= endless.bytes.capacity());
    let mut small = HeldBuffer::new(pool.guard());
    assert!(small.push(&[0; 8_000]));
    assert!(!endless.push(&[0; 1_000]));
    drop(endless);
    assert_eq!(held(&pool), 8_000);
}

/// Guards against an answer that no longer counts while a slow caller has yet to read it.
#[tokio::test]
async fn answer_counts_until_the_caller_has_read_it() {
    let pool = HeldBytes::new(1 << 20);
    let bytes: Vec<u8> = (0..100_000_u32).map(|n| n as u8).collect();
    let mut guard = pool.guard();
    assert!(guard.try_add(bytes.len()));
    let mut body = HeldBody::new(bytes.clone().into(), guard);
    let mut read = Vec::new();
    while let Some(frame) = body.frame().await {
        let chunk = frame.expect("no error").into_data().expect("data");
        read.extend_from_slice(&chunk);
        assert_eq!(held(&pool), bytes.len() - read.len());
    }
    assert_eq!(read, bytes);
}

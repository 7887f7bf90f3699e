use super::*;

#[test]
fn large_and_small_news_reach_all_within_three_seconds_and_gaps_mend() {
    for luck_seed in 0..20 {
        let mut fleet: Vec<NewsSpread> =
            (0..10).map(|node| NewsSpread::new(luck_seed * 100 + node)).collect();
        let mut loss = Rng::with_seed(luck_seed);
        fleet[0].publish("small", 0, 1, Bytes(vec![1; 10]));
        fleet[0].publish("large", 0, 7, Bytes(vec![2; 3_000_000]));
        let mut held_at = None;
        for millisecond in (0..3_000u64).step_by(100) {
            let now = Micros::from_millis(millisecond);
            let mut waiting: Vec<(NodeId, NewsSend)> = Vec::new();
            for node in 0..10u64 {
                let colleagues: Vec<NodeId> = (0..10).filter(|other| *other != node).collect();
                let sends = fleet[node as usize].tick(&colleagues, now);
                waiting.extend(sends.into_iter().map(|send| (node, send)));
            }
            while let Some((sender, (receiver, message))) = waiting.pop() {
                if loss.u8(..10) < 3 {
                    continue;
                }
                let (_, sends) = fleet[receiver as usize].received(sender, message);
                waiting.extend(sends.into_iter().map(|send| (receiver, send)));
            }
            if fleet.iter().all(|news| news.sequence("small") == 1 && news.sequence("large") == 7) {
                held_at = held_at.or(Some(millisecond));
            }
        }
        assert!(held_at.is_some(), "seed {luck_seed}: three tenths of messages lost");
        assert!(!fleet[3].publish("large", 3, 6, Bytes::default()), "no way back");
    }
}

/// Passes messages on without loss; returns how many bytes were said.
fn play(fleet: &mut [NewsSpread], from_millis: u64, to_millis: u64) -> usize {
    let mut said_bytes = 0;
    let count = fleet.len() as u64;
    for millisecond in (from_millis..to_millis).step_by(50) {
        let mut waiting: Vec<(NodeId, NewsSend)> = Vec::new();
        for node in 0..count {
            let colleagues: Vec<NodeId> = (0..count).filter(|other| *other != node).collect();
            let sends = fleet[node as usize].tick(&colleagues, Micros::from_millis(millisecond));
            waiting.extend(sends.into_iter().map(|send| (node, send)));
        }
        while let Some((sender, (receiver, message))) = waiting.pop() {
            let envelope = colleague_messages::Envelope {
                fleet: 0,
                from: sender,
                from_address: "127.0.0.1:1".parse::<std::net::SocketAddr>().expect("an address").into(),
                to: receiver,
                message,
            };
            said_bytes += envelope.frame().expect("a frame").len();
            let (_, sends) = fleet[receiver as usize].received(sender, envelope.message);
            waiting.extend(sends.into_iter().map(|send| (receiver, send)));
        }
    }
    said_bytes
}

#[test]
fn a_large_fleet_with_many_topics_in_motion_says_little_and_misses_nothing() {
    let mut fleet: Vec<NewsSpread> = (0..77).map(NewsSpread::new).collect();
    for number in 0..1_030u64 {
        for news in &mut fleet {
            news.publish(&format!("cells/function-{number}"), 0, 1, Bytes(vec![1; 40]));
        }
    }
    play(&mut fleet, 0, 3_000);
    let mut said_bytes = 0;
    // Forty functions' cells change each second.
    for second in 3..6u64 {
        for (number, news) in fleet.iter_mut().enumerate().take(40) {
            let topic = format!("cells/function-{number}");
            news.publish(&topic, number as u64, second, Bytes(vec![2; 40]));
        }
        said_bytes += play(&mut fleet, second * 1_000, second * 1_000 + 1_000);
    }
    let bytes_a_node = said_bytes / 3 / 77;
    assert!(bytes_a_node < 50_000, "{bytes_a_node} bytes a second");
    fleet[0].publish("configuration", 0, 9, Bytes(vec![3; 100_000]));
    play(&mut fleet, 6_000, 8_000);
    assert!(fleet.iter().all(|news| news.sequence("configuration") == 9));
    play(&mut fleet, 8_000, 12_000);
    let is_known = |news: &NewsSpread| (0..40).all(|n| news.sequence(&format!("cells/function-{n}")) == 5);
    assert!(fleet.iter().all(is_known));
    // A newcomer has everything within five seconds.
    fleet.push(NewsSpread::new(99));
    play(&mut fleet, 12_000, 17_000);
    assert!((0..1_030).all(|n| fleet[77].sequence(&format!("cells/function-{n}")) > 0));
}

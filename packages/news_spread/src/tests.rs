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

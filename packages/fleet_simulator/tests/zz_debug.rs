use fleet_simulator::{World, WorldSettings};
#[test]
fn debug() {
    let mut world = World::new(WorldSettings::default(), 12);
    assert!(world.found());
    world.call_rate = 100.0;
    world.run_for(5.0);
    world.cut(&[0, 1, 2], &[3, 4, 5, 6, 7, 8, 9]);
    world.run_for(8.0);
    world.heal();
    for _ in 0..14 {
        world.run_for(1.0);
        for n in [0, 4, 6] {
            let s = world.status(n).unwrap();
            println!(
                "{} n{n} members {} unheld {} held {} owned {} counts {:?} {:?}",
                world.now() / 1000,
                s.members.len(),
                s.unheld,
                s.held.len(),
                s.owned_keys,
                s.election_counts,
                s.decisions.get("steward_taken")
            );
        }
    }
}

use super::*;

fn sent(call: &str) -> Line {
    Line::CallSent { at: 0, call: call.into(), node: "n1".into(), path: "/proof/1".into(), repeatable: false }
}

fn took(at: u64, call: &str, function: &str, ran: bool) -> Line {
    Line::CellTook {
        at,
        call: call.into(),
        function: function.into(),
        cell: "c1".into(),
        ran,
        in_flight: 1,
        limit: 2,
    }
}

fn ended(call: &str, outcome: Outcome, is_own: bool) -> Line {
    Line::CallEnded { at: 9, call: call.into(), outcome, is_own, latency: 9 }
}

fn cell_started(at: u64, cell: &str) -> Line {
    let (cell, function, worker) = (cell.into(), "proof".into(), "w".into());
    Line::CellStarted { at, cell, function, worker, memory_mb: 100, runs_from: at }
}

fn act(at: u64, holder: &str, fence: u64) -> Line {
    let (holder, function) = (holder.into(), "proof".into());
    Line::PlatformAct { at, holder, function, fence, is_accepted: true }
}

fn refused_act(at: u64, holder: &str, fence: u64) -> Line {
    let (holder, function) = (holder.into(), "proof".into());
    Line::PlatformAct { at, holder, function, fence, is_accepted: false }
}

fn sound_history() -> Vec<Line> {
    let mut lines = vec![
        Line::LanesChanged {
            at: 0,
            generation: 1,
            lanes: vec![("/proof".into(), Some("proof".into())), ("/late".into(), Some("late".into()))],
        },
        sent("1"),
        took(1, "1", "proof", true),
        ended("1", Outcome::Ran, true),
        Line::ChangeAccepted { at: 1, change: "a".into(), generation: 1 },
        Line::ChangeRefused { at: 2, change: "b".into() },
        Line::ChangesStand { at: 3, node: "n1".into(), generation: 1, changes: vec!["a".into()] },
        Line::GenerationHeld { at: 3, node: "n1".into(), life: "x".into(), generation: 1 },
        Line::StewardTaken { at: 1, node: "n1".into(), function: "proof".into(), epoch: 4 },
        Line::StewardActed { at: 2, node: "n1".into(), function: "proof".into(), epoch: 4 },
        Line::CellShownLeaving { at: 10, cell: "c1".into() },
        act(100, "n1", 4),
        act(3_000_000, "n2", 6),
        // A lease after its own last act it may act again, though the other did just now.
        act(3_000_100, "n1", 9),
        // What the platform refuses breaks nothing.
        refused_act(3_000_200, "n2", 6),
    ];
    lines.extend((0..100).map(|number| sent(&format!("many-{number}"))));
    lines
}

fn rules(doctored: Vec<Line>) -> BTreeSet<&'static str> {
    let lines: Vec<Line> = sound_history().into_iter().chain(doctored).collect();
    check_all(&lines, &CheckSettings::default()).into_iter().map(|breach| breach.rule).collect()
}

#[test]
fn every_checker_catches_its_planted_breach_and_no_other_fires() {
    assert_eq!(rules(Vec::new()), BTreeSet::new());
    let took_from = |count: u64, ran: bool| -> Vec<Line> {
        (0..count).map(|number| took(20 + number, &format!("many-{number}"), "proof", ran)).collect()
    };
    let cases: Vec<(&str, Vec<Line>)> = vec![
        ("no double run", vec![took(2, "1", "proof", true)]),
        ("not run is true", vec![ended("1", Outcome::NotRun, false)]),
        ("own whole answer", vec![ended("1", Outcome::Ran, false)]),
        ("own whole answer", vec![ended("2", Outcome::Ran, true)]),
        ("only allowed services", vec![took(2, "many-1", "other", true)]),
        ("cell limits", took_from(13, false)),
        ("leaving cells", vec![took(3_000_011, "many-1", "proof", true)]),
        (
            "only allowed services",
            vec![
                Line::LanesChanged { at: 2, generation: 2, lanes: vec![("/proof".into(), None)] },
                Line::ChangeAccepted { at: 2, change: "moved".into(), generation: 2 },
                took(3_000_003, "many-1", "proof", true),
            ],
        ),
        ("extra tries", (0..62).map(|_| took(6_000_000, "many-0", "late", true)).collect()),
        ("few refusals", (0..6).map(|_| ended("many-1", Outcome::NotRun, false)).collect()),
        (
            "no generation back",
            vec![Line::GenerationHeld { at: 4, node: "n1".into(), life: "x".into(), generation: 0 }],
        ),
        ("one change a generation", vec![Line::ChangeAccepted { at: 2, change: "c".into(), generation: 1 }]),
        (
            "no acknowledged change lost",
            vec![Line::ChangesStand { at: 5, node: "n2".into(), generation: 2, changes: vec![] }],
        ),
        (
            "refused changes never stand",
            vec![Line::ChangesStand {
                at: 5,
                node: "n2".into(),
                generation: 1,
                changes: vec!["a".into(), "b".into()],
            }],
        ),
        (
            "one steward an epoch",
            vec![Line::StewardActed { at: 3, node: "n2".into(), function: "proof".into(), epoch: 4 }],
        ),
        (
            "one steward an epoch",
            vec![Line::StewardActed { at: 3, node: "n2".into(), function: "proof".into(), epoch: 3 }],
        ),
        ("one holder a fence", vec![act(9_000_000, "n3", 9)]),
        ("deposed holders stop", (0..4).map(|number| refused_act(4_000_000 + number, "n2", 6)).collect()),
        ("fences rise", vec![act(9_000_000, "n1", 8)]),
        ("no holder there and back", vec![act(5_000_000, "n2", 10), act(6_000_000, "n1", 12)]),
        ("start rate", (0..9).map(|number| Line::ActThrottled { at: 50 + number }).collect()),
        (
            "allowances hold",
            [
                Line::AllowancesHeld {
                    at: 10,
                    allowances: vec![
                        ("all".into(), None, Some(250.0)),
                        ("low".into(), Some("all".into()), None),
                    ],
                    functions: vec![("proof".into(), "low".into(), 100)],
                },
                cell_started(20, "a"),
                cell_started(30, "b"),
                cell_started(40, "c"),
                cell_started(50, "d"),
                Line::CellStopped { at: 2_000_000, cell: "gone".into() },
                cell_started(3_000_060, "e"),
            ]
            .into(),
        ),
        (
            "no generation back",
            vec![
                Line::CallMatched { at: 5, call: "1".into(), node: "n1".into(), generation: 4 },
                Line::CallMatched { at: 250_006, call: "2".into(), node: "n1".into(), generation: 3 },
            ],
        ),
        (
            "admission never waits on election",
            vec![
                Line::CallReached { at: 5, call: "1".into() },
                Line::CallMatched { at: 50_006, call: "1".into(), node: "n1".into(), generation: 4 },
            ],
        ),
        (
            "one voter set a generation",
            [vec![4], vec![5]]
                .map(|joining| Line::VotersSeen {
                    at: 5,
                    node: "n1".into(),
                    generation: 2,
                    disks: vec![1, 2, 3],
                    joining,
                })
                .into(),
        ),
        ("planned stops drop nothing", vec![Line::DroppedInPlannedStop { at: 3, call: "1".into() }]),
    ];
    for (rule, doctored) in cases {
        assert!(rules(doctored).contains(rule), "{rule}");
    }
}

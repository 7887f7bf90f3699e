use super::*;

fn sent(call: &str) -> Line {
    Line::CallSent { at: 0, call: call.into(), node: "n1".into(), path: "/proof/1".into(), repeatable: false }
}

fn received(at: u64, call: &str, function: &str, ran: bool) -> Line {
    Line::InstanceReceivedCall {
        at,
        call: call.into(),
        function: function.into(),
        instance: "c1".into(),
        ran,
        in_flight: 1,
        limit: 2,
    }
}

fn ended(call: &str, outcome: Outcome, is_own: bool) -> Line {
    Line::CallEnded { at: 9, call: call.into(), outcome, is_own, latency: 9 }
}

fn instance_started(at: u64, instance: &str) -> Line {
    let (instance, function, worker) = (instance.into(), "proof".into(), "w".into());
    Line::InstanceStarted { at, instance, function, worker, memory_mb: 100, runs_from: at }
}

fn action(at: u64, holder: &str, fence: u64) -> Line {
    let (holder, function) = (holder.into(), "proof".into());
    Line::PlatformOperation { at, holder, function, fence, is_accepted: true }
}

fn refused_operation(at: u64, holder: &str, fence: u64) -> Line {
    let (holder, function) = (holder.into(), "proof".into());
    Line::PlatformOperation { at, holder, function, fence, is_accepted: false }
}

fn sound_history() -> Vec<Line> {
    let mut lines = vec![
        Line::RoutesChanged {
            at: 0,
            generation: 1,
            routes: vec![("/proof".into(), Some("proof".into())), ("/late".into(), Some("late".into()))],
        },
        sent("1"),
        received(1, "1", "proof", true),
        ended("1", Outcome::Ran, true),
        Line::ChangeAccepted { at: 1, change: "a".into(), generation: 1 },
        Line::ChangeRefused { at: 2, change: "b".into() },
        Line::ChangesInForce { at: 3, node: "n1".into(), generation: 1, changes: vec!["a".into()] },
        Line::GenerationHeld { at: 3, node: "n1".into(), incarnation: "x".into(), generation: 1 },
        Line::LeadershipTaken { at: 1, node: "n1".into(), function: "proof".into(), epoch: 4 },
        Line::LeaderActed { at: 2, node: "n1".into(), function: "proof".into(), epoch: 4 },
        Line::InstanceShownDraining { at: 10, instance: "c1".into() },
        action(100, "n1", 4),
        action(3_000_000, "n2", 6),
        // A holder may act again a lease after its own last action, even directly after another holder.
        action(3_000_100, "n1", 9),
        // Refused operations violate nothing.
        refused_operation(3_000_200, "n2", 6),
    ];
    lines.extend((0..100).map(|number| sent(&format!("many-{number}"))));
    lines
}

fn rules(planted: Vec<Line>) -> BTreeSet<&'static str> {
    let lines: Vec<Line> = sound_history().into_iter().chain(planted).collect();
    check_all(&lines, &CheckSettings::default()).into_iter().map(|violation| violation.rule).collect()
}

/// Guards against a checker that shares the gateway's mistake: it took a path without its last slash for one that the
/// longer prefix takes, so no scenario could show that such calls went to the wrong function.
#[test]
fn a_path_without_the_last_slash_belongs_to_the_shorter_prefix() {
    let routes = [("/proof/", "proof"), ("/proof/rush/", "rush"), ("/whole", "whole")]
        .map(|(prefix, function)| (prefix.to_owned(), function.to_owned()));
    let routes = BTreeMap::from(routes);
    for (path, function) in [
        ("/proof/rush", Some("proof")),
        ("/proof/rush/", Some("rush")),
        ("/proof/rush/1", Some("rush")),
        ("/proof/rushes", Some("proof")),
        ("/proof", None),
        ("/whole", Some("whole")),
        ("/whole/", Some("whole")),
        ("/wholes", None),
    ] {
        assert_eq!(route_of(&routes, path), function, "{path}");
    }
}

#[test]
fn every_checker_catches_its_planted_violation_and_no_other_fires() {
    assert_eq!(rules(Vec::new()), BTreeSet::new());
    let received_calls = |count: u64, ran: bool| -> Vec<Line> {
        (0..count).map(|number| received(20 + number, &format!("many-{number}"), "proof", ran)).collect()
    };
    let cases: Vec<(&str, Vec<Line>)> = vec![
        ("no double run", vec![received(2, "1", "proof", true)]),
        ("not run is true", vec![ended("1", Outcome::NotRun, false)]),
        ("own whole answer", vec![ended("1", Outcome::Ran, false)]),
        ("own whole answer", vec![ended("2", Outcome::Ran, true)]),
        ("only allowed services", vec![received(2, "many-1", "other", true)]),
        ("cell limits", received_calls(13, false)),
        ("leaving cells", vec![received(3_000_011, "many-1", "proof", true)]),
        (
            "only allowed services",
            vec![
                Line::RoutesChanged { at: 2, generation: 2, routes: vec![("/proof".into(), None)] },
                Line::ChangeAccepted { at: 2, change: "moved".into(), generation: 2 },
                received(3_000_003, "many-1", "proof", true),
            ],
        ),
        ("extra tries", (0..62).map(|_| received(6_000_000, "many-0", "late", true)).collect()),
        ("few refusals", (0..6).map(|_| ended("many-1", Outcome::NotRun, false)).collect()),
        (
            "no generation back",
            vec![Line::GenerationHeld { at: 4, node: "n1".into(), incarnation: "x".into(), generation: 0 }],
        ),
        ("one change a generation", vec![Line::ChangeAccepted { at: 2, change: "c".into(), generation: 1 }]),
        (
            "no acknowledged change lost",
            vec![Line::ChangesInForce { at: 5, node: "n2".into(), generation: 2, changes: vec![] }],
        ),
        (
            "refused changes never stand",
            vec![Line::ChangesInForce {
                at: 5,
                node: "n2".into(),
                generation: 1,
                changes: vec!["a".into(), "b".into()],
            }],
        ),
        (
            "one steward an epoch",
            vec![Line::LeaderActed { at: 3, node: "n2".into(), function: "proof".into(), epoch: 4 }],
        ),
        (
            "one steward an epoch",
            vec![Line::LeaderActed { at: 3, node: "n2".into(), function: "proof".into(), epoch: 3 }],
        ),
        ("one holder a fence", vec![action(9_000_000, "n3", 9)]),
        (
            "deposed holders stop",
            (0..4).map(|number| refused_operation(4_000_000 + number, "n2", 6)).collect(),
        ),
        ("fences rise", vec![action(9_000_000, "n1", 8)]),
        ("no holder there and back", vec![action(5_000_000, "n2", 10), action(6_000_000, "n1", 12)]),
        ("start rate", (0..9).map(|number| Line::OperationThrottled { at: 50 + number }).collect()),
        (
            "allowances hold",
            [
                Line::QuotasHeld {
                    at: 10,
                    quotas: vec![("all".into(), None, Some(250.0)), ("low".into(), Some("all".into()), None)],
                    functions: vec![("proof".into(), "low".into(), 100)],
                },
                instance_started(20, "a"),
                instance_started(30, "b"),
                instance_started(40, "c"),
                instance_started(50, "d"),
                Line::InstanceStopped { at: 2_000_000, instance: "gone".into() },
                instance_started(3_000_060, "e"),
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
    for (rule, planted) in cases {
        assert!(rules(planted).contains(rule), "{rule}");
    }
}

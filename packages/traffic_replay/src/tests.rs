use super::*;

/// Number of random cases. With a seed arbtest runs a single case, so each case gets its own seed and all are
/// reproducible.
const RANDOM_CASES: u64 = 2_000;

#[test]
fn bad_records_are_reported_by_line_and_counted() {
    let sound = r#"{"at_micros":1,"lane":"a","method":"POST","path":"/a","size":1,"status":200,"outcome":"ran","latency_micros":5}"#;
    let day =
        format!("{}\nnot json\n\n{}\n", sound.replace("\"ran\"", "\"maybe\""), sound.replace("/a", "a"));
    let reader = Box::new(std::io::Cursor::new(day));
    let nodes = vec![SocketAddr::from(([127, 0, 0, 1], 9))];
    let report = actix_rt::System::new().block_on(replay(reader, nodes, 1.0, 1));
    let lines: Vec<u64> = report.reported_bad_lines.iter().map(|(number, _)| *number).collect();
    assert_eq!((report.bad_lines, lines, report.replayed), (3, vec![1, 2, 4], 0));
    assert!(read_record(sound.as_bytes()).is_ok());
}

#[test]
fn random_lines_cause_no_panic() {
    for number in 0..RANDOM_CASES {
        arbtest::arbtest(|source| {
            let line: Vec<u8> = source.arbitrary()?;
            let _ = read_record(&line);
            Ok(())
        })
        .seed((0x5eed_0004 + number) << 32 | 0x40);
    }
}

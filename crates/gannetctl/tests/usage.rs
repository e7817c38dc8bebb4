//! Output of `usage`.

mod common;

use common::{LogFiles, stderr_text, stdout_text};

const KEEPERS: [&str; 2] = [
    r#"
{"box":"keep-1","event":"usage report","part":"usage","t":107.0,"level":"info","window":20,"customers":2,"requests":9,"all_heard":true,"outcome":"fixed"}
{"box":"keep-1","event":"usage report sent","part":"usage","t":107.1,"level":"info","window":20,"token":4,"outcome":"taken"}
{"box":"keep-1","event":"usage report","part":"usage","t":115.0,"level":"info","window":21,"customers":1,"requests":3,"all_heard":false,"outcome":"fixed"}
{"box":"keep-1","event":"usage report sent","part":"usage","t":116.0,"level":"info","window":21,"token":4,"outcome":"the accounting service did not respond: resend the same call, from any box"}
"#,
    r#"
{"box":"keep-2","event":"usage report sent","part":"usage","t":121.0,"level":"info","window":21,"token":5,"outcome":"taken"}
{"box":"keep-2","event":"usage report","part":"usage","t":127.0,"level":"info","window":23,"customers":0,"requests":0,"all_heard":true,"outcome":"fixed"}
"#,
];

#[test]
fn table_shows_when_each_window_was_committed_and_accepted() {
    let logs = LogFiles::write("usage-table", &KEEPERS);
    let shown = stdout_text(&logs.run(&["usage"]));
    let expected = "\
WINDOW  FIXED AT  REQUESTS  CUSTOMERS  ALL HEARD  SENT  TAKEN AT  HOLDER  LAST TRY
20      107.00    9         2          true       1     107.10    keep-1  taken
21      115.00    3         1          false      2     121.00    keep-2  taken
22      -         0         0          false      0     -                 no line
23      127.00    0         0          true       0     -                 fixed
";
    assert_eq!(shown, expected);
}

/// Guards against a first or last try that depends on the order in which the files are given.
#[test]
fn lines_are_ordered_by_time_not_by_file() {
    let shown =
        |files: &[&str]| stdout_text(&LogFiles::write("usage-order", files).run(&["usage"]));
    assert_eq!(shown(&[KEEPERS[1], KEEPERS[0]]), shown(&KEEPERS));
    // The service accepted the same call twice, at different boxes.
    let first =
        r#"{"box":"keep-1","event":"usage report sent","t":130.0,"window":30,"outcome":"taken"}"#;
    let second =
        r#"{"box":"keep-2","event":"usage report sent","t":131.0,"window":30,"outcome":"taken"}"#;
    for files in [[first, second], [second, first]] {
        let table = shown(&files);
        let row = table.lines().nth(1).unwrap_or_default();
        assert!(row.contains("130.00") && row.contains("keep-2"), "{table}");
    }
}

#[test]
fn logs_without_usage_reports_are_an_error() {
    let logs = LogFiles::write("usage-none", &["{\"t\":1.0,\"event\":\"started\"}"]);
    let output = logs.run(&["usage"]);
    assert!(!output.status.success());
    assert!(
        stderr_text(&output).contains("specify the logs of storage boxes"),
        "{}",
        stderr_text(&output)
    );
}

//! The planners' sheet: errors name the line, the column, the value and the remedy.

use buckthorncleat::config::sheet;
use buckthorncleat::state::subject;

const ACCOUNT: &str = "account,chefs,,100,1000,normal,1,,,,,,,,,,,,,,,,,,,,";
const MODEL: &str = "model,resipi,,,,,,5000,100,2048,131072,,,,,,,,,,,,,,,,";
const ROUTE: &str = "route,stock,,,,,,,,,,,,,,,,,,,,/shop/stock,open,GET,no,800,0";
const SERVER: &str =
    "server,decode-1,,,,,,,,,,127.0.0.1:7505,klang-a,decode,resipi,,,20,64,1250,yes,,,,,,";

fn sheet_of(rows: &[&str]) -> String {
    let header = sheet::COLUMNS.join(",");
    format!("{header}\n{}\n", rows.join("\n"))
}

fn error_of(text: &[u8]) -> String {
    let read = sheet::Sheet::from_csv(text);
    read.expect_err("a fault").to_string()
}

#[test]
fn errors_name_line_column_value_and_remedy() {
    let table = include_str!("cases/sheet.txt").lines();
    for line in table.filter(|line| !line.starts_with('#')) {
        let cells: Vec<_> = line.split('|').map(str::trim).collect();
        let [kind, old, new, expected] = cells[..] else {
            panic!("four cells: {line}");
        };
        let rows = [ACCOUNT, MODEL, ROUTE, SERVER];
        let row = rows.into_iter().find(|row| row.starts_with(kind));
        let row = row.expect("a row of the kind");
        assert!(row.contains(old), "{old} is in {row}");
        let message = error_of(sheet_of(&[&row.replacen(old, new, 1)]).as_bytes());
        assert!(message.contains(expected), "{line}: {message}");
    }
}

#[test]
fn faults_between_rows_and_in_the_header_are_reported() {
    let other_server = SERVER.replace("decode-1", "decode-2");
    let table: &[(Vec<u8>, &str)] = &[
        (
            Vec::new(),
            "line 1, column (all): bad value `(empty)`: begin with the documented",
        ),
        (
            b"kind,name\n".to_vec(),
            "line 1, column (header): bad value `2`: use the header",
        ),
        (
            sheet_of(&[]).replace("rate", "rates").into_bytes(),
            "name this column `rate`",
        ),
        (
            sheet_of(&[ACCOUNT, ACCOUNT]).into_bytes(),
            "line 3, column name: bad value `chefs`: name it once for each time; line 2",
        ),
        (
            sheet_of(&[SERVER, &other_server]).into_bytes(),
            "line 3, column address: bad value `127.0.0.1:7505`: give it an address of its own",
        ),
        (
            [sheet_of(&[]).as_bytes(), b"account,\xff\xfe,\n"].concat(),
            "line 2, column (all)",
        ),
    ];
    for (text, expected) in table {
        let message = error_of(text);
        assert!(message.contains(expected), "{message}");
    }
}

#[test]
fn all_faults_are_reported_at_once() {
    let bad_account = ACCOUNT.replace(",100,1000,", ",0,x,");
    let bad_model = MODEL.replace("5000", "0");
    let message = error_of(sheet_of(&[&bad_account, ROUTE, &bad_model, "cook,,"]).as_bytes());
    let lines: Vec<_> = message.lines().collect();
    assert_eq!(lines.len(), 3, "{message}");
    for line in [
        "line 2, column burst",
        "line 4, column first",
        "line 5, column (all)",
    ] {
        assert!(message.contains(line), "{message}");
    }
}

#[test]
fn the_row_with_the_latest_time_up_to_the_given_one_is_in_effect() {
    let lunch = ACCOUNT.replace("chefs,,100", "chefs,11:30,50");
    let evening = ACCOUNT.replace("chefs,,100", "chefs,18:00,200");
    let text = sheet_of(&[&evening, ACCOUNT, &lunch, MODEL]);
    let sheet = sheet::Sheet::from_csv(text.as_bytes()).expect("a good sheet");
    let table = [
        (None, 3),
        (Some("00:00"), 3),
        (Some("11:29"), 3),
        (Some("11:30"), 4),
        (Some("17:59"), 4),
        (Some("23:59"), 2),
    ];
    for (at, line) in table {
        let at = at.map(|at: &str| at.parse().expect("a time"));
        let rows = sheet.rows_at(at);
        let account = rows
            .iter()
            .find(|r| r.subject().kind == subject::Kind::Account);
        assert_eq!(account.map(|r| r.line), Some(line), "{at:?}");
        assert_eq!(rows.len(), 2);
    }
}

#[test]
fn a_byte_order_mark_and_windows_line_ends_are_accepted() {
    let text = format!("\u{feff}{}", sheet_of(&[ACCOUNT]).replace('\n', "\r\n"));
    let sheet = sheet::Sheet::from_csv(text.as_bytes()).expect("a good sheet");
    assert_eq!(sheet.rows_at(None).len(), 1);
}

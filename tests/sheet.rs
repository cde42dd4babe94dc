//! The planners' sheet: every fault is named with line, column, value and remedy.

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

fn fault(text: &[u8]) -> String {
    let read = sheet::Sheet::from_csv(text);
    read.expect_err("a fault").to_string()
}

#[test]
fn faults_name_line_column_value_and_remedy() {
    let table: &[(&str, &str, &str, &str)] = &[
        (
            ACCOUNT,
            "account,",
            "acount,",
            "line 2, column kind: bad value `acount`: use `account`",
        ),
        (
            ACCOUNT,
            "chefs",
            "ch efs",
            "line 2, column name: bad value `ch efs`: use 1 to 64",
        ),
        (
            ACCOUNT,
            "chefs",
            "",
            "column name: bad value `(empty)`: fill it in",
        ),
        (
            ACCOUNT,
            ",100,",
            ",,",
            "column rate: bad value `(empty)`: fill it in",
        ),
        (
            ACCOUNT,
            ",100,",
            ",-1,",
            "column rate: bad value `-1`: use a whole number",
        ),
        (
            ACCOUNT,
            ",100,",
            ",0,",
            "column rate: bad value `0`: give at least 1",
        ),
        (
            ACCOUNT,
            ",1000,",
            ",99,",
            "column burst: bad value `99`: give at least one second",
        ),
        (
            ACCOUNT,
            "normal",
            "urgent",
            "column priority: bad value `urgent`: use `low`",
        ),
        (
            ACCOUNT,
            "normal,1,",
            "normal,0,",
            "column weight: bad value `0`: use 1 to 1000",
        ),
        (
            ACCOUNT,
            "chefs,,",
            "chefs,25:00,",
            "column from: bad value `25:00`: use HH:MM",
        ),
        (
            ACCOUNT,
            "chefs,,",
            "chefs,8:00,",
            "column from: bad value `8:00`: use HH:MM",
        ),
        (
            ACCOUNT,
            "normal,1,",
            "normal,1,5000",
            "column first_token_ms: bad value `5000`: leave",
        ),
        (
            ACCOUNT,
            "normal,1,",
            "normal,1",
            "column (all): bad value `26`: give each of the 27",
        ),
        (
            MODEL,
            "5000",
            "0",
            "column first_token_ms: bad value `0`: use 1 to 3600000",
        ),
        (
            MODEL,
            "2048",
            "0",
            "column max_output: bad value `0`: allow at least 1",
        ),
        (
            MODEL,
            "131072",
            "x",
            "column kv_bytes_per_token: bad value `x`: use a whole",
        ),
        (
            ROUTE,
            "/shop",
            "shop",
            "column prefix: bad value `shop/stock`: begin with `/`",
        ),
        (
            ROUTE,
            "/shop/stock",
            "/v1/x",
            "column prefix: bad value `/v1/x`: choose another",
        ),
        (
            ROUTE,
            "open",
            "public",
            "column access: bad value `public`: use `open` or `keyed`",
        ),
        (
            ROUTE,
            "GET",
            "get",
            "column idempotent_methods: bad value `get`: use upper-case",
        ),
        (
            ROUTE,
            ",no,",
            ",false,",
            "column require_idempotency_key: bad value `false`: use `yes`",
        ),
        (
            ROUTE,
            "800",
            "3600001",
            "column deadline_ms: bad value `3600001`: use 1 to",
        ),
        (
            SERVER,
            "127.0.0.1:7505",
            "localhost:1",
            "column address: bad value `localhost:1`: use IP",
        ),
        (
            SERVER,
            "127.0.0.1:7505",
            "127.0.0.1:0",
            "column address: bad value `127.0.0.1:0`: give a",
        ),
        (
            SERVER,
            "resipi",
            "",
            "column models: bad value ``: name at least one model",
        ),
        (
            SERVER,
            ",decode,",
            ",plain,",
            "column models: bad value `resipi`: leave empty",
        ),
        (
            SERVER,
            ",20,",
            ",0,",
            "column slots: bad value `0`: use 1 to 10000",
        ),
        (
            SERVER,
            "yes",
            "maybe",
            "column checks_fencing: bad value `maybe`: use `yes` or `no`",
        ),
        (
            SERVER,
            "resipi,,,",
            "resipi,,gone,",
            "column state: bad value `gone`: use `in-service`",
        ),
    ];
    for (row, old, new, expected) in table {
        assert!(row.contains(old), "{old} is in {row}");
        let message = fault(sheet_of(&[&row.replacen(old, new, 1)]).as_bytes());
        assert!(message.contains(expected), "{old} -> {new}: {message}");
    }
}

#[test]
fn faults_of_the_whole_sheet_are_found() {
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
        let message = fault(text);
        assert!(message.contains(expected), "{message}");
    }
}

#[test]
fn all_faults_are_reported_at_once() {
    let bad_account = ACCOUNT.replace(",100,1000,", ",0,x,");
    let bad_model = MODEL.replace("5000", "0");
    let message = fault(sheet_of(&[&bad_account, ROUTE, &bad_model, "cook,,"]).as_bytes());
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
fn the_latest_time_that_has_come_counts() {
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
fn a_byte_order_mark_and_windows_line_ends_are_taken() {
    let text = format!("\u{feff}{}", sheet_of(&[ACCOUNT]).replace('\n', "\r\n"));
    let sheet = sheet::Sheet::from_csv(text.as_bytes()).expect("a good sheet");
    assert_eq!(sheet.rows_at(None).len(), 1);
}

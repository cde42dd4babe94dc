//! The scripted cases of the third review: `third CASE FOLDER`, from the root of the repository.
//!
//! Writes `record.txt` into the folder. Exits with 1 if the rule of the case was broken, with 0 if it held,
//! with 2 if the case couldn't run. With `TROUBLE=0` the disruption is left out.

#[path = "stand_in_4_cases.rs"]
mod cases;
#[path = "stand_in_4_fleet.rs"]
mod fleet;
#[path = "stand_in_4_http.rs"]
mod http;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = &args[..] else {
        eprintln!("use: third CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = match fleet::Record::create(&Path::new(folder).join("record.txt")) {
        Ok(record) => Arc::new(record),
        Err(e) => {
            eprintln!("record.txt: {e}");
            return ExitCode::from(2);
        }
    };
    match cases::run(case, &record, has_trouble) {
        Ok(is_broken) => {
            let verdict = if is_broken { "broken" } else { "held" };
            record.line(&format!("the rule was {verdict}"));
            println!("{case}: the rule was {verdict}");
            ExitCode::from(u8::from(is_broken))
        }
        Err(e) => {
            record.line(&format!("the case couldn't run: {e}"));
            eprintln!("{case}: {e}");
            ExitCode::from(2)
        }
    }
}

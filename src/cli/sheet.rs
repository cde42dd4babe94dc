//! Commands on planners' sheets.

use serde_json::json;

use crate::cli::args;
use crate::cli::failure;
use crate::cli::output;
use crate::cli::resource;
use crate::cli::session;
use crate::config::sheet;
use crate::error;
use crate::http::admin::wire;
use crate::id;

/// Checks a sheet without contacting the control group.
///
/// # Errors
///
/// Fails if the sheet can't be read or has faults; the error names line, column, value and remedy
/// of each.
pub fn check(file: &args::SheetFile) -> error::Result<output::Output> {
    let sheet = read(file)?;
    let rows = sheet.rows_at(time_of(file)?).len();
    let times: Vec<_> = sheet.times().iter().map(ToString::to_string).collect();
    let text = match times.len() {
        0 => format!("ok: {rows} rows in effect"),
        _ => format!("ok: {rows} rows in effect; more at {}", times.join(" ")),
    };
    output::Output::new(text, &json!({ "ok": true, "rows": rows, "times": times }))
}

/// Shows the changes that a sheet would make.
///
/// # Errors
///
/// Fails if the sheet can't be read or has faults, or no control member answers.
pub async fn diff(
    cx: &session::Session,
    file: &args::SheetFile,
) -> failure::Result<output::Output> {
    let plan = plan(cx, file, &read(file)?).await?;
    Ok(output::Output::new(plan.to_string(), &plan)?)
}

/// Makes all changes of a sheet, or none.
///
/// # Errors
///
/// Fails if the sheet can't be read or has faults, if the configuration changed since it was
/// compared, or if the request is refused or gets no answer.
pub async fn apply(
    cx: &session::Session,
    file: &args::SheetFile,
) -> failure::Result<output::Output> {
    let sheet = read(file)?;
    let plan = plan(cx, file, &sheet).await?;
    if plan.steps.is_empty() {
        return unchanged(plan.revision);
    }
    let expected_revision = cx.expected_revision().unwrap_or(plan.revision);
    let changes = plan.changes();
    let body = session::to_body(&wire::Changes { changes })?;
    let path = "/v1/changes".to_owned();
    let mut write = cx.change(hyper::Method::POST, path, body, Some(expected_revision));
    write.operation = operation_of(&sheet, &write.body, expected_revision)?;
    resource::revision_output(cx.client.write(&write).await?)
}

fn unchanged(revision: id::Revision) -> failure::Result<output::Output> {
    let text = format!("nothing to change; revision {revision}");
    Ok(output::Output::new(text, &wire::Written { revision })?)
}

/// Returns a name for the request that is derived from the sheet, its changes and the revision.
///
/// The same sheet applied at the same revision is thus one request, whoever sends it again.
fn operation_of(
    sheet: &sheet::Sheet,
    body: &[u8],
    expected_revision: id::Revision,
) -> error::Result<id::OperationId> {
    let sheet = sheet.digest();
    let body = xxhash_rust::xxh3::xxh3_64(body);
    let prefix = sheet::plan::OPERATION_PREFIX;
    format!("{prefix}{sheet:016x}-{body:016x}-{expected_revision}").parse()
}

async fn plan(
    cx: &session::Session,
    file: &args::SheetFile,
    sheet: &sheet::Sheet,
) -> failure::Result<sheet::plan::Plan> {
    let at = time_of(file)?;
    let config: wire::Config = cx.client.read("/v1/config").await?;
    let audit: wire::Audit = cx.client.read("/v1/audit").await?;
    let config = config.to_config();
    let plan = sheet::plan::Plan::new(sheet, at, file.prune, &config, &audit.entries);
    Ok(plan)
}

fn read(file: &args::SheetFile) -> error::Result<sheet::Sheet> {
    sheet::Sheet::from_file(&file.file)
}

fn time_of(file: &args::SheetFile) -> error::Result<Option<sheet::time::TimeOfDay>> {
    file.at.as_deref().map(str::parse).transpose()
}

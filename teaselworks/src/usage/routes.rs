//! Operators' HTTP requests about workspaces: use and budgets.

use std::sync::Arc;

use poem::http::StatusCode;
use poem::web::{Data, Json, Query};
use poem::{EndpointExt, IntoEndpoint, IntoResponse, Response, Route, get, handler};
use serde::{Deserialize, Serialize};
use serde_json::json;
use teaselworks_config::configuration::Configuration;
use teaselworks_policy::budget::{BudgetLimit, BudgetPeriod, BudgetValue, Drawn};
use teaselworks_policy::name::Name;
use teaselworks_policy::usage::{Period, UseRow};
use teaselworks_policy::verdict::RefusalReason;

use super::service::UsageService;

/// Answer to `GET /v1/workspaces/use`.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct UseReport {
    /// Use by workspace, model and adapter.
    pub rows: Vec<UseRow>,
}

/// What a report is limited to.
#[derive(Clone, Debug, Default, Deserialize)]
struct ReportQuery {
    /// Month, as `2027-03`; the current one when absent.
    period: Option<Period>,
    /// Workspace; all when absent.
    workspace: Option<Name>,
}

/// One workspace in the answer to `GET /v1/workspaces`.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceRow {
    /// Name.
    pub workspace: Name,
    /// Tokens the workspace may use in a period; `None`: no limit.
    pub budget_tokens: Option<u64>,
    /// Length of the period in milliseconds.
    pub period_ms: Option<u64>,
    /// Tokens used in this period, as entries have reported; `None` while the platform does not
    /// answer.
    pub used_tokens: Option<u64>,
    /// Tokens drawn from the budget and not reported as used: reserved, held ahead or lost.
    pub reserved_tokens: Option<u64>,
}

/// Returns the configuration in force.
type CurrentConfiguration = Arc<dyn Fn() -> Arc<Configuration> + Send + Sync>;

/// Returns the routes below `/v1/workspaces`; `configuration` gives what is in force.
pub fn routes(
    usage: Arc<UsageService>,
    configuration: impl Fn() -> Arc<Configuration> + Send + Sync + 'static,
) -> impl IntoEndpoint {
    let configuration: CurrentConfiguration = Arc::new(configuration);
    Route::new()
        .at("/", get(list_workspaces))
        .at("/use", get(report_use))
        .data(usage)
        .data(configuration)
}

#[handler]
async fn report_use(usage: Data<&Arc<UsageService>>, query: Query<ReportQuery>) -> Response {
    let period = query.period.unwrap_or_else(|| usage.period());
    let mut rows = match usage.report(period).await {
        Ok(rows) => rows,
        Err(error) => {
            let reason = RefusalReason::PlatformUnavailable;
            let body = json!({ "error": { "reason": reason, "message": error.to_string() } });
            return Json(body).with_status(StatusCode::SERVICE_UNAVAILABLE).into_response();
        }
    };
    if let Some(workspace) = &query.workspace {
        rows.retain(|row| row.key.workspace == *workspace);
    }
    Json(UseReport { rows }).into_response()
}

#[handler]
async fn list_workspaces(
    usage: Data<&Arc<UsageService>>,
    configuration: Data<&CurrentConfiguration>,
) -> Json<Vec<WorkspaceRow>> {
    let configuration = configuration();
    let values = usage.drawn().await;
    let mut rows = Vec::new();
    for (name, workspace) in &configuration.workspaces {
        let budget = workspace.budget.as_ref();
        let drawn = budget.zip(values.as_ref()).map(|(budget, values)| {
            let limit = BudgetLimit { tokens: budget.tokens, period_ms: budget.period_ms };
            drawn_of(values, name, limit.period_at(usage.wall_ms()))
        });
        rows.push(WorkspaceRow {
            workspace: name.clone(),
            budget_tokens: budget.map(|budget| budget.tokens),
            period_ms: budget.map(|budget| budget.period_ms),
            used_tokens: drawn.map(|drawn| drawn.used_tokens),
            reserved_tokens: drawn
                .map(|drawn| drawn.drawn_tokens.saturating_sub(drawn.used_tokens)),
        });
    }
    Json(rows)
}

fn drawn_of(values: &[BudgetValue], workspace: &Name, period: BudgetPeriod) -> Drawn {
    let key = (workspace.clone(), period);
    values.iter().find_map(|value| value.accounts.get(&key)).copied().unwrap_or_default()
}

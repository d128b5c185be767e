//! Paths of the HTTP interface with their methods.

use super::request::percent_decode;

/// Methods of a path, as the `Allow` header lists them.
pub type AllowedMethods = &'static str;

/// A route of the HTTP interface.
#[derive(Debug, PartialEq, Eq)]
pub enum Route {
    /// `POST /v1/requests`.
    Requests,
    /// `POST /v1/jobs`.
    Jobs,
    /// `GET /v1/jobs`.
    JobList,
    /// `GET /v1/jobs/{id}`.
    Job(String),
    /// `GET /v1/jobs/{id}/wait`.
    JobWait(String),
    /// `POST /v1/jobs/{id}/cancel`.
    JobCancel(String),
    /// `GET /v1/jobs/{id}/explain`.
    JobExplain(String),
    /// `GET /v1/config`.
    Config,
    /// `POST /v1/config/check`.
    ConfigCheck,
    /// `POST /v1/config/publish`.
    ConfigPublish,
    /// `GET /v1/status`.
    Status,
    /// `GET /v1/state`.
    State,
    /// `GET /healthz`.
    Live,
    /// `GET /readyz`.
    Ready,
}

/// Why a request has no route.
#[derive(Debug, PartialEq, Eq)]
pub enum RouteError {
    /// The path does not exist.
    NotFound,
    /// The path exists, but only with these methods.
    MethodNotAllowed(AllowedMethods),
}

impl Route {
    /// Finds the route of a request.
    ///
    /// # Errors
    ///
    /// Fails when the path does not exist or does not have this method.
    pub fn new(method: &str, path: &str) -> Result<Self, RouteError> {
        let segments = path.strip_prefix('/').unwrap_or(path).split('/');
        let segments: Option<Vec<String>> = segments.map(percent_decode).collect();
        let segments = segments.ok_or(RouteError::NotFound)?;
        let segments: Vec<&str> = segments.iter().map(String::as_str).collect();
        if method == "POST" && segments == ["v1", "jobs"] {
            return Ok(Self::Jobs);
        }
        let (allowed, route) = Self::of_path(&segments).ok_or(RouteError::NotFound)?;
        if route == Self::JobList && method != "GET" {
            return Err(RouteError::MethodNotAllowed("GET, POST"));
        }
        if method != allowed {
            return Err(RouteError::MethodNotAllowed(allowed));
        }
        Ok(route)
    }

    /// Returns the route of a path and its method; `Route::new` handles `POST /v1/jobs`.
    fn of_path(segments: &[&str]) -> Option<(AllowedMethods, Self)> {
        Some(match segments {
            ["v1", "requests"] => ("POST", Self::Requests),
            ["v1", "jobs"] => ("GET", Self::JobList),
            ["v1", "jobs", job] => ("GET", Self::Job((*job).into())),
            ["v1", "jobs", job, "wait"] => ("GET", Self::JobWait((*job).into())),
            ["v1", "jobs", job, "cancel"] => ("POST", Self::JobCancel((*job).into())),
            ["v1", "jobs", job, "explain"] => ("GET", Self::JobExplain((*job).into())),
            ["v1", "config"] => ("GET", Self::Config),
            ["v1", "config", "check"] => ("POST", Self::ConfigCheck),
            ["v1", "config", "publish"] => ("POST", Self::ConfigPublish),
            ["v1", "status"] => ("GET", Self::Status),
            ["v1", "state"] => ("GET", Self::State),
            ["healthz"] => ("GET", Self::Live),
            ["readyz"] => ("GET", Self::Ready),
            _ => return None,
        })
    }
}

//! Parses the operators' configuration part by part, so that an invalid part affects only itself.
//!
//! A newer version of the operators' tool, or a bug in it, may write a kind, a field or a whole
//! route that this version does not understand. Rejecting the whole document would keep every route
//! on the previous version or, after a restart, leave all callers without service.

use std::sync::Arc;

use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_json::value::RawValue;
use smallvec::SmallVec;

use super::CallerLimits;
use super::Route;
use super::RouteKind;
use super::RouteTable;
use super::ServiceConfig;
use crate::errors::Code;
use crate::workspace::KeyHash;
use crate::workspace::Workspace;
use crate::workspace::WorkspaceTable;

/// Timeout and target latency, in milliseconds, of a route that refuses all requests. Neither is
/// ever used.
const REFUSING_ROUTE_MS: u64 = 1;

/// A part of the configuration that could not be parsed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigFault {
    pub code: Code,
    /// Name of the route, service or workspace, or `limits`; empty if it cannot be read.
    pub name: String,
    /// The parse error, or what is unsupported.
    pub why: String,
    /// Whether the part is replaced by the one of the previous version.
    pub kept: bool,
}

/// A parsed configuration and the parts of it that could not be parsed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ParsedConfig {
    pub table: RouteTable,
    pub faults: Vec<ConfigFault>,
}

/// The document with its parts still unparsed. Each list may be missing.
#[derive(Debug, Deserialize)]
struct Document<'a> {
    version: u64,
    #[serde(borrow, default)]
    routes: Vec<&'a RawValue>,
    #[serde(borrow, default)]
    services: Vec<&'a RawValue>,
    #[serde(borrow, default)]
    limits: Option<&'a RawValue>,
    /// If absent, requests need no API key.
    #[serde(borrow, default)]
    workspaces: Option<Vec<&'a RawValue>>,
}

/// The fields of an unreadable workspace that tell whose API keys it affects.
#[derive(Debug, Default, Deserialize)]
struct WorkspaceStub {
    #[serde(default)]
    name: Option<Arc<str>>,
    #[serde(default)]
    key_hashes: Option<Vec<KeyHash>>,
}

/// The fields of an unreadable route that tell which requests it affects.
#[derive(Debug, Default)]
struct RouteStub {
    name: String,
    host: Option<String>,
    prefix: Option<String>,
}

impl RouteStub {
    fn from_part(part: &RawValue) -> Self {
        // The part is valid JSON; one that is not an object yields empty fields.
        let value: Value = serde_json::from_str(part.get()).unwrap_or_default();
        let text = |name: &str| value.get(name).and_then(Value::as_str).map(str::to_owned);
        Self { name: text("name").unwrap_or_default(), host: text("host"), prefix: text("prefix") }
    }

    /// A route without a target. Its requests are answered as not executed, so that they can be
    /// retried; "no such route" would be a final answer. `None` if the host or the prefix is
    /// unknown.
    fn into_refusing_route(self) -> Option<Route> {
        Some(Route {
            name: self.name,
            host: self.host?,
            prefix: self.prefix?,
            kind: RouteKind::Unknown,
            timeout_ms: REFUSING_ROUTE_MS,
            aim_ms: REFUSING_ROUTE_MS,
            attempts_max: 1,
            priority: 0,
            key_exempt: false,
            service: None,
            targets: SmallVec::new(),
        })
    }
}

fn parse<T: DeserializeOwned>(part: &RawValue) -> Result<T, String> {
    serde_json::from_str(part.get()).map_err(|err| err.to_string())
}

/// Parses a route and validates it.
fn parse_route(part: &RawValue) -> Result<Route, String> {
    let route: Route = parse(part)?;
    route.validate()?;
    Ok(route)
}

/// Parses the limits and validates them.
fn parse_limits(part: &RawValue) -> Result<CallerLimits, String> {
    let limits: CallerLimits = parse(part)?;
    limits.validate()?;
    Ok(limits)
}

/// Parses a service and validates it.
fn parse_service(part: &RawValue) -> Result<ServiceConfig, String> {
    let service: ServiceConfig = parse(part)?;
    service.validate()?;
    Ok(service)
}

/// Parses a workspace and validates it.
fn parse_workspace(part: &RawValue) -> Result<Workspace, String> {
    let workspace: Workspace = parse(part)?;
    workspace.validate()?;
    Ok(workspace)
}

/// Parses the parts of one document and falls back to the previous table for invalid parts.
struct ConfigParser<'a> {
    /// The table of the previous version.
    previous: Option<&'a RouteTable>,
    faults: Vec<ConfigFault>,
}

impl ConfigParser<'_> {
    fn record_fault(&mut self, code: Code, name: String, why: String, kept: bool) {
        self.faults.push(ConfigFault { code, name, why, kept });
    }

    fn route(&mut self, part: &RawValue) -> Option<Arc<Route>> {
        match parse_route(part) {
            Ok(route) => {
                if route.kind == RouteKind::Unknown {
                    let why = "unknown kind: its requests are not repeated";
                    self.record_fault(
                        Code::RouteKindUnknown,
                        route.name.clone(),
                        why.into(),
                        false,
                    );
                }
                Some(Arc::new(route))
            }
            Err(why) => {
                let stub = RouteStub::from_part(part);
                let kept = self.previous.and_then(|table| table.route_named(&stub.name)).cloned();
                self.record_fault(Code::RouteUnreadable, stub.name.clone(), why, kept.is_some());
                kept.or_else(|| stub.into_refusing_route().map(Arc::new))
            }
        }
    }

    fn service(&mut self, part: &RawValue) -> Option<ServiceConfig> {
        match parse_service(part) {
            Ok(service) => Some(service),
            Err(why) => {
                let name = RouteStub::from_part(part).name;
                let previous = self.previous.and_then(|table| table.services.get(name.as_str()));
                self.record_fault(Code::ServiceUnreadable, name, why, previous.is_some());
                previous.cloned()
            }
        }
    }

    /// Parses the workspaces. An unreadable workspace suspends its API keys, unless its key hashes
    /// are readable and its other fields are known from the previous table. The previous keys are
    /// never reused: the operators may have revoked them.
    fn workspaces(&mut self, parts: &[&RawValue]) -> WorkspaceTable {
        let mut table = WorkspaceTable::default();
        let mut suspended = Vec::new();
        for part in parts {
            match parse_workspace(part) {
                Ok(workspace) => table.add(workspace),
                Err(why) => self.recover_workspace(part, why, &mut table, &mut suspended),
            }
        }
        table.suspend(&suspended);
        table
    }

    /// Adds an unreadable workspace with its new key hashes and its previous fields, or else adds
    /// its API keys to `suspended`.
    fn recover_workspace(
        &mut self,
        part: &RawValue,
        why: String,
        table: &mut WorkspaceTable,
        suspended: &mut Vec<KeyHash>,
    ) {
        let stub: WorkspaceStub = parse(part).unwrap_or_default();
        let name = stub.name.unwrap_or_default();
        let previous =
            self.previous.and_then(|previous| previous.workspaces.as_ref()?.by_name(&name));
        let previous = previous.cloned();
        let kept = previous.is_some() && stub.key_hashes.is_some();
        match (previous, stub.key_hashes) {
            (Some(previous), Some(key_hashes)) => {
                table.add(Workspace { key_hashes, ..Workspace::clone(&previous) });
            }
            (Some(previous), None) => suspended.extend(&previous.key_hashes),
            (None, Some(key_hashes)) => suspended.extend(key_hashes),
            (None, None) => {}
        }
        self.record_fault(Code::WorkspaceUnreadable, name.to_string(), why, kept);
    }

    fn limits(&mut self, part: &RawValue) -> CallerLimits {
        parse_limits(part).unwrap_or_else(|why| {
            self.record_fault(
                Code::LimitsUnreadable,
                "limits".into(),
                why,
                self.previous.is_some(),
            );
            self.previous.map_or_else(CallerLimits::default, |table| table.limits)
        })
    }
}

impl RouteTable {
    /// Parses a JSON configuration in which API keys are already replaced by their hashes.
    ///
    /// A route, service or limits section that cannot be parsed keeps its `previous` version if
    /// there is one; the returned faults describe each such part.
    ///
    /// # Errors
    ///
    /// Fails if the text is not JSON, has no version, or has a field that is not a list where one
    /// is expected. Nothing of it can be used then.
    pub fn parse(text: &[u8], previous: Option<&Self>) -> Result<ParsedConfig, String> {
        let document: Document<'_> = serde_json::from_slice(text).map_err(|err| err.to_string())?;
        let mut parser = ConfigParser { previous, faults: Vec::new() };
        let routes = document.routes.iter().filter_map(|part| parser.route(part)).collect();
        let services = document.services.iter().filter_map(|part| parser.service(part)).collect();
        let limits = match document.limits {
            Some(part) => parser.limits(part),
            None => CallerLimits::default(),
        };
        let workspaces = document.workspaces.as_ref().map(|parts| parser.workspaces(parts));
        let mut table = Self::new(document.version, routes, services, limits);
        table.workspaces = workspaces;
        Ok(ParsedConfig { table, faults: parser.faults })
    }
}

//! Reads the operators' configuration, so that one part that cannot be read costs only that part.
//!
//! A newer operator's tool, or a fault of it, may write a kind, a field or a whole route that this
//! version does not understand. Rejecting the document for it would leave all routes on the version
//! before, or, at a start, every caller without service.

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

/// Timeout and aim of a route that takes no requests; neither is ever used.
const REFUSING_ROUTE_MS: u64 = 1;

/// A part of the configuration that could not be read as written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigFault {
    pub code: Code,
    /// The name of the route or service, as far as it can be read.
    pub name: String,
    pub why: String,
    /// The part of the version before stays in force in its place.
    pub kept: bool,
}

/// A configuration that was read, with the parts that could not be.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ParsedConfig {
    pub table: RouteTable,
    pub faults: Vec<ConfigFault>,
}

/// The document, its parts unread. Each list may be missing.
#[derive(Debug, Deserialize)]
struct Document<'a> {
    version: u64,
    #[serde(borrow, default)]
    routes: Vec<&'a RawValue>,
    #[serde(borrow, default)]
    services: Vec<&'a RawValue>,
    #[serde(borrow, default)]
    limits: Option<&'a RawValue>,
    /// Without it requests need no key.
    #[serde(borrow, default)]
    workspaces: Option<Vec<&'a RawValue>>,
}

/// What is needed of a workspace that cannot be read whole, to know whose keys it concerns.
#[derive(Debug, Default, Deserialize)]
struct WorkspaceStub {
    #[serde(default)]
    name: Option<Arc<str>>,
    #[serde(default)]
    key_hashes: Option<Vec<KeyHash>>,
}

/// What is needed of a route that cannot be read whole, to know which requests it concerns.
#[derive(Debug, Default)]
struct RouteStub {
    name: String,
    host: Option<String>,
    prefix: Option<String>,
}

impl RouteStub {
    fn of(part: &RawValue) -> Self {
        // Only valid JSON gets here; of any other shape than a table there is nothing to learn.
        let value: Value = serde_json::from_str(part.get()).unwrap_or_default();
        let text = |name: &str| value.get(name).and_then(Value::as_str).map(str::to_owned);
        Self { name: text("name").unwrap_or_default(), host: text("host"), prefix: text("prefix") }
    }

    /// A route that takes no requests: they are told that they did not run, not that there is no
    /// such route, which would be final for them.
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

/// A route that can be used as it was written.
fn parse_route(part: &RawValue) -> Result<Route, String> {
    let route: Route = parse(part)?;
    if route.has_target() { Ok(route) } else { Err("names no service".into()) }
}

/// A workspace that can be used as it was written.
fn parse_workspace(part: &RawValue) -> Result<Workspace, String> {
    let workspace: Workspace = parse(part)?;
    workspace.validate()?;
    Ok(workspace)
}

/// Reads the parts of one document, in the light of the table before it.
struct ConfigParser<'a> {
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
                    let why = "a kind that is not known: its requests are not repeated";
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
                let stub = RouteStub::of(part);
                let kept = self.previous.and_then(|table| table.route_named(&stub.name)).cloned();
                self.record_fault(Code::RouteUnreadable, stub.name.clone(), why, kept.is_some());
                kept.or_else(|| stub.into_refusing_route().map(Arc::new))
            }
        }
    }

    fn service(&mut self, part: &RawValue) -> Option<ServiceConfig> {
        match parse::<ServiceConfig>(part) {
            Ok(rule) => Some(rule),
            Err(why) => {
                let name = RouteStub::of(part).name;
                let before = self.previous.and_then(|table| table.services.get(name.as_str()));
                self.record_fault(Code::ServiceUnreadable, name, why, before.is_some());
                before.cloned()
            }
        }
    }

    /// The workspaces. One that cannot be read closes its keys, unless they can be read and the rest is
    /// known from the table before: keys that the operators took away must not come back.
    fn workspaces(&mut self, parts: &[&RawValue]) -> WorkspaceTable {
        let mut table = WorkspaceTable::default();
        let mut closed = Vec::new();
        for part in parts {
            match parse_workspace(part) {
                Ok(workspace) => table.add(workspace),
                Err(why) => self.recover_workspace(part, why, &mut table, &mut closed),
            }
        }
        table.suspend(&closed);
        table
    }

    fn recover_workspace(
        &mut self,
        part: &RawValue,
        why: String,
        table: &mut WorkspaceTable,
        closed: &mut Vec<KeyHash>,
    ) {
        let stub: WorkspaceStub = parse(part).unwrap_or_default();
        let name = stub.name.unwrap_or_default();
        let before = self.previous.and_then(|before| before.workspaces.as_ref()?.by_name(&name));
        let before = before.cloned();
        let kept = before.is_some() && stub.key_hashes.is_some();
        match (before, stub.key_hashes) {
            (Some(before), Some(key_hashes)) => {
                table.add(Workspace { key_hashes, ..Workspace::clone(&before) });
            }
            (Some(before), None) => closed.extend(&before.key_hashes),
            (None, Some(key_hashes)) => closed.extend(key_hashes),
            (None, None) => {}
        }
        self.record_fault(Code::WorkspaceUnreadable, name.to_string(), why, kept);
    }

    fn limits(&mut self, part: &RawValue) -> CallerLimits {
        parse(part).unwrap_or_else(|why| {
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
    /// Reads a configuration in JSON, with the hashes of keys in their place.
    ///
    /// A route, service or limits that cannot be read stay as they
    /// are `before`, where they are known there; what else they cost is told by the faults.
    ///
    /// # Errors
    /// When it is no JSON, has no version, or no lists: then nothing of it can be used.
    pub fn parse(text: &[u8], before: Option<&Self>) -> Result<ParsedConfig, String> {
        let document: Document<'_> = serde_json::from_slice(text).map_err(|err| err.to_string())?;
        let mut reader = ConfigParser { previous: before, faults: Vec::new() };
        let routes = document.routes.iter().filter_map(|part| reader.route(part)).collect();
        let services = document.services.iter().filter_map(|part| reader.service(part)).collect();
        let limits = match document.limits {
            Some(part) => reader.limits(part),
            None => CallerLimits::default(),
        };
        let workspaces = document.workspaces.as_ref().map(|parts| reader.workspaces(parts));
        let mut table = Self::new(document.version, routes, services, limits);
        table.workspaces = workspaces;
        Ok(ParsedConfig { table, faults: reader.faults })
    }
}

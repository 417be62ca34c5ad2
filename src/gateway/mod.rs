//! Requests by routes, on a platform that lists routes and backend servers in its store.
//!
//! A caller's request is read by [`CallerHandler`], routed by the [`RouteTable`] in force, given a
//! slot by the [`Dispatcher`] and forwarded by the [`Forwarder`]. What the platform calls things
//! is known only to its [`Dialect`].

mod caller_handler;
mod dialect;
mod dispatcher;
mod follower;
mod forward_request;
mod forwarder;
mod framing;
mod homes;
mod http_listener;
mod load_report;
mod load_share;
mod mirror;
mod platform_handlers;
mod prober;
mod registry;
mod reply;
mod routes;
mod send;
mod server_conn;
mod server_conns;
mod server_row;
mod sinks;

pub use caller_handler::BodyRoom;
pub use caller_handler::CallerHandler;
pub use caller_handler::TableInForce;
pub use dialect::Dialect;
pub use dialect::FieldNames;
pub use dialect::Paths;
pub use dialect::StoreKeys;
pub use dispatcher::Dispatcher;
pub use dispatcher::Grant;
pub use dispatcher::Server;
pub use follower::Follower;
pub use forward_request::ForwardRequest;
pub use forwarder::Forwarder;
pub use framing::BodyDecoder;
pub use framing::Framing;
pub use homes::all_homes;
pub use homes::homes_of_zone;
pub use homes::is_home;
pub use http_listener::ConnLimits;
pub use http_listener::Handler;
pub use http_listener::HttpListener;
pub use load_report::LoadReport;
pub use load_share::LoadShare;
pub use mirror::Mirror;
pub use mirror::Sink;
pub use platform_handlers::AddressHandler;
pub use platform_handlers::ReadinessHandler;
pub use prober::Prober;
pub use registry::Registry;
pub use reply::Reply;
pub use reply::ReplyBody;
pub use routes::CallerLimits;
pub use routes::Declaration;
pub use routes::Route;
pub use routes::RouteKind;
pub use routes::RouteTable;
pub use routes::ServiceRule;
pub use routes::Target;
pub use send::SendResult;
pub use send::ServerAnswer;
pub use send::send;
pub use server_conn::AnswerHead;
pub use server_conn::Echo;
pub use server_conn::ExchangeError;
pub use server_conn::ServerConn;
pub use server_conns::ServerConns;
pub use server_row::ServerRow;
pub use server_row::ServerState;
pub use sinks::ConfigSink;
pub use sinks::ServerSink;

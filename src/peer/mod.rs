//! Communication between instances: authenticated HTTP/2 connections that carry `bincode` messages.

mod auth;
mod forward;
mod frame;
mod link;
mod links;
mod listener;
mod message;
mod packed;
mod peer_client;
mod queued_bytes;

pub use forward::ForwardHead;
pub use forward::ForwardReply;
pub use forward::ForwardReplyHead;
pub use forward::ForwardStage;
pub use frame::FRAME_MAX_BYTES;
pub use frame::Message;
pub use frame::decode;
pub use frame::encode;
pub use frame::split_rows;
pub use link::PeerError;
pub use links::Links;
pub use listener::PeerListener;
pub use listener::PeerService;
pub use message::Feed;
pub use message::FeedReply;
pub use message::FeedResponse;
pub use message::GrantRequest;
pub use message::LoadNote;
pub use message::PeerReply;
pub use message::PeerRequest;
pub use message::ServerLoadRow;
pub use message::ServerLoads;
pub use message::zone_hash;
pub use packed::Packed;
pub use peer_client::PeerClient;

//! State machines that live as long as the process.

pub mod admission;
pub mod balancer;
pub mod burn;
pub mod detector;
pub mod drain;
pub mod ejections;
pub mod evidence;
pub mod fan_out;
pub mod health_estimate;
pub mod heartbeat;
pub mod latency;
pub mod leader_assignment;
pub mod membership;
pub mod node_lifecycle;
pub mod peer_table;
pub mod picker;
pub mod readmission;
pub mod recent_ranks;
pub mod registration;
pub mod server_registry;
pub mod service_leader;
pub mod service_outcomes;
pub mod slot_leases;
pub mod stream_position;
pub mod stream_watch;
pub mod tracked_server;

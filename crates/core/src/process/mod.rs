//! State machines that live as long as the process.

pub mod admission;
pub mod balancer;
pub mod belief;
pub mod burn;
pub mod credits;
pub mod detector;
pub mod drain;
pub mod duties;
pub mod ejections;
pub mod evidence;
pub mod feed;
pub mod heartbeat;
pub mod latency;
pub mod life;
pub mod member;
pub mod membership;
pub mod mesh;
pub mod outcomes;
pub mod picker;
pub mod readmission;
pub mod registration;
pub mod roster;
pub mod steward;
pub mod urgency;

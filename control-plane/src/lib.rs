//! The drives of what `replication/` decides, on tokio's current-thread runtime.
//!
//! [`frames`] reads and writes messages and counts them by cause. [`serve`] is an origin or a distributor, [`follow`] a
//! gateway's end, with its snapshot beside it ([`beside`]); what both have in common, the end that asks, is [`asking`],
//! and [`choice`] decides whom it calls. [`operator`] reads the operators' file and the staff's changes, [`staff`] sends
//! these and asks how it is.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub(crate) mod asking;
pub mod beside;
pub mod choice;
pub mod clock;
pub mod follow;
pub mod frames;
pub mod operator;
pub mod serve;
pub mod staff;

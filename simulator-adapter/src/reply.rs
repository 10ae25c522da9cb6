//! Writes the balancer's actions as lines of the protocol.

use crate::gateway::Gateway;
use std::fmt::Write as _;
use ternstack_balancer::Action;

/// The reply to the current batch.
#[derive(Default)]
pub struct Reply {
    text: String,
    /// Name of the gateway whose actions were added last; `None` at the start of a reply.
    last_gateway: Option<String>,
}

impl Reply {
    /// Appends a line for each action of the gateway `name`. A line that names the gateway precedes the
    /// actions unless the last line of the reply is for the same gateway.
    pub fn add_actions(&mut self, name: &str, gateway: &Gateway, actions: &[Action]) {
        if actions.is_empty() {
            return;
        }
        if self.last_gateway.as_deref() != Some(name) {
            // Writing to a `String` cannot fail.
            let _ = writeln!(self.text, "FOR i={name}");
            self.last_gateway = Some(name.to_string());
        }
        for action in actions {
            self.add_action(gateway, action);
        }
    }

    /// Appends the line that ends the reply and returns the reply. The next reply begins empty.
    pub fn finish(&mut self) -> String {
        self.last_gateway = None;
        self.text.push_str("NEXT\n");
        std::mem::take(&mut self.text)
    }

    fn add_action(&mut self, gateway: &Gateway, action: &Action) {
        let text = &mut self.text;
        let _ = match action {
            Action::Send { request, endpoint, give_up_at_ms } => {
                let (id, host) = (gateway.request_name(*request), gateway.endpoint_name(*endpoint));
                writeln!(text, "RELAY id={id} host={host} try_until_ms={give_up_at_ms:.3}")
            }
            Action::Cancel { request, attempt } => {
                writeln!(text, "REVOKE id={} try={attempt}", gateway.request_name(*request))
            }
            Action::Reject { request, retry_after_ms, .. } => {
                let id = gateway.request_name(*request);
                writeln!(text, "OVERLOAD_REPLY id={id} stay_away_ms={retry_after_ms:.3}")
            }
            Action::Fail { request } => writeln!(text, "DROP_REQUEST id={}", gateway.request_name(*request)),
            Action::Timer { at_ms, token } => writeln!(text, "SET_TIMER time_ms={at_ms:.3} ref={token}"),
            Action::HealthCheck { endpoint } => {
                writeln!(text, "HEALTH_CHECK host={}", gateway.endpoint_name(*endpoint))
            }
            Action::WatchEndpoints => writeln!(text, "TAIL want=1"),
            // A newline within the message would end the line early.
            Action::Log(message) => writeln!(text, "PRINT words={}", message.replace(['\n', '\r'], " ")),
        };
    }
}

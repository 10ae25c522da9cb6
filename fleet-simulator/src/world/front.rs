//! The front-end balancer, which distributes clients over the gateways of their zone and detects the death of
//! a gateway with a delay.

/// Front-end balancer of all zones.
#[derive(Debug)]
pub struct Front {
    /// Zone of each gateway.
    zones: Vec<u32>,
    /// Whether the front end considers each gateway alive.
    considered_alive: Vec<bool>,
}

impl Front {
    /// Creates a front end for live gateways in these zones.
    pub fn new(zones: Vec<u32>) -> Self {
        Front { considered_alive: vec![true; zones.len()], zones }
    }

    /// Records that a gateway has been found dead or ready.
    pub fn set_alive(&mut self, gateway: usize, alive: bool) {
        self.considered_alive[gateway] = alive;
    }

    /// Returns the gateway for a client of a zone, selected by a uniform `draw` from 0 to 1. Gateways of
    /// other zones are used only if none of the zone is considered alive; `None` if no gateway is.
    pub fn pick(&self, zone: u32, draw: f64) -> Option<usize> {
        let eligible =
            |own: bool| move |g: &usize| self.considered_alive[*g] && (!own || self.zones[*g] == zone);
        let all = 0..self.zones.len();
        let own = all.clone().filter(eligible(true)).count();
        let count = if own > 0 { own } else { all.clone().filter(eligible(false)).count() };
        all.filter(eligible(own > 0)).nth((draw * count as f64) as usize)
    }
}

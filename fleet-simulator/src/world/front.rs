//! The layer that spreads clients over the gateways of their zone, and learns late that one has died.

/// The front.
#[derive(Debug)]
pub struct Front {
    zones: Vec<u32>,     // Of each gateway.
    believed: Vec<bool>, // Whether it sends there.
}

impl Front {
    /// A front before gateways in these zones, all alive.
    pub fn new(zones: Vec<u32>) -> Self {
        Front { believed: vec![true; zones.len()], zones }
    }

    /// It has noticed that a gateway is dead, or ready.
    pub fn notice(&mut self, gateway: usize, alive: bool) {
        self.believed[gateway] = alive;
    }

    /// The gateway for a client in a zone, by an even draw from 0 to 1. Where it knows of none alive in that zone,
    /// another zone's; `None` where it knows of none at all.
    pub fn pick(&self, zone: u32, draw: f64) -> Option<usize> {
        let fit = |own: bool| move |g: &usize| self.believed[*g] && (!own || self.zones[*g] == zone);
        let all = 0..self.zones.len();
        let own = all.clone().filter(fit(true)).count();
        let count = if own > 0 { own } else { all.clone().filter(fit(false)).count() };
        all.filter(fit(own > 0)).nth((draw * count as f64) as usize)
    }
}

//! Customers and the API keys that identify their requests.
//!
//! A key is a secret: only its digest is kept, digests are compared in
//! constant time, and no output of this module contains a key. The invariant:
//! a request belongs to a customer if and only if the configuration in force
//! assigns its key to that customer.

use std::{
    collections::HashMap,
    fmt,
    hash::{Hash, Hasher},
    rc::Rc,
};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// The name of a customer.
pub type CustomerName = String;

/// Number of route priorities that are distinguished within one customer's
/// priority. Ten values are available for both.
const ROUTE_PRIORITIES: u8 = 3;

/// The lowest priority that endpoints support.
const LOWEST_PRIORITY: u8 = 9;

/// The SHA-256 digest of an API key. Keys are random, so that it needs no
/// salt.
#[derive(Clone, Copy, Deserialize, Serialize)]
pub struct KeyDigest([u8; 32]);

/// A customer, with its priority and its allowance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Customer {
    /// The name, which is sent to endpoints.
    pub name: CustomerName,
    /// The priority, 0 being the most urgent. It takes precedence over the
    /// route's.
    pub priority: u8,
    /// What the customer may use at all instances together; `None` if it is
    /// not limited.
    pub allowance: Option<Allowance>,
}

/// What one customer may use at all instances together.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Allowance {
    /// Units per second.
    pub per_s: f64,
    /// Units that may be used at once beyond the rate.
    pub burst: f64,
    /// The unit that requests are counted in.
    pub unit: Unit,
}

/// The unit of an allowance.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub enum Unit {
    /// Each request counts one unit.
    Requests,
    /// Tokens of the prompt and the answer.
    Tokens {
        /// Tokens that a request counts for if their number is unknown.
        plain: f64,
    },
}

/// All customers of a configuration.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(from = "Vec<CustomerKeys>", into = "Vec<CustomerKeys>")]
pub struct Customers {
    all: Vec<Rc<Customer>>,
    by_key: HashMap<KeyDigest, Rc<Customer>>,
}

/// A customer with the digests of its keys, as instances send it to each
/// other.
#[derive(Clone, Deserialize, Serialize)]
struct CustomerKeys {
    customer: Customer,
    keys: Vec<KeyDigest>,
}

impl From<Vec<CustomerKeys>> for Customers {
    fn from(all: Vec<CustomerKeys>) -> Customers {
        let mut customers = Customers::default();
        for CustomerKeys { customer, keys } in all {
            customers.add(customer, keys);
        }
        customers
    }
}

impl From<Customers> for Vec<CustomerKeys> {
    fn from(customers: Customers) -> Vec<CustomerKeys> {
        let keys_of = |customer: &Rc<Customer>| {
            let of_it = customers.by_key.iter();
            of_it
                .filter(|(_, holder)| Rc::ptr_eq(holder, customer))
                .map(|(key, _)| *key)
                .collect()
        };
        let all = customers.all.iter();
        all.map(|customer| CustomerKeys {
            customer: (**customer).clone(),
            keys: keys_of(customer),
        })
        .collect()
    }
}

impl KeyDigest {
    /// Returns the digest of a key.
    pub fn of(key: &[u8]) -> KeyDigest {
        KeyDigest(Sha256::digest(key).into())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

impl PartialEq for KeyDigest {
    fn eq(&self, other: &KeyDigest) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Eq for KeyDigest {}

impl Hash for KeyDigest {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.hash(state);
    }
}

impl Customer {
    /// Returns the priority of a request on a route of the given priority:
    /// first by customer, then by route.
    pub fn effective_priority(&self, route_priority: u8) -> u8 {
        let own = self.priority.saturating_mul(ROUTE_PRIORITIES);
        own.saturating_add(route_priority.min(ROUTE_PRIORITIES - 1))
            .min(LOWEST_PRIORITY)
    }
}

impl Unit {
    /// Returns the units that a request with this many tokens counts for.
    pub fn count(self, tokens: u64) -> f64 {
        match self {
            Unit::Requests => 1.0,
            Unit::Tokens { plain } if tokens == 0 => plain,
            Unit::Tokens { .. } => tokens as f64,
        }
    }
}

impl Customers {
    /// Adds a customer with the digests of its keys. A key that two customers
    /// claim belongs to the first one.
    pub fn add(
        &mut self,
        customer: Customer,
        keys: impl IntoIterator<Item = KeyDigest>,
    ) {
        let customer = Rc::new(customer);
        for key in keys {
            self.by_key.entry(key).or_insert_with(|| customer.clone());
        }
        self.all.push(customer);
    }

    /// Returns whether no customers are configured. Requests need no key then.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Returns all customers.
    pub fn iter(&self) -> impl Iterator<Item = &Customer> {
        self.all.iter().map(|customer| &**customer)
    }

    /// Returns the customer that a key belongs to.
    pub fn find_by_key(&self, key: &KeyDigest) -> Option<&Rc<Customer>> {
        self.by_key.get(key)
    }
}

impl PartialEq for Customers {
    fn eq(&self, other: &Customers) -> bool {
        self.all == other.all && self.by_key == other.by_key
    }
}

//! Customers, and the keys by which requests are theirs.
//!
//! A key is a secret: of each, only a digest is kept, compared in constant time,
//! and nothing here can print one. The invariant: a request is a customer's if and
//! only if the configuration in force says that its key is that customer's.

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

/// Ranks of routes that are told apart within a customer's rank: ten ranks are
/// there for both.
const ROUTE_PRIORITIES: u8 = 3;

/// The last rank that endpoints know.
const LOWEST_PRIORITY: u8 = 9;

/// The digest of a key (SHA-256). Keys are random, so that it needs no salt.
#[derive(Clone, Copy, Deserialize, Serialize)]
pub struct KeyDigest([u8; 32]);

/// One customer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Customer {
    /// Its name, which endpoints are told.
    pub name: CustomerName,
    /// Its rank, 0 the most urgent; it comes before the route's.
    pub priority: u8,
    /// What all instances together may take of it; none if there is no limit.
    pub allowance: Option<Allowance>,
}

/// What all instances together may take of one customer.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Allowance {
    /// Units a second.
    pub per_s: f64,
    /// Units above that.
    pub burst: f64,
    /// How requests are counted.
    pub unit: Unit,
}

/// What an allowance counts.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub enum Unit {
    /// Requests.
    Requests,
    /// Tokens of prompt and answer.
    Tokens {
        /// What a request counts that tells no tokens.
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

/// One customer with the digests of its keys, as instances pass it on.
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
    /// Returns the rank of a request on a route of this rank.
    pub fn effective_priority(&self, route_priority: u8) -> u8 {
        let own = self.priority.saturating_mul(ROUTE_PRIORITIES);
        own.saturating_add(route_priority.min(ROUTE_PRIORITIES - 1))
            .min(LOWEST_PRIORITY)
    }
}

impl Unit {
    /// Returns what a request counts.
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
    /// claim stays the first one's.
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

    /// Returns whether there are none: then requests need no key.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Returns all customers.
    pub fn iter(&self) -> impl Iterator<Item = &Customer> {
        self.all.iter().map(|customer| &**customer)
    }

    /// Returns whose a key is.
    pub fn find_by_key(&self, key: &KeyDigest) -> Option<&Rc<Customer>> {
        self.by_key.get(key)
    }
}

impl PartialEq for Customers {
    fn eq(&self, other: &Customers) -> bool {
        self.all == other.all && self.by_key == other.by_key
    }
}

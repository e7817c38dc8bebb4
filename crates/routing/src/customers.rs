//! Customers and their API keys.
//!
//! Keys are stored as digests only. They can't leak into logs, debug output or errors, and the time
//! of a lookup reveals nothing about similar keys.
//!
//! An invalid entry does not reject the configuration, so that one customer's mistake can't block
//! the changes of others: a key that two customers list belongs to neither, a customer that is
//! listed twice has the keys of both entries, and a key that no header can carry is ignored. Each
//! of these is reported as a [`CustomerFault`].

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::fmt;
use std::sync::Arc;

use ids::{CustomerName, Priority};
use sha2::{Digest, Sha256};

use crate::RegionScope;

/// Maximum length of a key in bytes; longer keys might not fit into the request head.
const MAX_KEY_BYTES: usize = 1_024;

/// Why a text is not a valid key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum KeyFault {
    /// The key is empty.
    #[error("the key is empty: use at least one character")]
    Empty,
    /// The key contains bytes that are not allowed in a header.
    #[error("the key contains characters other than visible ASCII: use a key without them")]
    InvalidBytes,
    /// The key is too long for a request head.
    #[error("the key is longer than {MAX_KEY_BYTES} bytes: use a shorter key")]
    TooLong,
}

/// SHA-256 digest of a key.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Computes the digest of a key from a configuration or a request.
    pub fn of(key: &str) -> Result<Self, KeyFault> {
        if key.is_empty() {
            return Err(KeyFault::Empty);
        }
        if key.len() > MAX_KEY_BYTES {
            return Err(KeyFault::TooLong);
        }
        if !key.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(KeyFault::InvalidBytes);
        }
        Ok(Self(Sha256::digest(key.as_bytes()).into()))
    }
}

/// Shows the first bytes of the digest, so that operators can tell keys apart.
impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0[..4].iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyDigest({self})")
    }
}

/// A customer entry of a configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CustomerSpec {
    /// Name of the customer.
    pub name: CustomerName,
    /// Priority, 0 is the highest; overrides the priority of a route.
    pub priority: Option<u8>,
    /// Regions in which the customer's requests may be handled.
    pub regions: RegionScope,
    /// Digests of the keys, or why a key is invalid.
    pub keys: Vec<Result<KeyDigest, KeyFault>>,
}

/// A customer of the active configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Customer {
    /// Name of the customer.
    pub name: CustomerName,
    /// Priority, 0 is the highest; overrides the priority of a route.
    pub priority: Option<u8>,
    /// Regions in which the customer's requests may be handled.
    pub regions: RegionScope,
}

/// An invalid customer entry of a configuration.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CustomerFault {
    /// Two customers list the same key.
    #[error(
        "customers {first} and {second} share the key {key}, which is now rejected: give each its own"
    )]
    SharedKey {
        /// Digest of the key.
        key: KeyDigest,
        /// Customer that lists it first.
        first: CustomerName,
        /// Customer that lists it again.
        second: CustomerName,
    },
    /// A customer is listed more than once.
    #[error("customer {0} is listed twice and has the keys of both entries: merge them")]
    NamedTwice(CustomerName),
    /// A key is invalid and is ignored.
    #[error("a key of customer {customer} is ignored: {fault}")]
    UnusableKey {
        /// Customer that lists the key.
        customer: CustomerName,
        /// Why the key is invalid.
        fault: KeyFault,
    },
}

/// Identity of the caller of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerIdentity {
    /// The configuration has no customers, so no key is required.
    NoCustomers,
    /// A customer, identified by its key.
    Known(Arc<Customer>),
    /// An unidentified caller on a public route.
    Anonymous,
    /// The key is missing or belongs to no customer.
    Refused,
}

impl CallerIdentity {
    /// Name of the customer, if the caller is identified.
    pub fn customer(&self) -> Option<&CustomerName> {
        match self {
            Self::Known(customer) => Some(&customer.name),
            _ => None,
        }
    }

    /// Whether the configuration has customers. If so, identity headers sent by the caller must not
    /// be forwarded.
    pub const fn is_checked(&self) -> bool {
        !matches!(self, Self::NoCustomers)
    }
}

/// The customers of one configuration, indexed by key.
#[derive(Debug, Clone, Default)]
pub struct CustomerTable {
    /// `None` if two customers list the key.
    by_key: HashMap<KeyDigest, Option<Arc<Customer>>>,
    /// Priorities of the customers that have one.
    priorities: HashMap<CustomerName, Priority>,
    /// Scopes of the customers that are restricted to regions.
    scopes: HashMap<CustomerName, RegionScope>,
    faults: Vec<CustomerFault>,
    count: usize,
}

impl CustomerTable {
    /// Builds the table and collects the faults of the entries.
    pub fn new(specs: Vec<CustomerSpec>) -> Self {
        let mut table = Self::default();
        let (customers, faults) = merge(&specs);
        table.faults = faults;
        table.count = customers.len();
        let priorities = customers.values().filter_map(|customer| {
            Some((customer.name.clone(), Priority::new(customer.priority?)))
        });
        table.priorities = priorities.collect();
        let restricted = customers.values().filter(|customer| customer.regions.is_restricted());
        let scopes = restricted.map(|customer| (customer.name.clone(), customer.regions.clone()));
        table.scopes = scopes.collect();
        for spec in specs {
            let Some(customer) = customers.get(&spec.name) else { continue };
            for key in spec.keys {
                match key {
                    Ok(key) => table.add_key(key, customer),
                    Err(fault) => {
                        let customer = spec.name.clone();
                        table.faults.push(CustomerFault::UnusableKey { customer, fault });
                    }
                }
            }
        }
        table
    }

    fn add_key(&mut self, key: KeyDigest, customer: &Arc<Customer>) {
        match self.by_key.entry(key) {
            Entry::Vacant(vacant) => {
                vacant.insert(Some(Arc::clone(customer)));
            }
            Entry::Occupied(mut occupied) => {
                let Some(first) = occupied.get().clone() else { return };
                if first.name == customer.name {
                    return;
                }
                occupied.insert(None);
                let (first, second) = (first.name.clone(), customer.name.clone());
                self.faults.push(CustomerFault::SharedKey { key, first, second });
            }
        }
    }

    /// Returns the customer that a key belongs to.
    pub fn holder(&self, key: KeyDigest) -> Option<&Arc<Customer>> {
        self.by_key.get(&key)?.as_ref()
    }

    /// Priority of a customer, if it has its own.
    pub fn priority(&self, customer: &CustomerName) -> Option<Priority> {
        self.priorities.get(customer).copied()
    }

    /// Regions to which a customer is restricted, if it is.
    pub fn regions(&self, customer: &CustomerName) -> Option<&RegionScope> {
        self.scopes.get(customer)
    }

    /// Whether any customer is restricted to regions.
    pub fn restricts_regions(&self) -> bool {
        !self.scopes.is_empty()
    }

    /// Invalid entries found in the configuration, to be logged.
    pub fn faults(&self) -> &[CustomerFault] {
        &self.faults
    }

    /// Number of customers.
    pub const fn len(&self) -> usize {
        self.count
    }

    /// Whether there are no customers.
    pub const fn is_empty(&self) -> bool {
        self.count == 0
    }
}

/// Merges entries of the same customer: the higher priority wins, and only regions that all entries
/// allow are allowed.
fn merge(specs: &[CustomerSpec]) -> (HashMap<CustomerName, Arc<Customer>>, Vec<CustomerFault>) {
    let mut customers: HashMap<CustomerName, Arc<Customer>> = HashMap::new();
    let mut faults = Vec::new();
    for spec in specs {
        let (mut priority, mut regions) = (spec.priority, spec.regions.clone());
        if let Some(earlier) = customers.get(&spec.name) {
            faults.push(CustomerFault::NamedTwice(spec.name.clone()));
            priority = [earlier.priority, priority].into_iter().flatten().min();
            regions = earlier.regions.intersect(&regions);
        }
        let customer = Customer { name: spec.name.clone(), priority, regions };
        customers.insert(spec.name.clone(), Arc::new(customer));
    }
    (customers, faults)
}

//! Customers and their keys: who a caller is, as the configuration in force says.
//!
//! No key is held: a table knows keys by their digest alone, so none can show in a log, a debug line or
//! an error, and how long a lookup takes tells nothing of a key that is nearly right.
//!
//! A configuration that names keys in an odd way is used all the same, so that one customer's slip holds up no
//! other's change: a key that two customers name belongs to neither of them, a customer that stands there twice
//! has the keys of both entries, and a key that no header can carry is left out. Each is a [`CustomerFault`].

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::fmt;
use std::sync::Arc;

use ids::CustomerName;
use sha2::{Digest, Sha256};

/// Longest key, in bytes: longer ones would not fit a head beside the other headers.
const MOST_KEY_BYTES: usize = 1_024;

/// Why a text is no key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum KeyFault {
    /// It has no bytes.
    #[error("the key is empty: give it at least one character")]
    Empty,
    /// It holds bytes that no header carries.
    #[error("the key holds other characters than visible ASCII: make a new one without them")]
    OddBytes,
    /// It is longer than a head may be.
    #[error("the key is longer than {MOST_KEY_BYTES} bytes: make a shorter one")]
    TooLong,
}

/// SHA-256 of a key; all that is held of it.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// The digest of a key as it stands in a configuration or a request.
    pub fn of(key: &str) -> Result<Self, KeyFault> {
        if key.is_empty() {
            return Err(KeyFault::Empty);
        }
        if key.len() > MOST_KEY_BYTES {
            return Err(KeyFault::TooLong);
        }
        if !key.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(KeyFault::OddBytes);
        }
        Ok(Self(Sha256::digest(key.as_bytes()).into()))
    }
}

/// The first bytes of the digest: enough for operators to tell keys apart.
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

/// A customer as a configuration names it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CustomerSpec {
    /// Its name.
    pub name: CustomerName,
    /// Its rank, 0 the highest; goes before that of a route.
    pub priority: Option<u8>,
    /// Its keys, each as it was read.
    pub keys: Vec<Result<KeyDigest, KeyFault>>,
}

/// A customer of the configuration in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Customer {
    /// Its name.
    pub name: CustomerName,
    /// Its rank, 0 the highest; goes before that of a route.
    pub priority: Option<u8>,
}

/// What is odd about the customers of a configuration.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CustomerFault {
    /// Two customers name one key.
    #[error(
        "customers {first} and {second} name the same key {key}, which now is nobody's: give each its own"
    )]
    SharedKey {
        /// The key.
        key: KeyDigest,
        /// Who names it first.
        first: CustomerName,
        /// Who names it as well.
        second: CustomerName,
    },
    /// A customer stands in the configuration more than once.
    #[error("customer {0} is named twice, and has the keys of both entries: merge them")]
    NamedTwice(CustomerName),
    /// A key that no caller can send.
    #[error("a key of customer {customer} is left out: {fault}")]
    UnusableKey {
        /// Whose it is.
        customer: CustomerName,
        /// Why.
        fault: KeyFault,
    },
}

/// Who a request comes from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerIdentity {
    /// The configuration knows no customers: nobody needs a key.
    NoCustomers,
    /// A customer, by its key.
    Known(Arc<Customer>),
    /// Nobody that the configuration knows, on a route that needs no key.
    Anonymous,
    /// The key is missing, or no customer has it.
    Refused,
}

impl CallerIdentity {
    /// The customer's name, where one is known.
    pub fn customer(&self) -> Option<&CustomerName> {
        match self {
            Self::Known(customer) => Some(&customer.name),
            _ => None,
        }
    }

    /// Whether the configuration knows customers, so that what a caller says of itself must not travel on.
    pub const fn is_checked(&self) -> bool {
        !matches!(self, Self::NoCustomers)
    }
}

/// The customers of one configuration, by their keys.
#[derive(Debug, Clone, Default)]
pub struct CustomerTable {
    /// None where two customers name the key.
    by_key: HashMap<KeyDigest, Option<Arc<Customer>>>,
    faults: Vec<CustomerFault>,
    count: usize,
}

impl CustomerTable {
    /// A table of these customers.
    pub fn new(specs: Vec<CustomerSpec>) -> Self {
        let mut table = Self::default();
        let (customers, faults) = merge(&specs);
        table.faults = faults;
        table.count = customers.len();
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
            Entry::Vacant(free) => {
                free.insert(Some(Arc::clone(customer)));
            }
            Entry::Occupied(mut taken) => {
                let Some(first) = taken.get().clone() else { return };
                if first.name == customer.name {
                    return;
                }
                taken.insert(None);
                let (first, second) = (first.name.clone(), customer.name.clone());
                self.faults.push(CustomerFault::SharedKey { key, first, second });
            }
        }
    }

    /// The customer that has a key.
    pub fn holder(&self, key: KeyDigest) -> Option<&Arc<Customer>> {
        self.by_key.get(&key)?.as_ref()
    }

    /// What is odd about the customers, for the log.
    pub fn faults(&self) -> &[CustomerFault] {
        &self.faults
    }

    /// How many customers there are.
    pub const fn len(&self) -> usize {
        self.count
    }

    /// Whether there are none.
    pub const fn is_empty(&self) -> bool {
        self.count == 0
    }
}

/// Each customer once, with the higher of its ranks.
fn merge(specs: &[CustomerSpec]) -> (HashMap<CustomerName, Arc<Customer>>, Vec<CustomerFault>) {
    let mut customers: HashMap<CustomerName, Arc<Customer>> = HashMap::new();
    let mut faults = Vec::new();
    for spec in specs {
        let mut priority = spec.priority;
        if let Some(known) = customers.get(&spec.name) {
            faults.push(CustomerFault::NamedTwice(spec.name.clone()));
            priority = [known.priority, priority].into_iter().flatten().min();
        }
        let customer = Customer { name: spec.name.clone(), priority };
        customers.insert(spec.name.clone(), Arc::new(customer));
    }
    (customers, faults)
}

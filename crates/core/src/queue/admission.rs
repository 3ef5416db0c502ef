//! The queue of all classes for one target.

use std::collections::{BTreeMap, HashMap};

use crate::ids::{CallId, ProfileName, WorkspaceName};
use crate::queue::class::{Class, ClassOptions};
use crate::queue::flow::{Position, QueuedCall};

/// Factor on the shares, where they leave room, so that a share also holds over
/// times in which only a few requests are served.
const HEADROOM: f64 = 1.5;

/// Work ahead of a request that would join a class.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Wait {
    /// Waiting work of the same tier and the tiers above.
    pub ahead: u64,
    /// Waiting work of the class itself.
    pub own: u64,
    /// Guaranteed part of the work served.
    pub share_ratio: f64,
}

impl Wait {
    /// Work served before the request, by its tier or by its share.
    #[must_use]
    pub fn work(&self) -> f64 {
        let by_tier = self.ahead as f64;
        if self.share_ratio <= 0.0 {
            return by_tier;
        }
        by_tier.min(self.own as f64 / self.share_ratio)
    }
}

/// What a class paid for a request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Charge {
    /// Expected cost of the request.
    pub cost: u64,
    /// Part of it that was taken from the class's credit.
    pub credit: f64,
}

/// A request to serve, with what its class paid for it.
#[derive(Clone, Debug, PartialEq)]
pub struct Served {
    /// The request.
    pub item: QueuedCall,
    /// What its class paid.
    pub charge: Charge,
}

#[derive(Debug)]
struct QueueEntry {
    class: ProfileName,
    workspace: WorkspaceName,
    position: Position,
}

/// Bounded queue with tiers, shares and weights; see the module's page.
///
/// # Examples
///
/// ```
/// use std::time::Instant;
/// use briarbank_core::ids::CallId;
/// use briarbank_core::queue::{AdmissionQueue, ClassOptions, QueuedCall};
///
/// let class = |name: &str, tier| ClassOptions {
///     name: name.into(), tier, share_ratio: 0.1, limit: 10,
/// };
/// let item = |id| QueuedCall {
///     call: CallId(id), workspace: "w".into(), weight: 1.0,
///     deadline: Instant::now(), cost: 1,
/// };
/// let mut queue = AdmissionQueue::default();
/// queue.push(&class("drafts", 5), item(1));
/// queue.push(&class("slips", 0), item(2));
/// assert_eq!(queue.pop().unwrap().call, CallId(2));
/// assert_eq!(queue.pop().unwrap().call, CallId(1));
/// ```
#[derive(Debug, Default)]
pub struct AdmissionQueue {
    classes: BTreeMap<ProfileName, Class>,
    entries: HashMap<CallId, QueueEntry>,
    next: u64,
}

impl AdmissionQueue {
    /// Requests that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Requests of a class that wait.
    #[must_use]
    pub fn class_len(&self, name: &ProfileName) -> usize {
        self.classes.get(name).map_or(0, |c| c.len)
    }

    /// Adds a request to its class, whose options are taken over.
    ///
    /// The limit of the class is enforced by [`Self::trim`], so that a request
    /// that is served at once takes no place.
    pub fn push(&mut self, options: &ClassOptions, item: QueuedCall) {
        self.remove(item.call);
        self.next += 1;
        let entry = QueueEntry {
            class: options.name.clone(),
            workspace: item.workspace.clone(),
            position: (item.deadline, self.next),
        };
        let position = entry.position;
        self.entries.insert(item.call, entry);
        self.class_mut(options).push(position, item);
    }

    /// Takes out a request that a class holds beyond its limit.
    ///
    /// The workspace with the most waiting work for its weight gives up the
    /// request that is due last.
    pub fn trim(&mut self, name: &ProfileName) -> Option<QueuedCall> {
        let class = self.classes.get_mut(name)?;
        if class.len <= class.options.limit {
            return None;
        }
        let item = class.shed()?;
        self.entries.remove(&item.call);
        Some(item)
    }

    /// The request to serve next.
    #[must_use]
    pub fn peek(&self) -> Option<&QueuedCall> {
        self.next_class()?.first()
    }

    /// Takes out the request to serve next.
    pub fn pop(&mut self) -> Option<QueuedCall> {
        self.pop_charged().map(|served| served.item)
    }

    /// Takes out the request to serve next, with the charge for [`Self::settle`].
    pub fn pop_charged(&mut self) -> Option<Served> {
        let name = self.next_class()?.options.name.clone();
        let item = self.classes.get_mut(&name)?.pop()?;
        self.entries.remove(&item.call);
        let charge = self.charge(&name, item.cost);
        Some(Served { item, charge })
    }

    /// Corrects a charge once the cost of the request is known.
    ///
    /// Keeps the shares true when costs are guessed wrong: a class that was
    /// charged too much gets the rest back, one charged too little owes it.
    pub fn settle(&mut self, name: &ProfileName, charge: Charge, cost: u64) {
        self.earn(name, cost as f64 - charge.cost as f64);
        let Some(class) = self.classes.get_mut(name) else {
            return;
        };
        let true_ratio = cost as f64 / charge.cost.max(1) as f64;
        let bound = charge.cost.max(cost) as f64;
        let credit = class.credit + charge.credit * (1.0 - true_ratio);
        class.credit = credit.clamp(class.credit.min(-bound), class.credit.max(bound));
    }

    /// Takes out a request that need not be served any more.
    pub fn remove(&mut self, call: CallId) -> Option<QueuedCall> {
        let entry = self.entries.remove(&call)?;
        let class = self.classes.get_mut(&entry.class)?;
        class.remove(&entry.workspace, entry.position)
    }

    /// Takes out a request of the lowest tier that waits.
    pub fn shed_lowest(&mut self) -> Option<QueuedCall> {
        let name = self.lowest_class()?.options.name.clone();
        let item = self.classes.get_mut(&name)?.shed()?;
        self.entries.remove(&item.call);
        Some(item)
    }

    /// The lowest tier that waits.
    #[must_use]
    pub fn lowest_tier(&self) -> Option<u8> {
        Some(self.lowest_class()?.options.tier)
    }

    /// Work ahead of a request that would join the class.
    #[must_use]
    pub fn wait(&self, options: &ClassOptions) -> Wait {
        let ahead = self.waiting().filter(|c| c.options.tier <= options.tier);
        Wait {
            ahead: ahead.map(|c| c.cost).sum(),
            own: self.classes.get(&options.name).map_or(0, |c| c.cost),
            share_ratio: options.share_ratio,
        }
    }

    /// Forgets idle classes that are not named any more.
    pub fn retain(&mut self, named: impl Fn(&ProfileName) -> bool) {
        self.classes.retain(|name, c| c.len > 0 || named(name));
    }

    fn waiting(&self) -> impl Iterator<Item = &Class> {
        self.classes.values().filter(|c| c.len > 0)
    }

    fn class_mut(&mut self, options: &ClassOptions) -> &mut Class {
        let name = options.name.clone();
        let class = self.classes.entry(name);
        let class = class.or_insert_with(|| Class::new(options.clone()));
        if class.options != *options {
            class.options = options.clone();
        }
        class
    }

    /// The owed class with the highest credit, else the highest tier.
    fn next_class(&self) -> Option<&Class> {
        let owed = self.waiting().filter(|c| c.is_owed());
        let owed = owed.max_by(|a, b| a.credit.total_cmp(&b.credit));
        let by_tier = |c: &&Class| (c.options.tier, c.first_deadline());
        owed.or_else(|| self.waiting().min_by_key(by_tier))
    }

    fn lowest_class(&self) -> Option<&Class> {
        self.waiting().max_by_key(|c| (c.options.tier, c.cost))
    }

    fn charge(&mut self, served: &ProfileName, cost: u64) -> Charge {
        self.earn(served, cost as f64);
        let mut charge = Charge { cost, credit: 0.0 };
        if let Some(class) = self.classes.get_mut(served) {
            charge.credit = class.credit.clamp(0.0, cost as f64);
            class.credit -= charge.credit;
        }
        charge
    }

    /// Gives the waiting classes and the served one their shares of the work.
    fn earn(&mut self, served: &ProfileName, work: f64) {
        let total: f64 = self.classes.values().map(Class::share).sum();
        let work = work * HEADROOM.min(1.0 / total.max(f64::MIN_POSITIVE));
        for (name, class) in &mut self.classes {
            if class.len > 0 || name == served {
                class.credit += class.share() * work;
            } else {
                class.credit = class.credit.min(work.max(0.0));
            }
        }
    }
}

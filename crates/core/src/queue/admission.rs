//! Queue of all classes of one target.

use std::collections::{BTreeMap, HashMap};

use crate::ids::{CallId, ProfileName, WorkspaceName};
use crate::queue::class::{Class, ClassOptions};
use crate::queue::flow::{Position, QueuedCall};

/// Factor on the shares, as far as they add up to less than 1.
///
/// Lets a share also hold over periods in which only a few calls are served.
const HEADROOM: f64 = 1.5;

/// Work queued ahead of a call that joins a class.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkAhead {
    /// Queued work of the same tier and the tiers above.
    pub tier_cost: u64,
    /// Queued work of the class itself.
    pub class_cost: u64,
    /// Guaranteed share of the work served.
    pub share_ratio: f64,
}

impl WorkAhead {
    /// Work that is served before the call, by its tier or by its share.
    #[must_use]
    pub fn cost(&self) -> f64 {
        let by_tier = self.tier_cost as f64;
        if self.share_ratio <= 0.0 {
            return by_tier;
        }
        by_tier.min(self.class_cost as f64 / self.share_ratio)
    }
}

/// Charge that a class paid for a call.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Charge {
    /// Predicted cost of the call.
    pub cost: u64,
    /// Amount of it that was taken from the credit of the class.
    pub credit: f64,
}

/// A call taken from the queue, with the charge to its class.
#[derive(Clone, Debug, PartialEq)]
pub struct ChargedCall {
    /// The call.
    pub call: QueuedCall,
    /// Charge that its class paid.
    pub charge: Charge,
}

/// Where a queued call is found.
#[derive(Debug)]
struct QueueEntry {
    class: ProfileName,
    workspace: WorkspaceName,
    position: Position,
}

/// Bounded queue with tiers, shares and weights; see the module documentation.
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
/// let call = |id| QueuedCall {
///     id: CallId(id), workspace: "w".into(), weight: 1.0,
///     deadline: Instant::now(), cost: 1,
/// };
/// let mut queue = AdmissionQueue::default();
/// queue.push(&class("drafts", 5), call(1));
/// queue.push(&class("slips", 0), call(2));
/// assert_eq!(queue.pop().unwrap().id, CallId(2));
/// assert_eq!(queue.pop().unwrap().id, CallId(1));
/// ```
#[derive(Debug, Default)]
pub struct AdmissionQueue {
    classes: BTreeMap<ProfileName, Class>,
    entries: HashMap<CallId, QueueEntry>,
    /// Counter that orders calls with equal deadlines by arrival.
    last_number: u64,
}

impl AdmissionQueue {
    /// Number of queued calls.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no call is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Number of queued calls of a class.
    #[must_use]
    pub fn class_len(&self, name: &ProfileName) -> usize {
        self.classes.get(name).map_or(0, |c| c.len)
    }

    /// Adds a call to its class and updates the options of the class.
    ///
    /// The limit of the class is enforced by [`Self::trim`], so that a call that is
    /// served at once does not count against it.
    pub fn push(&mut self, options: &ClassOptions, call: QueuedCall) {
        self.remove(call.id);
        self.last_number += 1;
        let entry = QueueEntry {
            class: options.name.clone(),
            workspace: call.workspace.clone(),
            position: (call.deadline, self.last_number),
        };
        let position = entry.position;
        self.entries.insert(call.id, entry);
        self.class_mut(options).push(position, call);
    }

    /// Removes a call from a class that is over its limit.
    ///
    /// The call with the latest deadline is removed from the workspace with the
    /// largest backlog for its weight.
    pub fn trim(&mut self, name: &ProfileName) -> Option<QueuedCall> {
        let class = self.classes.get_mut(name)?;
        if class.len <= class.options.limit {
            return None;
        }
        let call = class.shed()?;
        self.entries.remove(&call.id);
        Some(call)
    }

    /// The call to serve next.
    #[must_use]
    pub fn peek(&self) -> Option<&QueuedCall> {
        self.next_class()?.first()
    }

    /// Removes the call to serve next.
    pub fn pop(&mut self) -> Option<QueuedCall> {
        self.pop_charged().map(|charged| charged.call)
    }

    /// Removes the call to serve next, with the charge for [`Self::settle`].
    pub fn pop_charged(&mut self) -> Option<ChargedCall> {
        let name = self.next_class()?.options.name.clone();
        let call = self.classes.get_mut(&name)?.pop()?;
        self.entries.remove(&call.id);
        let charge = self.charge_class(&name, call.cost);
        Some(ChargedCall { call, charge })
    }

    /// Corrects a charge once the actual cost of the call is known.
    ///
    /// Keeps the shares accurate when predictions are wrong: an overcharged class
    /// gets the difference back, an undercharged class is charged for it.
    pub fn settle(&mut self, name: &ProfileName, charge: Charge, cost: u64) {
        self.add_credit(name, cost as f64 - charge.cost as f64);
        let Some(class) = self.classes.get_mut(name) else {
            return;
        };
        let actual_ratio = cost as f64 / charge.cost.max(1) as f64;
        let bound = charge.cost.max(cost) as f64;
        let credit = class.credit + charge.credit * (1.0 - actual_ratio);
        class.credit = credit.clamp(class.credit.min(-bound), class.credit.max(bound));
    }

    /// Removes a call, if it is queued.
    pub fn remove(&mut self, id: CallId) -> Option<QueuedCall> {
        let entry = self.entries.remove(&id)?;
        let class = self.classes.get_mut(&entry.class)?;
        class.remove(&entry.workspace, entry.position)
    }

    /// Removes a call of the lowest tier that has queued calls.
    pub fn shed_lowest(&mut self) -> Option<QueuedCall> {
        let name = self.lowest_class()?.options.name.clone();
        let call = self.classes.get_mut(&name)?.shed()?;
        self.entries.remove(&call.id);
        Some(call)
    }

    /// The lowest tier that has queued calls.
    #[must_use]
    pub fn lowest_tier(&self) -> Option<u8> {
        Some(self.lowest_class()?.options.tier)
    }

    /// Work queued ahead of a call that joins the class.
    #[must_use]
    pub fn work_ahead(&self, options: &ClassOptions) -> WorkAhead {
        let same_or_higher = self.non_empty().filter(|c| c.options.tier <= options.tier);
        WorkAhead {
            tier_cost: same_or_higher.map(|c| c.cost).sum(),
            class_cost: self.classes.get(&options.name).map_or(0, |c| c.cost),
            share_ratio: options.share_ratio,
        }
    }

    /// Removes idle classes, except those in the configuration.
    pub fn retain(&mut self, is_configured: impl Fn(&ProfileName) -> bool) {
        self.classes
            .retain(|name, c| c.len > 0 || is_configured(name));
    }

    fn non_empty(&self) -> impl Iterator<Item = &Class> {
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

    /// The class to serve next.
    ///
    /// Among classes whose credit covers their next call, the one with the highest
    /// credit; if there is none, the highest tier.
    fn next_class(&self) -> Option<&Class> {
        let entitled = self.non_empty().filter(|c| c.has_credit());
        let entitled = entitled.max_by(|a, b| a.credit.total_cmp(&b.credit));
        let by_tier = |c: &&Class| (c.options.tier, c.first_deadline());
        entitled.or_else(|| self.non_empty().min_by_key(by_tier))
    }

    fn lowest_class(&self) -> Option<&Class> {
        self.non_empty().max_by_key(|c| (c.options.tier, c.cost))
    }

    fn charge_class(&mut self, served: &ProfileName, cost: u64) -> Charge {
        self.add_credit(served, cost as f64);
        let mut charge = Charge { cost, credit: 0.0 };
        if let Some(class) = self.classes.get_mut(served) {
            charge.credit = class.credit.clamp(0.0, cost as f64);
            class.credit -= charge.credit;
        }
        charge
    }

    /// Credits the non-empty classes and the served one with their shares.
    fn add_credit(&mut self, served: &ProfileName, work: f64) {
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

//! Entries of one priority, shared fairly between workspaces by start-time fair queueing.

use std::collections::{BTreeMap, VecDeque};

use crate::name::Name;

use super::queue::{Entry, EntryId};

/// Virtual time that one token takes at weight 1; divides evenly for common weights.
const TICKS_PER_TOKEN: u64 = 5_040;
/// Largest work that one entry is charged, so that virtual time cannot overflow.
const MOST_CHARGED_TOKENS: u64 = 1 << 32;

/// Empty workspaces that are remembered while others wait.
const MOST_EMPTY: usize = 64;

/// Entries of one workspace.
#[derive(Debug)]
struct Flow<T> {
    weight: u64,
    /// Virtual start of the first entry, or virtual finish of the last one when none waits.
    start: u64,
    entries: VecDeque<(EntryId, Entry<T>)>,
}

/// Entries of one priority.
///
/// Each workspace has a virtual start, moved on by work divided by weight for each entry taken;
/// the workspace that is furthest behind goes next. A workspace that returns after a pause starts
/// at the present virtual time: it neither saves up a claim nor pays for an idle past.
#[derive(Debug)]
pub(super) struct Lane<T> {
    flows: BTreeMap<Name, Flow<T>>,
    virtual_time: u64,
    length: usize,
    work_tokens: u64,
}

impl<T> Lane<T> {
    pub(super) fn new() -> Self {
        Self { flows: BTreeMap::new(), virtual_time: 0, length: 0, work_tokens: 0 }
    }

    pub(super) fn length(&self) -> usize {
        self.length
    }

    /// Returns the number of workspaces whose state is held.
    pub(super) fn workspaces(&self) -> usize {
        self.flows.len()
    }

    pub(super) fn work_tokens(&self) -> u64 {
        self.work_tokens
    }

    /// Returns the work of the entry that goes next.
    pub(super) fn next_work_tokens(&self) -> Option<u64> {
        let flow = self.flows.get(&self.next_workspace()?)?;
        flow.entries.front().map(|(_, entry)| entry.work_tokens)
    }

    /// Adds an entry at the end of its workspace's.
    pub(super) fn push(&mut self, id: EntryId, entry: Entry<T>) {
        let virtual_time = self.virtual_time;
        self.length += 1;
        self.work_tokens = self.work_tokens.saturating_add(entry.work_tokens);
        let flow = self.flows.entry(entry.workspace.clone()).or_insert_with(|| Flow {
            weight: 1,
            start: virtual_time,
            entries: VecDeque::new(),
        });
        flow.weight = u64::from(entry.weight.max(1));
        flow.entries.push_back((id, entry));
    }

    /// Takes the entry that goes next.
    pub(super) fn pop(&mut self) -> Option<Entry<T>> {
        let workspace = self.next_workspace()?;
        let flow = self.flows.get_mut(&workspace)?;
        let (_, entry) = flow.entries.pop_front()?;
        self.virtual_time = flow.start;
        flow.start += cost(&entry, flow.weight);
        self.forget(&entry);
        Some(entry)
    }

    /// Returns the work that goes before a new entry of `workspace`.
    pub(super) fn work_ahead_tokens(&self, workspace: &Name) -> u64 {
        let start = self.start_of_new(workspace);
        let mut ahead_tokens = 0_u64;
        for flow in self.flows.values() {
            let mut entry_start = flow.start;
            for (_, entry) in &flow.entries {
                if entry_start > start {
                    break;
                }
                ahead_tokens = ahead_tokens.saturating_add(entry.work_tokens);
                entry_start += cost(entry, flow.weight);
            }
        }
        ahead_tokens
    }

    /// Takes the newest entry of the workspace that holds the most room for its weight, unless
    /// `workspace` would hold as much itself with one entry more.
    pub(super) fn displace_for(&mut self, workspace: &Name, weight: u32) -> Option<Entry<T>> {
        let own = self.flows.get(workspace).map_or(0, |flow| flow.entries.len()) as u64 + 1;
        let own_weight = u64::from(weight.max(1));
        let longest = self.flows.iter().max_by(|(_, a), (_, b)| {
            let (a_length, b_length) = (a.entries.len() as u64, b.entries.len() as u64);
            (a_length * b.weight).cmp(&(b_length * a.weight))
        });
        let (name, flow) = longest?;
        if flow.entries.len() as u64 * own_weight <= own * flow.weight {
            return None;
        }
        let name = name.clone();
        let (_, entry) = self.flows.get_mut(&name)?.entries.pop_back()?;
        self.forget(&entry);
        Some(entry)
    }

    /// Takes out every entry that `keep` rejects, in the order of workspaces.
    pub(super) fn take_unless(
        &mut self,
        mut keep: impl FnMut(EntryId, &Entry<T>) -> bool,
    ) -> Vec<Entry<T>> {
        let mut taken = Vec::new();
        for flow in self.flows.values_mut() {
            let waiting = std::mem::take(&mut flow.entries);
            for (id, entry) in waiting {
                if keep(id, &entry) {
                    flow.entries.push_back((id, entry));
                    continue;
                }
                taken.push(entry);
            }
        }
        for entry in &taken {
            self.forget(entry);
        }
        taken
    }

    /// Returns the workspace furthest behind; of several, the one whose entry waits longest.
    fn next_workspace(&self) -> Option<Name> {
        let mut next: Option<(u64, EntryId, &Name)> = None;
        for (name, flow) in &self.flows {
            let Some((id, _)) = flow.entries.front() else { continue };
            if next.is_none_or(|(start, first, _)| (flow.start, *id) < (start, first)) {
                next = Some((flow.start, *id, name));
            }
        }
        next.map(|(_, _, name)| name.clone())
    }

    fn start_of_new(&self, workspace: &Name) -> u64 {
        let Some(flow) = self.flows.get(workspace) else { return self.virtual_time };
        let mut start = flow.start;
        for (_, entry) in &flow.entries {
            start += cost(entry, flow.weight);
        }
        start
    }

    /// Counts an entry out and drops workspaces whose state no longer says anything.
    ///
    /// An empty workspace whose finish is not ahead of the virtual time would start at the virtual
    /// time anyway. When nothing waits, everything may be dropped.
    fn forget(&mut self, entry: &Entry<T>) {
        self.length -= 1;
        self.work_tokens = self.work_tokens.saturating_sub(entry.work_tokens);
        if self.length == 0 {
            self.flows.clear();
            self.virtual_time = 0;
            return;
        }
        let virtual_time = self.virtual_time;
        self.flows.retain(|_, flow| !flow.entries.is_empty() || flow.start > virtual_time);
        self.forget_nearest();
    }

    /// Drops the empty workspace nearest to the virtual time when there are too many of them.
    ///
    /// What goes wrong without it: while one long entry waits, each workspace that passes through
    /// leaves its state behind. A workspace dropped here gains at most its last entry's work.
    fn forget_nearest(&mut self) {
        let empty = self.flows.iter().filter(|(_, flow)| flow.entries.is_empty());
        if empty.clone().count() <= MOST_EMPTY {
            return;
        }
        let nearest = empty.min_by_key(|(_, flow)| flow.start).map(|(name, _)| name.clone());
        if let Some(name) = nearest {
            self.flows.remove(&name);
        }
    }
}

fn cost<T>(entry: &Entry<T>, weight: u64) -> u64 {
    entry.work_tokens.clamp(1, MOST_CHARGED_TOKENS) * TICKS_PER_TOKEN / weight
}

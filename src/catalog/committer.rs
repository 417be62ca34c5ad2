//! Commits operators' changes in the platform's store.

use std::time::Duration;

use uuid::Uuid;

use super::watcher::SERVICES_PREFIX;
use super::watcher::decode_entry;
use crate::errors::Code;
use crate::errors::Coded;
use crate::model::EARLIER_CHANGES_MAX;
use crate::model::Service;
use crate::model::Versioned;
use crate::model::check_service;
use crate::store::Store;
use crate::store::StoreError;

/// Reads that resolve a lost answer before the commit is told to be unknown.
const READ_BACK_ATTEMPTS: u32 = 5;
const READ_BACK_PAUSE: Duration = Duration::from_millis(100);
/// Turns of an edit that has no expected revision and may be made on whatever is there.
const ATTEMPTS_MAX: u32 = 8;

/// What an operator wants of one service.
#[derive(Clone, Debug)]
pub enum Edit {
    /// Replace at this revision; 0 for a service that must not exist.
    Put {
        service: Service,
        expected: u64,
    },
    Delete {
        expected: u64,
    },
    /// Whatever the revision.
    Drain {
        server: String,
        drained: bool,
    },
    Budget {
        per_s: u32,
    },
}

/// Why a change is not known to be committed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EditError {
    pub coded: Coded,
    /// What stands in the store, where that is known.
    pub current: Option<Box<Versioned>>,
}

impl From<Coded> for EditError {
    fn from(coded: Coded) -> Self {
        Self { coded, current: None }
    }
}

/// Commits changes; an operator is told "accepted" only for what stands in the store.
#[derive(Clone, Debug)]
pub struct Committer<S> {
    store: S,
}

struct StoredService {
    index: u64,
    row: Option<Versioned>,
}

impl StoredService {
    fn revision(&self) -> u64 {
        self.row.as_ref().map_or(0, |row| row.revision)
    }

    fn live(&self) -> Option<&Service> {
        self.row.as_ref().and_then(|row| row.service.as_ref())
    }
}

fn unreachable(err: &StoreError) -> Coded {
    Coded::new(Code::StoreUnreachable, err.to_string())
}

fn not_found(what: &str) -> EditError {
    Coded::new(Code::NotFound, format!("{what} does not exist")).into()
}

impl Edit {
    fn expected(&self) -> Option<u64> {
        match self {
            Self::Put { expected, .. } | Self::Delete { expected } => Some(*expected),
            Self::Drain { .. } | Self::Budget { .. } => None,
        }
    }

    /// The service after the edit; `None` for a deleted one.
    fn apply(&self, name: &str, current: Option<&Service>) -> Result<Option<Service>, EditError> {
        if let Self::Put { service, .. } = self {
            return Ok(Some(service.clone()));
        }
        let mut service = current.cloned().ok_or_else(|| not_found(name))?;
        match self {
            Self::Put { .. } => {}
            Self::Delete { .. } => return Ok(None),
            Self::Drain { server, drained } => {
                let mut rows = service.backend_servers.iter_mut();
                let row = rows.find(|row| row.id == *server);
                row.ok_or_else(|| not_found(server))?.drained = *drained;
            }
            Self::Budget { per_s } => service.measuring_budget_per_s = *per_s,
        }
        Ok(Some(service))
    }
}

impl<S: Store> Committer<S> {
    /// A committer on this store.
    #[must_use]
    pub const fn new(store: S) -> Self {
        Self { store }
    }

    async fn read(&self, name: &str) -> Result<StoredService, StoreError> {
        let entry = self.store.get(&format!("{SERVICES_PREFIX}{name}")).await?;
        let Some(entry) = entry else {
            return Ok(StoredService { index: 0, row: None });
        };
        let row = decode_entry(&entry).map(|(_, row)| row);
        Ok(StoredService { index: entry.index, row })
    }

    /// Commits `edit` as the change `change_id`; the same id may be sent again after a fault.
    ///
    /// # Errors
    /// `Conflict` with what stands, `NotFound`, `ServiceInvalid`, `StoreUnreachable` when nothing
    /// changed, `CommitUnknown` when that cannot be told.
    pub async fn commit(
        &self,
        name: &str,
        edit: &Edit,
        change_id: Uuid,
    ) -> Result<Versioned, EditError> {
        for _ in 0..ATTEMPTS_MAX {
            let current = self.read(name).await.map_err(|err| unreachable(&err))?;
            if let Some(row) = &current.row
                && row.contains(change_id)
            {
                return Ok(row.clone());
            }
            let written = self.write(name, edit, change_id, &current).await?;
            if let Some(row) = written {
                return Ok(row);
            }
        }
        Err(Coded::new(Code::Conflict, "others keep changing this service").into())
    }

    /// One compare-and-swap; `None` when another change came between and the edit goes again.
    async fn write(
        &self,
        name: &str,
        edit: &Edit,
        change_id: Uuid,
        current: &StoredService,
    ) -> Result<Option<Versioned>, EditError> {
        let expected = edit.expected().unwrap_or_else(|| current.revision());
        // A deleted service counts as not there, also for who never saw its tombstone.
        let creates = expected == 0 && current.live().is_none();
        if expected != current.revision() && !creates {
            return Err(conflict(expected, current));
        }
        let service = edit.apply(name, current.live())?;
        if let Some(service) = &service {
            check_service(service)?;
        }
        let row = Versioned::next(current.row.as_ref(), change_id, service);
        let value = serde_json::to_vec(&row)
            .map_err(|err| Coded::new(Code::ServiceInvalid, err.to_string()))?;
        let path = format!("{SERVICES_PREFIX}{name}");
        match self.store.put_if(&path, &value, current.index).await {
            Ok(true) => Ok(Some(row)),
            // The next turn reads what stands and tells a conflict from a race to be run again.
            Ok(false) => Ok(None),
            Err(StoreError::ResponseLost(why)) => self.resolve_lost_response(name, row, &why).await,
            Err(err) => Err(unreachable(&err).into()),
        }
    }

    /// The write's answer was lost. What stands tells: our change id in it, that it took effect;
    /// another change in its place, that it did not and never will. The revision before it
    /// proves nothing, since the write may still be on its way.
    async fn resolve_lost_response(
        &self,
        name: &str,
        row: Versioned,
        why: &str,
    ) -> Result<Option<Versioned>, EditError> {
        for _ in 0..READ_BACK_ATTEMPTS {
            tokio::time::sleep(READ_BACK_PAUSE).await;
            let Ok(current) = self.read(name).await else {
                continue;
            };
            if current.row.as_ref().is_some_and(|stored| stored.contains(row.change_id)) {
                return Ok(Some(row));
            }
            let changes_since = current.revision().saturating_sub(row.revision);
            if current.revision() >= row.revision && changes_since < EARLIER_CHANGES_MAX as u64 {
                return Err(conflict(row.revision - 1, &current));
            }
        }
        Err(Coded::new(Code::CommitUnknown, why).into())
    }
}

fn conflict(expected: u64, current: &StoredService) -> EditError {
    let detail = format!("expected revision {expected}, current is {}", current.revision());
    EditError {
        coded: Coded::new(Code::Conflict, detail),
        current: current.row.clone().map(Box::new),
    }
}

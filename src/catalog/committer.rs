//! Commits operators' changes to the platform's store.

use std::time::Duration;

use log::warn;
use uuid::Uuid;

use super::watcher::SERVICES_PREFIX;
use super::watcher::decode_entry;
use crate::errors::Code;
use crate::errors::CodedError;
use crate::model::EARLIER_CHANGES_MAX;
use crate::model::Service;
use crate::model::VersionedService;
use crate::model::check_service;
use crate::store::Store;
use crate::store::StoreError;

/// Reads after a lost response before the commit is reported as unknown.
const READ_BACK_ATTEMPTS: u32 = 5;
/// Pause before each of these reads.
const READ_BACK_PAUSE: Duration = Duration::from_millis(100);
/// Attempts at an edit without an expected revision, which may be applied to any current state.
const ATTEMPTS_MAX: u32 = 8;

/// An operator's change of one service.
#[derive(Clone, Debug)]
pub enum Edit {
    /// Replaces the service at the expected revision; 0 for a service that must not exist.
    Put { service: Service, expected: u64 },
    /// Deletes the service at the expected revision.
    Delete { expected: u64 },
    /// Drains or restores one server, at any revision.
    Drain { server: String, drained: bool },
    /// Sets the probe budget, at any revision.
    Budget { per_s: u32 },
}

/// Why a change is not known to be committed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EditError {
    pub coded: CodedError,
    /// The row currently in the store, if known.
    pub current: Option<Box<VersionedService>>,
}

impl From<CodedError> for EditError {
    fn from(coded: CodedError) -> Self {
        Self { coded, current: None }
    }
}

/// Commits changes; one is reported as accepted only once it is known to be in the store.
#[derive(Clone, Debug)]
pub struct Committer<S> {
    store: S,
}

/// A service's row in the store.
struct StoredService {
    /// The index that a compare-and-swap expects.
    index: u64,
    row: Option<VersionedService>,
}

impl StoredService {
    /// The revision in the store; 0 if there is no row.
    fn revision(&self) -> u64 {
        self.row.as_ref().map_or(0, |row| row.revision)
    }

    /// The service, unless it is deleted.
    fn live(&self) -> Option<&Service> {
        self.row.as_ref().and_then(|row| row.service.as_ref())
    }
}

fn unreachable(err: &StoreError) -> CodedError {
    CodedError::new(Code::StoreUnreachable, err.to_string())
}

fn encode(row: &VersionedService) -> Result<Vec<u8>, CodedError> {
    serde_json::to_vec(row).map_err(|err| CodedError::new(Code::ServiceInvalid, err.to_string()))
}

fn not_found(what: &str) -> EditError {
    CodedError::new(Code::NotFound, format!("{what} does not exist")).into()
}

impl Edit {
    /// The revision that the edit expects, if any.
    fn expected(&self) -> Option<u64> {
        match self {
            Self::Put { expected, .. } | Self::Delete { expected } => Some(*expected),
            Self::Drain { .. } | Self::Budget { .. } => None,
        }
    }

    /// Applies the edit; `None` for a deleted service.
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
    /// A committer that writes to this store.
    #[must_use]
    pub const fn new(store: S) -> Self {
        Self { store }
    }

    /// Reads the row of a service.
    async fn read(&self, name: &str) -> Result<StoredService, StoreError> {
        let entry = self.store.get(&format!("{SERVICES_PREFIX}{name}")).await?;
        let Some(entry) = entry else {
            return Ok(StoredService { index: 0, row: None });
        };
        let row = decode_entry(&entry).ok().map(|(_, row)| row);
        Ok(StoredService { index: entry.index, row })
    }

    /// Commits `edit` under the id `change_id`. A call may be repeated with the same id after an
    /// error. `known` is the row in force; if the store was restored and lacks it, it is written
    /// back first, so that no revision is given to two changes.
    ///
    /// # Errors
    /// `Conflict` with the current row, `NotFound`, `ServiceInvalid`, `StoreUnreachable` if nothing
    /// changed, `CommitUnknown` if that cannot be determined.
    pub async fn commit(
        &self,
        name: &str,
        edit: &Edit,
        change_id: Uuid,
        known: Option<&VersionedService>,
    ) -> Result<VersionedService, EditError> {
        for _ in 0..ATTEMPTS_MAX {
            let current = self.read(name).await.map_err(|err| unreachable(&err))?;
            if let Some(lost) = known.filter(|known| known.revision > current.revision()) {
                self.write_back(name, lost, current.index).await?;
                continue;
            }
            if let Some(row) = &current.row
                && row.contains_change(change_id)
            {
                return Ok(row.clone());
            }
            let written = self.write(name, edit, change_id, &current).await?;
            if let Some(row) = written {
                return Ok(row);
            }
        }
        Err(CodedError::new(Code::Conflict, "others keep changing this service").into())
    }

    /// Writes a committed row that the store has lost, if the key still has `index`. Whether it did
    /// shows at the next reading.
    pub(super) async fn write_back(
        &self,
        name: &str,
        lost: &VersionedService,
        index: u64,
    ) -> Result<(), CodedError> {
        warn!(event = "service-written-back", service = name, revision = lost.revision;
            "the store has lost a committed revision");
        let value = encode(lost)?;
        match self.store.put_if(&format!("{SERVICES_PREFIX}{name}"), &value, index).await {
            Ok(_) | Err(StoreError::ResponseLost(_)) => Ok(()),
            Err(err) => Err(unreachable(&err)),
        }
    }

    /// One compare-and-swap; `None` if another change came first and the edit must be retried.
    async fn write(
        &self,
        name: &str,
        edit: &Edit,
        change_id: Uuid,
        current: &StoredService,
    ) -> Result<Option<VersionedService>, EditError> {
        let expected = edit.expected().unwrap_or_else(|| current.revision());
        // A deleted service counts as absent, also for a client that never saw its tombstone.
        let creates = expected == 0 && current.live().is_none();
        if expected != current.revision() && !creates {
            return Err(conflict(expected, current));
        }
        let service = edit.apply(name, current.live())?;
        if let Some(service) = &service {
            check_service(service)?;
        }
        let row = VersionedService::next(current.row.as_ref(), change_id, service);
        let value = encode(&row)?;
        let path = format!("{SERVICES_PREFIX}{name}");
        match self.store.put_if(&path, &value, current.index).await {
            Ok(true) => Ok(Some(row)),
            // The next attempt reads the current row and tells a conflict from a race to be
            // retried.
            Ok(false) => Ok(None),
            Err(StoreError::ResponseLost(why)) => self.resolve_lost_response(name, row, &why).await,
            Err(err) => Err(unreachable(&err).into()),
        }
    }

    /// Determines whether a write took effect whose response was lost, by reading the row back. If
    /// the row contains our change id, it did; if another change has taken its revision, it did not
    /// and never will. The previous revision proves nothing, since the write may still be in
    /// flight.
    async fn resolve_lost_response(
        &self,
        name: &str,
        row: VersionedService,
        why: &str,
    ) -> Result<Option<VersionedService>, EditError> {
        for _ in 0..READ_BACK_ATTEMPTS {
            tokio::time::sleep(READ_BACK_PAUSE).await;
            let Ok(current) = self.read(name).await else {
                continue;
            };
            if current.row.as_ref().is_some_and(|stored| stored.contains_change(row.change_id)) {
                return Ok(Some(row));
            }
            let changes_since = current.revision().saturating_sub(row.revision);
            if current.revision() >= row.revision && changes_since < EARLIER_CHANGES_MAX as u64 {
                return Err(conflict(row.revision - 1, &current));
            }
        }
        Err(CodedError::new(Code::CommitUnknown, why).into())
    }
}

/// The error of an edit whose expected revision is not the current one.
fn conflict(expected: u64, current: &StoredService) -> EditError {
    let detail = format!("expected revision {expected}, current is {}", current.revision());
    EditError {
        coded: CodedError::new(Code::Conflict, detail),
        current: current.row.clone().map(Box::new),
    }
}

//! A test bed whose instances are processes; the stand-ins run in this process.

use std::net::SocketAddr;
use std::path::Path;

use sorrelwick::command::ToolClient;
use sorrelwick::model::Service;
use sorrelwick::operator::service_to_wire;
use tempfile::TempDir;

use super::DaemonProcess;
use super::TestBed;
use super::TestBedPlan;
use super::settings_for;
use super::wait_until;
use crate::platform::ListedMachine;

/// A running system whose instances are daemon processes.
#[derive(Debug)]
pub struct ProcessFleet {
    pub bed: TestBed,
    pub daemons: Vec<DaemonProcess>,
    _dir: TempDir,
}

impl ProcessFleet {
    /// Starts `daemons` processes of `program` and waits until all know each other.
    ///
    /// # Panics
    /// If a part does not start.
    pub async fn start(program: &Path, plan: TestBedPlan, daemons: usize) -> Self {
        let bed = TestBed::start(TestBedPlan { instances: 0, ..plan }).await;
        let dir = tempfile::tempdir().expect("a directory");
        let mut started = Vec::new();
        for at in 0..daemons {
            let settings = settings_for(&bed.plan, at, bed.platform().address());
            let daemon = DaemonProcess::spawn(program, dir.path(), settings);
            started.push(daemon.expect("the daemon starts"));
        }
        let fleet = Self { bed, daemons: started, _dir: dir };
        fleet.publish_machine_list();
        wait_until("all processes joined", async || {
            for at in 0..daemons {
                if fleet.alive_count_at(at).await != daemons {
                    return false;
                }
            }
            true
        })
        .await;
        fleet
    }

    fn publish_machine_list(&self) {
        let listed = self.daemons.iter().map(|daemon| ListedMachine {
            id: daemon.settings.instance.name.clone(),
            ip: daemon.settings.listen.peer.ip().to_string(),
            port: daemon.settings.listen.peer.port().into(),
            zone: daemon.settings.instance.zone.clone(),
            leaving: false,
        });
        self.bed.state.set_list("sorrelwick", listed.collect());
    }

    /// Client of the operator listener of one process.
    ///
    /// # Panics
    /// Never: the address is valid.
    #[must_use]
    pub fn operator(&self, at: usize) -> ToolClient {
        let address = self.daemons[at].settings.listen.operator;
        ToolClient::open(&address.to_string(), "").expect("an address")
    }

    /// Number of instances that are alive in the member view of one process; 0 if it does not respond.
    pub async fn alive_count_at(&self, at: usize) -> usize {
        let Ok(status) = self.operator(at).status().await else {
            return 0;
        };
        status.instances.iter().filter(|row| row.state == "alive").count()
    }

    /// Creates a service and waits until all processes have applied it.
    ///
    /// # Panics
    /// If the operator call fails.
    pub async fn create_service(&self, service: &Service) {
        self.operator(0).put(&service_to_wire(service), 0).await.expect("accepted");
        wait_until("all processes have applied the service", async || {
            for at in 0..self.daemons.len() {
                if self.operator(at).get(&service.name).await.is_err() {
                    return false;
                }
            }
            true
        })
        .await;
    }

    /// Caller addresses of all processes.
    #[must_use]
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(|daemon| daemon.settings.listen.caller).collect()
    }
}

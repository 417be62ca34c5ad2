//! The client of the operators' gRPC service.

use std::time::Duration;

use tonic::Request;
use tonic::Status;
use tonic::metadata::MetadataValue;
use tonic::transport::Channel;
use tonic::transport::Endpoint;
use uuid::Uuid;

use crate::errors::Code;
use crate::errors::CodedError;
use crate::r#gen as wire;
use crate::r#gen::operator_client::OperatorClient;
use crate::operator::TOKEN_METADATA_KEY;
use crate::operator::code_from_status;

/// Time limit for connecting to an instance.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Time limit of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);
/// How often a change with an unknown outcome is sent in all, with the same change id.
const COMMIT_ATTEMPTS_MAX: u32 = 3;

/// A client of one instance's operators' listener.
#[derive(Clone, Debug)]
pub struct ToolClient {
    client: OperatorClient<Channel>,
    token: String,
}

/// Converts the gRPC status of a failed call to an error.
fn error_from_status(status: &Status) -> CodedError {
    let code = code_from_status(status);
    let detail = status.message().trim_start_matches(&format!("{code}: ")).to_owned();
    CodedError::new(code, detail)
}

impl ToolClient {
    /// Creates a client, which connects at the first call.
    ///
    /// # Errors
    /// `OperatorUnreachable` if the address is invalid.
    pub fn open(client: &str, token: &str) -> Result<Self, CodedError> {
        let endpoint = Endpoint::from_shared(format!("http://{client}")).map_err(|err| {
            CodedError::new(Code::OperatorUnreachable, format!("{client}: {err}"))
        })?;
        let channel =
            endpoint.connect_timeout(CONNECT_TIMEOUT).timeout(CALL_TIMEOUT).connect_lazy();
        Ok(Self { client: OperatorClient::new(channel), token: token.to_owned() })
    }

    fn request<T>(&self, message: T) -> Request<T> {
        let mut request = Request::new(message);
        let value = MetadataValue::try_from(format!("Bearer {}", self.token));
        if let (false, Ok(value)) = (self.token.is_empty(), value) {
            request.metadata_mut().insert(TOKEN_METADATA_KEY, value);
        }
        request
    }

    /// Commits a service; while the outcome is unknown, the same change is sent again.
    ///
    /// # Errors
    /// The error of the instance.
    pub async fn put(
        &mut self,
        service: &wire::Service,
        expected_revision: u64,
    ) -> Result<wire::Versioned, CodedError> {
        let message = wire::PutServiceRequest {
            service: Some(service.clone()),
            expected_revision,
            change_id: Uuid::new_v4().to_string(),
        };
        let mut last = CodedError::new(Code::CommitUnknown, "not sent");
        for _ in 0..COMMIT_ATTEMPTS_MAX {
            let request = self.request(message.clone());
            match self.client.put_service(request).await {
                Ok(reply) => return Ok(reply.into_inner().current.unwrap_or_default()),
                Err(status) => last = error_from_status(&status),
            }
            if last.code != Code::CommitUnknown {
                break;
            }
        }
        Err(last)
    }

    /// Deletes a service.
    ///
    /// # Errors
    /// The error of the instance.
    pub async fn delete(
        &mut self,
        name: &str,
        expected_revision: u64,
    ) -> Result<wire::Versioned, CodedError> {
        let request = self.request(wire::DeleteServiceRequest {
            name: name.into(),
            expected_revision,
            change_id: Uuid::new_v4().to_string(),
        });
        let reply =
            self.client.delete_service(request).await.map_err(|err| error_from_status(&err))?;
        Ok(reply.into_inner().current.unwrap_or_default())
    }

    /// Starts or ends the draining of a backend server.
    ///
    /// # Errors
    /// The error of the instance.
    pub async fn set_drain(
        &mut self,
        service: &str,
        backend_server: &str,
        drained: bool,
    ) -> Result<wire::Versioned, CodedError> {
        let request = self.request(wire::SetDrainRequest {
            service: service.into(),
            backend_server: backend_server.into(),
            drained,
            change_id: Uuid::new_v4().to_string(),
        });
        let reply = self.client.set_drain(request).await.map_err(|err| error_from_status(&err))?;
        Ok(reply.into_inner().current.unwrap_or_default())
    }

    /// Sets a service's probe budget.
    ///
    /// # Errors
    /// The error of the instance.
    pub async fn set_budget(
        &mut self,
        service: &str,
        per_s: u32,
    ) -> Result<wire::Versioned, CodedError> {
        let request = self.request(wire::SetBudgetRequest {
            service: service.into(),
            measuring_budget_per_s: per_s,
            change_id: Uuid::new_v4().to_string(),
        });
        let reply = self.client.set_budget(request).await.map_err(|err| error_from_status(&err))?;
        Ok(reply.into_inner().current.unwrap_or_default())
    }

    /// Reads one service.
    ///
    /// # Errors
    /// The error of the instance.
    pub async fn get(&mut self, name: &str) -> Result<wire::Versioned, CodedError> {
        let request = self.request(wire::GetServiceRequest { name: name.into() });
        let reply =
            self.client.get_service(request).await.map_err(|err| error_from_status(&err))?;
        Ok(reply.into_inner().current.unwrap_or_default())
    }

    /// Reads all services.
    ///
    /// # Errors
    /// The error of the instance.
    pub async fn list(&mut self) -> Result<Vec<wire::Versioned>, CodedError> {
        let request = self.request(wire::ListServicesRequest {});
        let reply =
            self.client.list_services(request).await.map_err(|err| error_from_status(&err))?;
        Ok(reply.into_inner().services)
    }

    /// Reads the instance's view of the fleet.
    ///
    /// # Errors
    /// The error of the instance.
    pub async fn status(&mut self) -> Result<wire::StatusResponse, CodedError> {
        let request = self.request(wire::StatusRequest {});
        let reply = self.client.status(request).await.map_err(|err| error_from_status(&err))?;
        Ok(reply.into_inner())
    }

    /// Reads the events that the instance still keeps.
    ///
    /// # Errors
    /// The error of the instance.
    pub async fn timeline(&mut self) -> Result<Vec<wire::Event>, CodedError> {
        let request = self.request(wire::TimelineRequest { after_stamp: 0 });
        let reply = self.client.timeline(request).await.map_err(|err| error_from_status(&err))?;
        Ok(reply.into_inner().events)
    }
}

//! Reads service declarations from files.

use std::path::Path;

use crate::errors::Code;
use crate::errors::CodedError;
use crate::model::Service;
use crate::model::check_service;

/// Size limit of a declaration file.
const SIZE_MAX_BYTES: u64 = 4 << 20;

fn invalid(path: &Path, why: impl std::fmt::Display) -> CodedError {
    CodedError::new(Code::DeclarationInvalid, format!("{}: {why}", path.display()))
}

/// Reads and validates one declaration.
///
/// # Errors
/// `DeclarationInvalid` with file and line, or `ServiceInvalid` with file and field.
pub fn read_declaration(path: &Path) -> Result<Service, CodedError> {
    let size = std::fs::metadata(path).map_err(|err| invalid(path, err))?.len();
    if size > SIZE_MAX_BYTES {
        return Err(invalid(path, format!("{size} bytes; at most {SIZE_MAX_BYTES} are allowed")));
    }
    let text = std::fs::read_to_string(path).map_err(|err| invalid(path, err))?;
    let service: Service = json5::from_str(&text).map_err(|err| {
        let line = err.position().map_or(1, |position| position.line + 1);
        invalid(path, format!("line {line}: {err}"))
    })?;
    check_service(&service)
        .map_err(|err| CodedError::new(err.code, format!("{}: {}", path.display(), err.detail)))?;
    Ok(service)
}

/// Reads all declarations of a directory, ordered by file name.
///
/// # Errors
/// The error of the first invalid file, or a service that two files declare.
pub fn read_directory(directory: &Path) -> Result<Vec<Service>, CodedError> {
    let listed = std::fs::read_dir(directory).map_err(|err| invalid(directory, err))?;
    let mut files = Vec::new();
    for file in listed {
        let path = file.map_err(|err| invalid(directory, err))?.path();
        if matches!(path.extension().and_then(|ext| ext.to_str()), Some("json" | "json5")) {
            files.push(path);
        }
    }
    files.sort();
    let mut services: Vec<Service> = Vec::new();
    for path in files {
        let service = read_declaration(&path)?;
        if services.iter().any(|other| other.name == service.name) {
            return Err(invalid(&path, format!("service '{}' is declared twice", service.name)));
        }
        services.push(service);
    }
    Ok(services)
}

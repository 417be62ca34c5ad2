//! The entry point of the operators' tool, from command line to exit code.

use std::process::ExitCode;

use clap::CommandFactory;
use clap::Parser;

use super::ServiceCommand;
use super::ToolArgs;
use super::ToolCommand;
use crate::command;
use crate::command::ToolClient;
use crate::errors::Code;
use crate::errors::CodedError;

/// Exit code for a change that conflicts with another operator's.
const EXIT_CONFLICT: u8 = 3;
/// Exit code for a change that may or may not have been committed.
const EXIT_UNKNOWN: u8 = 4;
/// Exit code for all other errors.
const EXIT_ERROR: u8 = 1;

const fn exit_code(code: Code) -> u8 {
    match code {
        Code::Conflict => EXIT_CONFLICT,
        Code::CommitUnknown => EXIT_UNKNOWN,
        _ => EXIT_ERROR,
    }
}

/// Runs the command on the command line.
#[must_use]
pub fn run_tool() -> ExitCode {
    let args = ToolArgs::parse();
    if let ToolCommand::Completions { shell } = &args.command {
        clap_complete::generate(
            *shell,
            &mut ToolArgs::command(),
            "sorrelwick",
            &mut std::io::stdout(),
        );
        return ExitCode::SUCCESS;
    }
    if let ToolCommand::Explain { id, logs } = &args.command {
        return print_result(command::explain(id, logs, args.json));
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let done = match runtime {
        Ok(runtime) => runtime.block_on(execute(args)),
        Err(err) => Err(CodedError::new(Code::OperatorUnreachable, err.to_string())),
    };
    print_result(done)
}

/// Prints the result of a command.
fn print_result(done: Result<String, CodedError>) -> ExitCode {
    match done {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(err) => {
            eprintln!("error {err}");
            ExitCode::from(exit_code(err.code))
        }
    }
}

async fn execute(args: ToolArgs) -> Result<String, CodedError> {
    let mut client = ToolClient::open(&args.address, &args.token)?;
    let json = args.json;
    match args.command {
        ToolCommand::Service(service) => execute_service(&mut client, service, json).await,
        ToolCommand::Drain { service, backend_server } => {
            command::set_drain(&mut client, &service, &backend_server, true, json).await
        }
        ToolCommand::Undrain { service, backend_server } => {
            command::set_drain(&mut client, &service, &backend_server, false, json).await
        }
        ToolCommand::Budget { service, per_s } => {
            command::set_budget(&mut client, &service, per_s, json).await
        }
        ToolCommand::Plan { directory, prune } => {
            command::plan(&mut client, &directory, prune, json).await
        }
        ToolCommand::Apply { directory, prune } => {
            command::apply(&mut client, &directory, prune, json).await
        }
        ToolCommand::Status => command::status(&mut client, &args.token, json).await,
        ToolCommand::Timeline => command::timeline(&mut client, &args.token, json).await,
        // Commands that need no instance are handled in `run_tool`.
        ToolCommand::Explain { .. } | ToolCommand::Completions { .. } => Ok(String::new()),
    }
}

async fn execute_service(
    client: &mut ToolClient,
    service: ServiceCommand,
    json: bool,
) -> Result<String, CodedError> {
    match service {
        ServiceCommand::Create { file } => command::put_file(client, &file, 0, json).await,
        ServiceCommand::Update { file, expected_revision } => {
            command::put_file(client, &file, expected_revision, json).await
        }
        ServiceCommand::Get { name } => command::get(client, &name, json).await,
        ServiceCommand::List => command::list(client, json).await,
        ServiceCommand::Delete { name, expected_revision } => {
            command::delete(client, &name, expected_revision, json).await
        }
    }
}

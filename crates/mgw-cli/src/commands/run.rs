//! Dispatches the command line to the commands.

use mgw_contract::operator::DrainRequest;

use crate::args::{
    Args, Command, ConfigCommand, EntryCommand, LedgerCommand, QuarantineCommand, TargetCommand,
};
use crate::client::Client;
use crate::{CliError, ExitStatus};

use super::{
    audit, config_apply, config_check, config_show, drain, entries, group_keys, ledger, limits,
    quarantine, status, targets,
};

/// Runs the command that the arguments name.
///
/// # Errors
/// When the command fails. Some failures with an exit code of their own, such as a conflict, are
/// returned as [`ExitStatus`] after the command printed them.
pub async fn run_command(args: Args) -> Result<ExitStatus, CliError> {
    if let Command::Config(ConfigCommand::Check { file }) = &args.command {
        return config_check::check_config(file, args.json);
    }
    if let Command::GroupKeys { folder, names } = &args.command {
        return group_keys::make_group_keys(folder, names);
    }
    let client = Client::new(&args)?;
    match &args.command {
        Command::GroupKeys { folder, names } => group_keys::make_group_keys(folder, names),
        Command::Status => status::show_status(&client, args.json).await,
        Command::Config(ConfigCommand::Check { file }) => {
            config_check::check_config(file, args.json)
        }
        Command::Config(ConfigCommand::Show) => config_show::show_config(&client, args.json).await,
        Command::Config(ConfigCommand::Apply {
            file,
            base,
            change_id,
            wait,
        }) => {
            let change = config_apply::Change {
                file,
                base: *base,
                change_id: change_id.as_deref(),
            };
            config_apply::apply_config(&client, change, *wait, args.json).await
        }
        Command::Audit {
            by,
            action,
            refused,
            last,
        } => {
            let filter = audit::Filter {
                by: by.as_deref(),
                action: action.as_deref(),
                refused: *refused,
                last: *last,
            };
            audit::list_audit(&client, filter, args.json).await
        }
        Command::Entries => entries::list_entries(&client, args.json).await,
        Command::Targets => targets::list_targets(&client, args.json).await,
        Command::Limits => limits::list_limits(&client, args.json).await,
        Command::Entry(EntryCommand::Drain { name }) => {
            drain::drain(&client, &DrainRequest::Entry(name.clone())).await
        }
        Command::Entry(EntryCommand::Undrain { name }) => {
            drain::undrain(&client, &DrainRequest::Entry(name.clone())).await
        }
        Command::Target(TargetCommand::Drain { name }) => {
            drain::drain(&client, &DrainRequest::Target(name.clone())).await
        }
        Command::Target(TargetCommand::Undrain { name }) => {
            drain::undrain(&client, &DrainRequest::Target(name.clone())).await
        }
        Command::Quarantine(QuarantineCommand::List) => {
            quarantine::list_subjects(&client, args.json).await
        }
        Command::Quarantine(QuarantineCommand::Lift { subject }) => {
            quarantine::lift(&client, *subject).await
        }
        Command::Ledger(LedgerCommand::Show { unknown }) => {
            ledger::list_claims(&client, *unknown, args.json).await
        }
        Command::Ledger(LedgerCommand::Resolve {
            workspace,
            service,
            key,
            ran,
        }) => {
            let resolution = mgw_contract::operator::ResolveRequest {
                workspace: workspace.clone(),
                service: service.clone(),
                key: key.clone(),
                ran: *ran,
            };
            ledger::resolve_claim(&client, &resolution).await
        }
    }
}

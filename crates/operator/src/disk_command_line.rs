//! The words of `lynxmill system disk`.

use std::ffi::OsString;
use std::path::PathBuf;

use lynxmill_storage::inspect::RecoveryRequest;

use crate::command_line::{DONE, FAILED, FAULTS, LOSS_NOT_ACCEPTED};
use crate::disk::{self, DiskOutcome};

xflags::xflags! {
    /// A control-plane node's disk, read by a temporary copy: the file itself stays as it is.
    cmd disk {
        /// What it holds: members, registers, counts.
        cmd show {
            /// The file, or the data folder.
            required file: PathBuf
        }
        /// Reads every row and tells all faults, a line each.
        cmd verify {
            /// The file, or the data folder.
            required file: PathBuf
        }
        /// Writes all that it holds as JSON, to standard output unless a file is named.
        cmd export {
            /// The file, or the data folder.
            required file: PathBuf
            optional --to path: PathBuf
        }
        /// Makes a new data folder of exports, after a majority was lost for good; tells what is lost.
        cmd import {
            /// An export of a disk that is left; once for each.
            repeated --from path: PathBuf
            /// The address of the node that the new disk is for.
            required --node address: String
            /// The addresses of all members to be, by commas.
            required --members addresses: String
            /// The new data folder.
            required --to folder: PathBuf
            /// Without it the plan is printed and nothing is written.
            optional --accept-loss
        }
    }
}

/// Carries out the words after `disk`; the exit code.
pub(crate) fn run(words: Vec<OsString>) -> u8 {
    let options = match Disk::from_vec(words) {
        Ok(options) => options,
        Err(error) => error.exit(),
    };
    let done = match options.subcommand {
        DiskCmd::Show(options) => disk::show(&options.file),
        DiskCmd::Verify(options) => disk::check(&options.file),
        DiskCmd::Export(options) => disk::export(&options.file, options.to.as_deref()),
        DiskCmd::Import(options) => {
            let members = options
                .members
                .split(',')
                .map(|member| member.trim().to_owned())
                .collect();
            let request = RecoveryRequest {
                node: options.node,
                members,
            };
            disk::import(&options.from, &request, &options.to, options.accept_loss)
        }
    };
    match done {
        Ok(DiskOutcome::Done) => DONE,
        Ok(DiskOutcome::Faults) => FAULTS,
        Ok(DiskOutcome::LossNotAccepted) => LOSS_NOT_ACCEPTED,
        Err(error) => {
            eprintln!("lynxmill system disk: {error}");
            FAILED
        }
    }
}

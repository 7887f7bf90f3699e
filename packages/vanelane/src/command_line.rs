use std::net::SocketAddr;
use std::path::PathBuf;

xflags::xflags! {
    /// A front and scaler for functions.
    cmd vanelane {
        /// Runs a node.
        cmd run {
            /// The settings file (TOML); flags win over it.
            optional --settings settings: PathBuf
            /// Only checks the settings and ends.
            optional --check
            /// The fleet's name: nodes of other fleets are not heard.
            optional --fleet fleet: String
            /// The zone of this machine.
            optional --zone zone: String
            /// Where visitors call, such as 10.0.0.1:8080.
            optional --visitor-address visitor_address: String
            /// Where operators call.
            optional --control-address control_address: String
            /// Where colleagues reach this node; it is told to them as it stands.
            optional --colleague-address colleague_address: String
            /// A colleague address to enter the fleet by; up to three.
            repeated --seed seed: String
            /// The folder that holds state; without it the node holds none.
            optional --data-folder data_folder: PathBuf
            /// The platform's address.
            optional --platform-address platform_address: String
            /// How many disks found the fleet's state at its first start.
            optional --founding-disks founding_disks: String
            /// Starts and stops a second that the platform takes from the whole fleet.
            optional --acts-per-second acts_per_second: String
            /// off, error, warn, info, debug or trace.
            optional --log-level log_level: String
        }
        /// Renames a data folder's damaged record file to records.damaged-N, for a node that is stopped: at
        /// its next start it formats a new disk, which a majority of the others takes in.
        cmd set-aside-records {
            /// The folder that holds state.
            required --data-folder data_folder: PathBuf
        }
        /// Prints the configuration's JSON schema.
        cmd schema {}
        /// Checks a configuration document and prints every reason against it.
        cmd check-configuration {
            /// The document.
            required file: PathBuf
        }
        /// Sends changes (JSON lines, or one whole document) and prints an outcome line for each.
        cmd change {
            /// A node's control address.
            required --control control: SocketAddr
            /// Sends the file as one whole document under this change id.
            optional --whole-as change_id: String
            /// Only against this generation; with --whole-as.
            optional --expected-generation generation: u64
            /// The file; /dev/stdin reads standard input.
            required file: PathBuf
        }
        /// Prints the decision stream as JSON lines.
        cmd decisions {
            /// A node's control address.
            required --control control: SocketAddr
            /// Goes on behind this cursor.
            optional --after cursor: String
            /// Keeps printing what comes.
            optional --follow
        }
        /// Prints a node's status.
        cmd status {
            /// A node's control address.
            required --control control: SocketAddr
        }
        /// Prints the configuration that holds at a node, with its generation.
        cmd configuration {
            /// A node's control address.
            required --control control: SocketAddr
        }
    }
}

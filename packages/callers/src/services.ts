import {type ClientLedger} from '@shallotpass/common/client-limits/client-ledger.js';
import {type HeldBytes} from '@shallotpass/common/client-limits/held-bytes.js';
import {type BackendConnections} from '@shallotpass/backends/backend-connections.js';
import {type BackendRegistry} from '@shallotpass/tasks/types.js';
import {type ClaimService} from '@shallotpass/tasks/claim-service.js';
import {type ConfigurationTask} from '@shallotpass/tasks/configuration-task.js';
import {type Environment} from '@shallotpass/tasks/environment.js';
import {type MembershipTask} from '@shallotpass/tasks/membership-task.js';
import {type SuspectRegistry} from '@shallotpass/tasks/suspect-registry.js';
import {type Tracing} from '@shallotpass/telemetry/tracing.js';
import {type AdmissionGate} from './admission-gate.js';

/** Dependencies of the callers' listener and its request handlers. */
export type CallerServices = {
	/** What clients make the daemon hold, on all listeners. */
	readonly ledger: ClientLedger;
	/** The bodies of that. */
	readonly heldBytes: HeldBytes;
	readonly environment: Environment;
	readonly configuration: ConfigurationTask;
	readonly membership: MembershipTask;
	readonly registry: BackendRegistry;
	readonly claims: ClaimService;
	readonly suspects: SuspectRegistry;
	readonly connections: BackendConnections;
	readonly gate: AdmissionGate;
	readonly tracing: Tracing;
	/** Start time of this daemon's process, which identifies the owner of its claims. */
	readonly epoch: number;
};

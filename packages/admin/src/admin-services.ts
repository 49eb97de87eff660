import {type LogService} from '@shallotpass/common/log-service.js';
import {type BackendRegistry} from '@shallotpass/tasks/backend-registry.js';
import {type ConfigurationTask} from '@shallotpass/tasks/configuration-task.js';
import {type Environment} from '@shallotpass/tasks/environment.js';
import {type MembershipTask} from '@shallotpass/tasks/membership-task.js';
import {type SuspectRegistry} from '@shallotpass/tasks/suspect-registry.js';

export type PeerStatus = {
	readonly id: string;
	readonly availabilityZone: string;
	/** Versions in force by team; undefined when the peer did not answer. */
	readonly versions: Readonly<Record<string, number>> | undefined;
};

/** What the operators' listener works with. */
export type AdminServices = {
	readonly environment: Environment;
	readonly configuration: ConfigurationTask;
	readonly membership: MembershipTask;
	readonly registry: BackendRegistry;
	readonly suspects: SuspectRegistry;
	readonly log: LogService;
	/** True when the daemon runs on the platform in its own memory. */
	readonly isEmbedded: boolean;
	readonly isDraining: () => boolean;
	readonly drain: () => void;
	/** Asks every member which versions it has in force. */
	readonly askPeerStatuses: () => Promise<PeerStatus[]>;
	readonly countInFlight: () => number;
	readonly countWaiting: () => number;
};

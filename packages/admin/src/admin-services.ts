import {type LogService} from '@shallotpass/common/log-service.js';
import {type BackendRegistry} from '@shallotpass/tasks/types.js';
import {type ConfigurationTask} from '@shallotpass/tasks/configuration-task.js';
import {type Environment} from '@shallotpass/tasks/environment.js';
import {type MembershipTask} from '@shallotpass/tasks/membership-task.js';
import {type SuspectRegistry} from '@shallotpass/tasks/suspect-registry.js';

export type PeerStatus = {
	readonly id: string;
	readonly availabilityZone: string;
	/** Versions in force by team, or undefined if the peer did not respond. */
	readonly versions: Readonly<Record<string, number>> | undefined;
};

/** Parts of the daemon that the admin listener uses. */
export type AdminServices = {
	readonly environment: Environment;
	readonly configuration: ConfigurationTask;
	readonly membership: MembershipTask;
	readonly registry: BackendRegistry;
	readonly suspects: SuspectRegistry;
	readonly log: LogService;
	/** Whether the daemon uses an in-memory log instead of a platform. */
	readonly isEmbedded: boolean;
	readonly isDraining: () => boolean;
	readonly drain: () => void;
	/** Requests the versions in force from every peer. */
	readonly fetchPeerStatuses: () => Promise<PeerStatus[]>;
	readonly countInFlight: () => number;
	readonly countWaiting: () => number;
};

/** Handles the requests of peers by passing each method to the task that implements it. */
import {type PeerHandlers} from '@shallotpass/peers/peer-methods.js';
import {type BackendRegistry} from '@shallotpass/tasks/types.js';
import {type ClaimService} from '@shallotpass/tasks/claim-service.js';
import {type ConfigurationTask} from '@shallotpass/tasks/configuration-task.js';
import {type Environment} from '@shallotpass/tasks/environment.js';
import {type MembershipTask} from '@shallotpass/tasks/membership-task.js';
import {type SuspectRegistry} from '@shallotpass/tasks/suspect-registry.js';
import {type Tracing} from '@shallotpass/telemetry/tracing.js';

type HandlerTasks = {
	readonly environment: Environment;
	readonly configuration: ConfigurationTask;
	readonly membership: MembershipTask;
	readonly claims: ClaimService;
	readonly suspects: SuspectRegistry;
	readonly registry: BackendRegistry;
	readonly tracing: Tracing;
};

export const makePeerHandlers = ({environment, configuration, membership, claims, suspects, registry, tracing}: HandlerTasks): PeerHandlers => ({
	probe: (parameters, from) => membership.answerProbe(parameters, from),
	probeFor: async ({id}) => membership.answerProbeFor(id),
	offer() {
		const offer = configuration.makeOffer();
		return {...offer, accepted: [...offer.accepted], history: [...offer.history]};
	},
	status: () => ({
		availabilityZone: environment.settings.instance.availabilityZone,
		versions: Object.fromEntries([...configuration.getActiveConfigurations().teams.values()].map(({team, version}) => [team, version as number])),
	}),
	async claim({claim, isNew, traceparent}, from) {
		const span = tracing.startSpan('claim', traceparent, {from});
		try {
			return await claims.answerPeer(claim, isNew);
		} finally {
			span.end();
		}
	},
	recordOutcome: async ({keyName, outcome}) => ({isRecorded: await claims.recordForPeer(keyName, outcome)}),
	leaving({backendId, leavesAt}) {
		registry.applyLeavingNotice(backendId, leavesAt);
		return {};
	},
	suspects(parameters) {
		suspects.merge(parameters.suspects, parameters.lifted);
		return {};
	},
});

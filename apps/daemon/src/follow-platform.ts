/** Forwards the instance list and the reclaim notices of the platform to the tasks that use them. */
import {followNotices} from '@shallotpass/provider/cloud-notices.js';
import {followInstanceList} from '@shallotpass/provider/instance-list-client.js';
import {type BackendRegistry} from '@shallotpass/tasks/types.js';
import {type Environment} from '@shallotpass/tasks/environment.js';
import {type MembershipTask} from '@shallotpass/tasks/membership-task.js';
import {type Platform} from './open-platform.js';

type FollowOptions = {
	readonly environment: Environment;
	readonly platform: Platform;
	readonly registry: BackendRegistry;
	readonly membership: MembershipTask;
	/** Called when the cloud announces that it reclaims the instance of this daemon. */
	readonly onSelfReclaimed: () => void;
};

const forwardInstanceList = ({environment, platform, registry, membership}: FollowOptions, baseUrl: string): void => {
	const logger = environment.makeLogger('daemon');
	void followInstanceList({
		baseUrl,
		dispatcher: platform.dispatcher,
		clock: environment.clock,
		signal: environment.signal,
		send(event) {
			if (event.kind === 'outage') {
				logger.debug('instance_list_unreachable', {error: event.error});
				return;
			}

			const entryInstances = event.list.instances.filter(instance => instance.role === 'entry' && instance.state === 'live');
			registry.applyInstanceList(event.list);
			membership.addCandidateAddresses(entryInstances.map(instance => instance.address));
		},
	});
};

const forwardReclaimNotices = ({environment, platform, registry, onSelfReclaimed}: FollowOptions, baseUrl: string): void => {
	const logger = environment.makeLogger('daemon');
	void followNotices({
		baseUrl,
		dispatcher: platform.dispatcher,
		clock: environment.clock,
		signal: environment.signal,
		onNotice({instanceId, leavesAt}) {
			if (instanceId === environment.settings.instance.id) {
				logger.warn('own_instance_reclaimed', {leavesAt});
				onSelfReclaimed();
				return;
			}

			registry.applyLeavingNotice(instanceId, leavesAt);
		},
		onError(error) {
			logger.debug('cloud_unreachable', {error});
		},
	});
};

/** Follows the instance list and the reclaim notices until the daemon stops, if the settings contain their addresses. */
export const followPlatform = (options: FollowOptions): void => {
	const {instancesUrl, cloudUrl} = options.platform;
	if (instancesUrl !== undefined) {
		forwardInstanceList(options, instancesUrl);
	}

	if (cloudUrl !== undefined) {
		forwardReclaimNotices(options, cloudUrl);
	}
};

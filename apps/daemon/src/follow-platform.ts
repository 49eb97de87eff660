/** Passes what the platform tells of instances on to the tasks that own the matter. */
import {followNotices} from '@shallotpass/provider/cloud-notices.js';
import {followInstanceList} from '@shallotpass/provider/instance-list-client.js';
import {type BackendRegistry} from '@shallotpass/tasks/backend-registry.js';
import {type Environment} from '@shallotpass/tasks/environment.js';
import {type MembershipTask} from '@shallotpass/tasks/membership-task.js';
import {type Platform} from './open-platform.js';

type FollowOptions = {
	readonly environment: Environment;
	readonly platform: Platform;
	readonly registry: BackendRegistry;
	readonly membership: MembershipTask;
	/** The cloud takes this daemon's own instance away. */
	readonly onOwnReclaim: () => void;
};

const followList = ({environment, platform, registry, membership}: FollowOptions, baseUrl: string): void => {
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

			const entries = event.list.instances.filter(instance => instance.role === 'entry' && instance.state === 'live');
			registry.applyInstanceList(event.list);
			membership.addCandidateAddresses(entries.map(instance => instance.address));
		},
	});
};

const followReclaims = ({environment, platform, registry, onOwnReclaim}: FollowOptions, baseUrl: string): void => {
	const logger = environment.makeLogger('daemon');
	void followNotices({
		baseUrl,
		dispatcher: platform.dispatcher,
		clock: environment.clock,
		signal: environment.signal,
		onNotice({instanceId, leavesAt}) {
			if (instanceId === environment.settings.instance.id) {
				logger.warn('own_instance_reclaimed', {leavesAt});
				onOwnReclaim();
				return;
			}

			registry.applyLeavingNotice(instanceId, leavesAt);
		},
		onOutage(error) {
			logger.debug('cloud_unreachable', {error});
		},
	});
};

/** Follows the instance list and the reclaim notices, where the settings name them, until the daemon stops. */
export const followPlatform = (options: FollowOptions): void => {
	const {instancesUrl, cloudUrl} = options.platform;
	if (instancesUrl !== undefined) {
		followList(options, instancesUrl);
	}

	if (cloudUrl !== undefined) {
		followReclaims(options, cloudUrl);
	}
};

/** Opens the platform services in the settings, or an in-memory log if the settings have no platform. */
import {type CloudService} from '@shallotpass/common/cloud-service.js';
import {type Clock} from '@shallotpass/common/clock.js';
import {type LogService} from '@shallotpass/common/log-service.js';
import {type Settings} from '@shallotpass/common/settings-schema.js';
import {makeHttpCloud} from '@shallotpass/provider/http-cloud.js';
import {makeHttpLog} from '@shallotpass/provider/http-log.js';
import {makeMemoryLog} from '@shallotpass/provider/memory-log.js';
import {Agent} from 'undici';

export type Platform = {
	readonly log: LogService;
	readonly isEmbedded: boolean;
	readonly instancesUrl: string | undefined;
	readonly cloudUrl: string | undefined;
	readonly cloud: CloudService | undefined;
	readonly dispatcher: Agent;
	readonly close: () => Promise<void>;
};

const connectTimeoutMs = 1500;

/** Each long poll of the log, the instance list and the reclaim notices occupies a connection. */
const maxConnectionsPerOrigin = 64;

const makeDispatcher = (): Agent => new Agent({connect: {timeout: connectTimeoutMs}, connections: maxConnectionsPerOrigin, pipelining: 1});

export const openPlatform = (settings: Settings, clock: Clock): Platform => {
	const dispatcher = makeDispatcher();
	const {platform} = settings;
	const httpLog = platform === undefined ? undefined : makeHttpLog({baseUrl: platform.log, makeDispatcher, now: clock.now});
	return {
		log: httpLog ?? makeMemoryLog(clock),
		isEmbedded: platform === undefined,
		instancesUrl: platform?.instances,
		cloudUrl: platform?.cloud,
		cloud: platform?.cloud === undefined ? undefined : makeHttpCloud({baseUrl: platform.cloud, dispatcher}),
		dispatcher,
		async close() {
			await Promise.all([dispatcher.destroy(), httpLog?.close()]);
		},
	};
};
